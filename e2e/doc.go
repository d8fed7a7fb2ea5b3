// Package e2e tests whole deployments. Entry VMs and the simulators of upstreams and platform run as
// separate processes on loopback, which the tests kill and suspend with signals.
//
// # Usage
//
//	go test ./e2e
//
// The tests build the programs once, start the processes on free ports, and end them with the test.
package e2e
