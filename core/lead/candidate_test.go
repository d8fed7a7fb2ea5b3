package lead

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"snipewall/core"
)

func received(applied, received core.Offset) ProbeResult {
	return ProbeResult{
		Log: core.Position{Term: 1, Offset: applied}, Received: core.Position{Term: 1, Offset: received}, IsReceivedKnown: true,
	}
}

// Guards against promoting a replica that lacks commits which another one has received but not applied yet.
func TestChooseByReceivedLog(t *testing.T) {
	g := Group{Members: 3}
	late, deaf := answer{id: "late", probe: received(10, 100)}, answer{id: "deaf", probe: received(50, 50)}
	for _, answers := range [][]answer{{late, deaf}, {deaf, late}} {
		target, best, err := choose(g, answers, failoverRequest{})
		assert.NilError(t, err)
		assert.Equal(t, target, core.UpstreamID("late"))
		assert.Equal(t, best.End(), core.Position{Term: 1, Offset: 100})
	}
	// A replica whose received log is unknown has at least what it has applied.
	busy := answer{id: "busy", probe: ProbeResult{Log: core.Position{Term: 1, Offset: 101}}}
	target, _, err := choose(g, []answer{late, busy}, failoverRequest{})
	assert.NilError(t, err)
	assert.Equal(t, target, core.UpstreamID("busy"))
}

// Guards against a promotion while a replica that may be the only one with the last acknowledged commits is silent.
func TestChooseNeedsReceivers(t *testing.T) {
	silent := errors.New("no answer")
	a, b, c := answer{id: "a", probe: received(5, 5)}, answer{id: "b", probe: received(6, 6)}, answer{id: "c", err: silent}
	d := answer{id: "d", probe: received(3, 3)}
	busy := answer{id: "c", probe: ProbeResult{Log: core.Position{Term: 1, Offset: 4}}}
	for _, tt := range []struct {
		name    string
		g       Group
		answers []answer
		req     failoverRequest
		want    core.UpstreamID
		err     error
	}{
		{"asynchronous", Group{Members: 5}, []answer{a, b, c, d}, failoverRequest{}, "b", nil},
		{"one replica silent", Group{Members: 5, SyncReplicas: 1}, []answer{a, b, c, d}, failoverRequest{}, "", errReceivers},
		{"one replica busy", Group{Members: 5, SyncReplicas: 1}, []answer{a, b, busy, d}, failoverRequest{}, "", errReceivers},
		{"silent for too long", Group{Members: 5, SyncReplicas: 1}, []answer{a, b, c, d}, failoverRequest{allowMissing: true}, "b", nil},
		{"two receivers", Group{Members: 5, SyncReplicas: 2}, []answer{a, b, c, d}, failoverRequest{}, "b", nil},
		{"the primary tells the end", Group{Members: 5, SyncReplicas: 1, Leaving: true}, []answer{a, b, c, d}, failoverRequest{}, "b", nil},
		{"minority", Group{Members: 5}, []answer{a, c}, failoverRequest{}, "", errMinority},
		{"none", Group{Members: 5}, []answer{c}, failoverRequest{allowMinority: true, allowMissing: true}, "", errNoReplica},
	} {
		t.Run(tt.name, func(t *testing.T) {
			target, _, err := choose(tt.g, tt.answers, tt.req)
			assert.Assert(t, errors.Is(err, tt.err), "%v", err)
			assert.Equal(t, target, tt.want)
		})
	}
}

// Guards against passing over a draining replica that alone has received the last commits, and against preferring it
// to one that stays.
func TestChooseDrainingReplica(t *testing.T) {
	g := Group{Members: 3, SyncReplicas: 1}
	draining := answer{id: "draining", probe: received(7, 7), isDraining: true}
	target, _, err := choose(g, []answer{{id: "stays", probe: received(6, 6)}, draining}, failoverRequest{})
	assert.NilError(t, err)
	assert.Equal(t, target, core.UpstreamID("draining"))
	target, _, err = choose(g, []answer{draining, {id: "stays", probe: received(6, 7)}}, failoverRequest{})
	assert.NilError(t, err)
	assert.Equal(t, target, core.UpstreamID("stays"))
}

// Guards against a failover that compares what replicas have applied: the driver asks them what they have received,
// draining ones too where commits wait for replicas.
func TestFailoverByReceivedLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeCluster()
		f.view.SyncReplicas, f.view.Draining = 1, []core.UpstreamID{"d"}
		f.view.Members++
		f.stored = f.view
		f.unresponsive["a"] = true
		f.probes["b"], f.probes["c"], f.probes["d"] = received(50, 50), received(10, 100), received(20, 101)
		promotions := f.run(t, 3*time.Second)
		assert.Equal(t, len(promotions), 1)
		assert.Equal(t, promotions[0].ID, core.UpstreamID("d"))
	})
}
