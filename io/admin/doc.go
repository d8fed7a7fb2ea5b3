// Package admin serves the operators' side of a process over HTTP: liveness at /healthz, readiness
// for the balancer at /readyz, metrics at /metrics, a short summary at /status, the state of all
// services at /dump, and runtime profiles at /debug/pprof/.
//
// # Usage
//
//	a := admin.New(admin.Config{Listener: ln, Kernel: k, Metrics: reporter.HTTPHandler()})
//	if err := k.Register(a); err != nil {
//		return err
//	}
//	a.SetReady(true)
package admin
