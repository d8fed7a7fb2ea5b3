package server

import (
	"time"

	"snipewall/core"
	"snipewall/core/elect"
)

// recordFailover counts a completed change of primary and records the durations of its phases.
func (p *Process) recordFailover(id core.GroupID, c elect.Change) {
	scope := p.scope.SubScope("Failover").Tagged(map[string]string{"Group": string(id)})
	scope.Counter("Changes").Inc(1)
	parts := map[string]time.Duration{
		"Detection": c.Detection, "Delay": c.Delay, "Prepare": c.Prepare, "Promote": c.Promote, "Confirm": c.Confirm,
	}
	for name, d := range parts {
		scope.Timer(name).Record(d)
	}
}
