package proxy

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"

	"snipewall/core"
	"snipewall/core/orgs"
	"snipewall/core/topo"
)

// keyedHarness is a harness whose callers need keys.
type keyedHarness struct {
	*harness
	keys *orgs.Guard
}

func inKeyedBubble(t *testing.T, test func(t *testing.T, r keyedHarness)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		r := keyedHarness{harness: newHarness(t)}
		r.keys = orgs.NewGuard(orgs.Config{Directory: r.dir, Revocation: 5 * time.Second, Log: log.NewNopLogger(), Now: r.proxy.cfg.Now})
		r.proxy.cfg.Keys = r.keys
		r.adopt(2, map[string]core.OrganisationID{"key-a": "a", "key-b": "b"})
		r.keys.Confirm(r.proxy.cfg.Now())
		test(t, r)
	})
}

// adopt replaces the keys of the configuration.
func (r keyedHarness) adopt(version core.Version, keys map[string]core.OrganisationID) {
	c := r.dir.Snapshot().Config
	c.Version, c.NeedsKeys, c.Keys = version, true, map[topo.KeyDigest]core.OrganisationID{}
	for key, id := range keys {
		c.Keys[orgs.Digest(key)] = id
	}
	public := c.Routes["bounded"]
	public.Public = true
	c.Routes = map[string]topo.Route{"strict": c.Routes["strict"], "own": c.Routes["own"], "bounded": public}
	r.dir.Apply(c)
	time.Sleep(time.Millisecond)
}

// Guards against work on a connection that the upstream knows as another organisation's.
func TestConnectionsBelongToOrganisation(t *testing.T) {
	inKeyedBubble(t, func(t *testing.T, r keyedHarness) {
		a, b := r.proxy.Open("own", orgs.Digest("key-a")), r.proxy.Open("own", orgs.Digest("key-b"))
		public := r.proxy.Open("bounded", orgs.Digest("unknown"))
		want := []core.OrganisationID{}
		for range 3 {
			r.must(a, VerbWrite, "WRITE a")
			r.must(b, VerbWrite, "WRITE b")
			r.must(b, VerbBegin, "BEGIN")
			r.must(b, VerbRead, "READ b")
			r.must(b, VerbCommit, "COMMIT")
			want = append(want, "a", "b", "b", "b")
		}
		got := []core.OrganisationID{}
		for _, run := range r.servers[primaryID].runs() {
			got = append(got, run.Organisation)
		}
		assert.DeepEqual(t, got, want)
		r.must(public, VerbRead, "READ public")
		for id, s := range r.servers {
			for _, run := range s.runs() {
				assert.Assert(t, (run.Organisation == "") == (run.Text == "READ public"), "%s ran %v", id, run)
			}
		}
	})
}

// Guards against a withdrawn key that goes on in an open session, and against the commit of its open transaction.
func TestWithdrawnKey(t *testing.T) {
	inKeyedBubble(t, func(t *testing.T, r keyedHarness) {
		s, inTx := r.proxy.Open("own", orgs.Digest("key-a")), r.proxy.Open("own", orgs.Digest("key-a"))
		r.must(s, VerbWrite, "WRITE 1")
		r.must(inTx, VerbBegin, "BEGIN")
		r.must(inTx, VerbWrite, "WRITE 2")
		r.adopt(3, map[string]core.OrganisationID{"key-b": "b"})
		assert.Equal(t, r.do(s, VerbWrite, "WRITE 3").Fault, core.FaultUnauthorized)
		reply := r.do(inTx, VerbCommit, "COMMIT")
		assert.Equal(t, reply.Fault, core.FaultUnauthorized)
		assert.Equal(t, reply.Status, core.TxIdle)
		assert.DeepEqual(t, r.texts(primaryID), []string{"WRITE 1", "WRITE 2"})
		assert.Equal(t, r.proxy.Admit(t.Context(), "own", orgs.Digest("key-a")), core.FaultUnauthorized)
		assert.Equal(t, r.proxy.Admit(t.Context(), "bounded", orgs.Digest("key-a")), core.FaultNone, "the route is public")
	})
}

