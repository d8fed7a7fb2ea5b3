package lead

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"snipewall/core"
)

// Guards against promoting two upstreams with one fencing token: a promotion that got no answer may still be executed, after
// the one of another target, and no fence would stop it.
func TestNewTargetNeedsNewToken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeCluster()
		f.unresponsive["a"] = true
		f.unansweredCalls = promoteAttempts
		f.onPromote = func() {
			if len(f.promotions) == promoteAttempts {
				// The other replica has received more since.
				f.probes["b"] = ProbeResult{Log: core.Position{Term: 1, Offset: 20}}
			}
		}
		promotions := f.run(t, 4*time.Second)
		assert.Assert(t, len(promotions) > promoteAttempts, "%v", promotions)
		first, second := promotions[0], promotions[promoteAttempts]
		assert.Equal(t, first.ID, core.UpstreamID("c"))
		assert.Equal(t, second.ID, core.UpstreamID("b"))
		assert.Assert(t, second.Token > first.Token, "%v", promotions)
	})
}

// Guards against promoting with a token whose lease may have ended, so that another VM holds the group: each promotion needs a
// lease that certainly lasts.
func TestNoPromotionAfterLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeCluster()
		f.unresponsive["a"] = true
		f.unansweredCalls = 1000
		f.onPromote = func() {
			age := time.Since(f.leaseAt)
			assert.Check(t, age <= leaseTTL-leaseMargin, "token %d is used %v after its lease was granted", f.promotions[len(f.promotions)-1].Token, age)
		}
		assert.Assert(t, len(f.run(t, 3*leaseTTL)) > 10)
		assert.Assert(t, f.grants > 2)
	})
}
