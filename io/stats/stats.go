// Package stats creates the root scope of a process's metrics and the HTTP handler that serves them.
//
// # Usage
//
//	scope, handler := stats.New("galveston-1")
//	scope.SubScope("Front").Counter("Sessions").Inc(1)
package stats

import (
	"net/http"
	"time"

	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"

	"snipewall/core"
)

// reportInterval is how often the scope passes its metrics to the reporter.
const reportInterval = time.Second

// New returns the root scope, whose metrics are tagged with the VM, and the handler of the scrape
// endpoint.
func New(vm core.VMID) (tally.Scope, http.Handler) {
	reporter := prometheus.NewReporter(prometheus.Options{})
	scope, _ := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "Snipewall", Tags: map[string]string{"VM": string(vm)},
		CachedReporter: reporter, Separator: prometheus.DefaultSeparator,
		SanitizeOptions: &prometheus.DefaultSanitizerOpts, OmitCardinalityMetrics: true,
	}, reportInterval)
	return scope, reporter.HTTPHandler()
}