// Guards against a VM that is cut off from the store and serves keys that may have been withdrawn meanwhile. Its refusals
// are not-run, and callers of public routes don't notice.
func TestUnconfirmedKeys(t *testing.T) {
	inKeyedBubble(t, func(t *testing.T, r keyedHarness) {
		s, public := r.proxy.Open("own", orgs.Digest("key-a")), r.proxy.Open("bounded", noKey)
		time.Sleep(r.keys.MaxAge() + time.Millisecond)
		reply := r.do(s, VerbWrite, "WRITE 1")
		assert.Equal(t, reply.Fault, core.FaultBusy)
		assert.Assert(t, reply.Fault.IsNotRun())
		assert.Equal(t, r.proxy.Admit(t.Context(), "own", orgs.Digest("key-a")), core.FaultBusy)
		r.must(public, VerbRead, "READ 1")
		r.keys.Confirm(r.proxy.cfg.Now())
		r.must(s, VerbWrite, "WRITE 2")
		assert.DeepEqual(t, r.texts(primaryID), []string{"WRITE 2"})
	})
}

// Guards against a transaction that goes on under another organisation's name after its key has moved.
func TestKeyMovesInTransaction(t *testing.T) {
	inKeyedBubble(t, func(t *testing.T, r keyedHarness) {
		s := r.proxy.Open("own", orgs.Digest("key-a"))
		r.must(s, VerbBegin, "BEGIN")
		r.must(s, VerbWrite, "WRITE 1")
		r.adopt(3, map[string]core.OrganisationID{"key-a": "b"})
		assert.Equal(t, r.do(s, VerbCommit, "COMMIT").Fault, core.FaultAborted)
		r.must(s, VerbWrite, "WRITE 2")
		runs := r.servers[primaryID].runs()
		assert.Equal(t, runs[len(runs)-1].Organisation, core.OrganisationID("b"))
	})
}

// Guards against an owner that runs another VM's statement on a connection of another organisation.
func TestRelayUsesOrganisation(t *testing.T) {
	inKeyedBubble(t, func(t *testing.T, r keyedHarness) {
		relay, _, ok := r.proxy.OpenRelay(primaryID)
		assert.Assert(t, ok)
		defer relay.Close()
		for _, organisation := range []core.OrganisationID{"a", "b", "", "a"} {
			ans := relay.Execute(t.Context(), core.Command{Op: core.OpForward, Text: "WRITE 1", Kind: "own", Organisation: organisation}, time.Now().Add(time.Second))
			assert.Equal(t, ans.Fault, core.FaultNone)
		}
		runs := r.servers[primaryID].runs()
		assert.Equal(t, len(runs), 4)
		for i, want := range []core.OrganisationID{"a", "b", "", "a"} {
			assert.Equal(t, runs[i].Organisation, want)
		}
		assert.Equal(t, runs[0].Conn, runs[3].Conn, "the connection was kept")
	})
}

// Guards against operations beyond an organisation's limit that run, statements of a transaction that count again, and a
// refusal that isn't true.
func TestQuota(t *testing.T) {
	inKeyedBubble(t, func(t *testing.T, r keyedHarness) {
		left, asked := 2, 0
		r.proxy.cfg.Quota = func(_ context.Context, id core.OrganisationID, _ time.Time) (time.Duration, bool) {
			if id != "a" {
				return 0, true
			}
			asked++
			left--
			return 700 * time.Millisecond, left >= 0
		}
		a, b := r.proxy.Open("own", orgs.Digest("key-a")), r.proxy.Open("own", orgs.Digest("key-b"))
		r.must(a, VerbBegin, "BEGIN")
		r.must(a, VerbWrite, "WRITE 1")
		r.must(a, VerbWrite, "WRITE 2")
		r.must(a, VerbCommit, "COMMIT")
		r.must(a, VerbWrite, "WRITE 3")
		assert.Equal(t, asked, 2)
		reply := r.do(a, VerbWrite, "WRITE 4")
		assert.Equal(t, reply.Fault, core.FaultBusy)
		assert.Equal(t, reply.Text, "the organisation is at its limit; retry after 700ms")
		r.must(a, VerbBegin, "BEGIN")
		assert.Equal(t, r.do(a, VerbWrite, "WRITE 5").Fault, core.FaultBusy)
		r.must(a, VerbRollback, "ROLLBACK")
		r.must(b, VerbWrite, "WRITE 6")
		assert.DeepEqual(t, r.texts(primaryID), []string{"WRITE 1", "WRITE 2", "COMMIT", "WRITE 3", "WRITE 6"})
	})
}
