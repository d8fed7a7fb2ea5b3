// Package matrix holds the fault matrix: it runs the real monitor and failover driver of two entry
// VMs against an in-memory group on the fake clock of testing/synctest, injects each fault at each
// step of the driver, and checks the guarantees on the recorded history.
//
// A cell is a step (from elect.Steps), a fault (from Faults), whether the fault strikes twice, and a
// seed. Clients write with Confirm and read with ReadIndex and WaitApplied during the whole cell.
//
// # Usage
//
//	go test ./matrix
//	go test ./matrix -run 'TestMatrix/Promote/AnswerLost'
//	go test ./matrix -run TestMatrix -matrix.seed 7
//
// Each cell prints one line with its seed. The run ends with a line "N passed, N failed".
package matrix
