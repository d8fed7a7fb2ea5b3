// Package e2e holds tests of whole deployments: entry VMs, upstreams and the platform as separate
// processes on loopback, with real kills and real pauses.
//
// # Usage
//
//	go test ./e2e
//
// The tests build the programs once, start what they need on free ports, and end all processes that
// they started.
package e2e
