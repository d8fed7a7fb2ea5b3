// Package admin serves the operators' HTTP interface of a process: liveness at /healthz, readiness for
// the load balancer at /readyz, metrics at /metrics, a short summary at /status, the state of all
// services at /dump, and runtime profiles at /debug/pprof/.
//
// # Usage
//
//	a := admin.New(admin.Config{Listener: ln, Registry: r, Metrics: reporter.HTTPHandler()})
//	if err := r.Register(a); err != nil {
//		return err
//	}
//	a.SetReady(true)
package admin
