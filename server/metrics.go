package server

import (
	"net/http"
	"time"

	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"

	"snipewall/conf"
	"snipewall/core"
	"snipewall/core/elect"
)

// reportInterval is how often metrics are handed to the reporter.
const reportInterval = time.Second

// newMetrics returns the root scope and the handler of the scrape endpoint.
func newMetrics(vm conf.VM) (tally.Scope, http.Handler) {
	reporter := prometheus.NewReporter(prometheus.Options{})
	scope, _ := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "Snipewall", Tags: map[string]string{"VM": string(vm.ID)},
		CachedReporter: reporter, Separator: prometheus.DefaultSeparator,
		SanitizeOptions: &prometheus.DefaultSanitizerOpts, OmitCardinalityMetrics: true,
	}, reportInterval)
	return scope, reporter.HTTPHandler()
}

// countChange records a completed change of primary and its parts.
func (p *Process) countChange(id core.GroupID, c elect.Change) {
	scope := p.scope.SubScope("Failover").Tagged(map[string]string{"Group": string(id)})
	scope.Counter("Changes").Inc(1)
	parts := map[string]time.Duration{
		"Detection": c.Detection, "Delay": c.Delay, "Prepare": c.Prepare, "Promote": c.Promote, "Confirm": c.Confirm,
	}
	for name, d := range parts {
		scope.Timer(name).Record(d)
	}
}
