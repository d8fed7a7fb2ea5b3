// Package matrix contains the fault matrix. It runs the real monitors (core/quorum) and failover drivers
// (core/elect) of two entry VMs against an in-memory group (core/fakes) on the fake clock of
// testing/synctest, injects each fault at each step of the driver, and checks the guarantees on the
// recorded history. As in core/fakes, a site is the name of an entry VM.
//
// A cell consists of a step (from elect.Steps), a fault (from Faults), whether the fault is injected
// twice, and a seed. Clients write with Confirm and read with ReadIndex and WaitApplied during the whole
// cell.
//
// TestGeneratedFaults injects generated faults at arbitrary times, which may overlap and repeat.
//
// Although the clock is fake, goroutines that are ready at the same time run in any order. A seed
// therefore determines the faults and delays but not the whole run. Repeat a failed cell with -count.
//
// # Usage
//
//	go test ./matrix -v
//	go test ./matrix -v -run 'TestMatrix/Cells/Promote/AnswerLost'
//	go test ./matrix -v -run TestMatrix -args -matrix.seed 7
//	go test ./matrix -v -run TestGeneratedFaults -args -matrix.strikes 8 -rapid.checks 200
//
// Each cell prints one line with its seed, and the run ends with a line "N passed, N failed". The go
// tool shows them with -v or when a test failed.
package matrix
