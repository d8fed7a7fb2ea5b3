package proxy

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"snipewall/core"
)

// relayLine is a connection to another VM's proxy that relays to an upstream.
type relayLine struct {
	relay *Relay
	cmds  []core.Command
	// before replaces what VMs of an earlier version don't know.
	before func(*core.Answer)
	// hop is the round trip to the other VM, and arrives the arrival of the commands there.
	hop     time.Duration
	arrives time.Time
	// ignoresPatience is set for VMs that know no patience.
	ignoresPatience bool
}

func (l *relayLine) InitialPosition() core.Position { return core.Position{} }
func (l *relayLine) CanPipeline() bool              { return true }
func (l *relayLine) IsIdle() bool                   { return true }
func (l *relayLine) Close() error                   { l.relay.Close(); return nil }

func (l *relayLine) Send(cmds []core.Command) error {
	l.cmds = append(l.cmds, cmds...)
	l.arrives = time.Now().Add(l.hop / 2)
	return nil
}

func (l *relayLine) Receive(deadline time.Time) (core.Answer, error) {
	time.Sleep(time.Until(l.arrives))
	cmd := l.cmds[0]
	l.cmds = l.cmds[1:]
	if l.ignoresPatience {
		cmd.Patience = 0
	}
	ans := l.relay.Execute(l.relay.n.p.ctx, cmd, deadline)
	if len(l.cmds) == 0 {
		l.relay.Pause()
	}
	if l.before != nil {
		l.before(&ans)
	}
	if len(l.cmds) == 0 {
		time.Sleep(l.hop / 2)
	}
	return ans, nil
}

// relaysTo makes the VM reach the upstreams through the owner's proxy.
func (r *harness) relaysTo(owner *harness, before func(*core.Answer)) {
	r.owner = func(id core.UpstreamID) (core.LineConn, error) {
		relay, _, ok := owner.proxy.OpenRelay(id)
		if !ok {
			return nil, &core.RefusedError{Upstream: id}
		}
		return &relayLine{relay: relay, before: before}, nil
	}
}

// relayLines collects the connections to other VMs that are opened from now on.
func (r *harness) relayLines() *[]*relayLine {
	var lines []*relayLine
	dial := r.owner
	r.owner = func(id core.UpstreamID) (core.LineConn, error) {
		lc, err := dial(id)
		if l, ok := lc.(*relayLine); ok {
			lines = append(lines, l)
		}
		return lc, err
	}
	return &lines
}

// Guards against reads that replicas with their usual lag can't serve. Load pattern: each of many VMs has few statements
// of a group, so that most reads find no sample and await what the primary has at that moment. A replica is 150 ms
// behind, and a commit comes every 40 ms. The baseline is an owner that tells no samples.
func TestReadsOfManyVMsAwaitOlderSamples(t *testing.T) {
	onPrimary := func(before func(*core.Answer)) (count int) {
		synctest.Test(t, func(t *testing.T) {
			owner := newHarness(t)
			done := make(chan struct{})
			go func() {
				defer close(done)
				for i := range 200 {
					position := core.Position{Term: 1, Offset: core.Offset(100 + i)}
					owner.servers[primaryID].update(func(s *server) { s.log = position })
					position.Offset -= 4
					owner.servers[nearID].update(func(s *server) { s.log = position })
					owner.servers[farID].update(func(s *server) { s.log = position })
					owner.must(owner.proxy.Open("strict", noKey), VerbRead, "READ 0")
					time.Sleep(40 * time.Millisecond)
				}
			}()
			time.Sleep(2 * time.Second)
			for range 20 {
				r := newHarness(t, manyVMs()...)
				r.relaysTo(owner, before)
				r.must(r.proxy.Open("bounded", noKey), VerbRead, "READ 1")
			}
			<-done
			for _, text := range owner.texts(primaryID) {
				if text == "READ 1" {
					count++
				}
			}
		})
		return count
	}
	assert.Equal(t, onPrimary(nil), 0)
	assert.Equal(t, onPrimary(func(ans *core.Answer) { ans.Sample = core.Sample{} }), 20, "the baseline")
}

// Guards against a sample that counts as newer on the VM that gets it than it is, so that a read misses a commit.
func TestSampleIsNeverNewerThanItWas(t *testing.T) {
	inBubble(t, func(t *testing.T, r *harness) {
		r.must(r.proxy.Open("strict", noKey), VerbRead, "READ 0")
		sampledAt := r.proxy.cfg.Now()
		time.Sleep(700 * time.Millisecond)
		g := r.proxy.group("g")
		told := g.sampleFor(r.proxy.cfg.Now(), 1500*time.Millisecond)
		assert.Equal(t, told.Position.Offset, core.Offset(10))
		other := newGroup("g", nil, 0)
		other.noteSample(r.proxy.cfg.Now(), told)
		at, ok := other.fresh.Newest()
		assert.Assert(t, ok)
		assert.Assert(t, at <= sampledAt, "a sample of %v counts as one of %v", sampledAt, at)
		assert.Equal(t, g.sampleFor(r.proxy.cfg.Now(), 800*time.Millisecond).Position, core.Position{}, "too old for the accepted age")
	})
}

// Guards against a lagging replica that each of many VMs asks in vain. The owner of the replica answers for it. The baseline
// is an owner that has forgotten the lag.
func TestOwnerAnswersForLaggingReplica(t *testing.T) {
	const vms = 20
	reached := func(forget bool) (count int) {
		inBubble(t, func(t *testing.T, owner *harness) {
			near := owner.servers[nearID]
			near.update(func(s *server) { s.log = core.Position{Term: 1, Offset: 5} })
			for range vms {
				r := newHarness(t, manyVMs()...)
				r.relaysTo(owner, nil)
				r.must(r.proxy.Open("bounded", noKey), VerbRead, "READ 1")
				if n, _ := owner.proxy.lookup(nearID); forget {
					n.lagCount = 0
				}
			}
			count = near.lagged
			near.update(func(s *server) { s.log = core.Position{Term: 1, Offset: 10} })
			time.Sleep(maxLagBackoff)
			r := newHarness(t, manyVMs()...)
			r.relaysTo(owner, nil)
			r.must(r.proxy.Open("bounded", noKey), VerbRead, "READ 1")
			assert.Equal(t, len(near.runs()), 1, "a replica that has caught up must be used")
		})
		return count
	}
	now, before := reached(false), reached(true)
	assert.Equal(t, before, vms, "the baseline")
	assert.Assert(t, now < vms/2, "%d of %d reads reached the replica", now, vms)
}
