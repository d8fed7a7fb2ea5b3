package dbsim

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"snipewall/core"
)

// event is one step of a random history of a group.
type event struct {
	Kind string
	// A and B are indexes of hosts, Hosts is a set of such indexes.
	A, B  int
	Hosts []int
}

var hosts = []string{"a", "b", "c"}

func drawEvents(t *rapid.T) []event {
	host := rapid.IntRange(0, len(hosts)-1)
	kinds := rapid.SampledFrom([]string{"write", "write", "write", "cut", "heal", "failover", "halfway", "repair", "restart"})
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) event {
		return event{
			Kind:  kinds.Draw(t, "kind"),
			A:     host.Draw(t, "a"),
			B:     host.Draw(t, "b"),
			Hosts: rapid.SliceOfNDistinct(host, 1, len(hosts), rapid.ID[int]).Draw(t, "hosts"),
		}
	}), 1, 40).Draw(t, "events")
}

// history is the state of a run of the events.
type history struct {
	g      *group
	term   core.Term
	lastID int64
	// confirmed holds the ids of writes that a majority of the hosts had in the log in the write's term.
	confirmed []int64
}

// Guards against a simulator that loses writes which a majority had in the log, or whose replicas
// diverge. Tests of failover rely on both properties.
func TestRandomHistories(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		events := drawEvents(rt)
		var failure string
		withGroup(t, Config{}, hosts, func(g *group) {
			h := &history{g: g, term: 1}
			if err := g.exec("a", "CREATE TABLE t (id int8 PRIMARY KEY)"); err != nil {
				failure = err.Error()
				return
			}
			time.Sleep(time.Second)
			for _, e := range events {
				h.step(e)
			}
			failure = h.finish()
		})
		if failure != "" {
			rt.Fatal(failure)
		}
	})
}

func (h *history) step(e event) {
	g := h.g
	a, b := hosts[e.A], hosts[e.B]
	switch e.Kind {
	case "write":
		h.write(a)
	case "cut":
		g.net.CutBoth(a, b)
	case "heal":
		g.net.HealBoth(a, b)
	case "failover":
		h.failover(e.Hosts, true)
	case "halfway":
		h.failover(e.Hosts, false)
	case "repair":
		if s := g.db(a).Status(); s.Role == core.RolePrimary {
			_, _ = g.db(b).Follow(s.Log.Term, a+":1")
		}
	case "restart":
		g.restart(a)
	}
	time.Sleep(time.Duration(10+100*e.B) * time.Millisecond)
}

// write inserts a row on the host. If a majority has it in the log after 100 ms, it records the write as
// confirmed.
func (h *history) write(host string) {
	h.lastID++
	id := h.lastID
	if h.g.exec(host, fmt.Sprintf("INSERT INTO t VALUES (%d)", id)) != nil {
		return
	}
	at := h.g.db(host).Status().Log
	time.Sleep(100 * time.Millisecond)
	holders := 0
	for _, other := range hosts {
		s := h.g.db(other).Status()
		if s.Promised == at.Term && s.Log.Term == at.Term && s.Log.Offset >= at.Offset {
			holders++
		}
	}
	if 2*holders > len(hosts) {
		h.confirmed = append(h.confirmed, id)
	}
}

// failover prepares a new term on the hosts and, if they are a majority, promotes the one with the
// highest log position. If complete is set, it then makes the others follow it.
func (h *history) failover(indexes []int, complete bool) {
	h.term++
	best := ""
	var last core.Position
	for _, i := range indexes {
		s, err := h.g.db(hosts[i]).Prepare(h.term)
		if err == nil && (best == "" || last.Less(s.Log)) {
			best, last = hosts[i], s.Log
		}
	}
	if 2*len(indexes) <= len(hosts) || best == "" {
		return
	}
	_, _ = h.g.db(best).Promote(h.term)
	for _, i := range indexes {
		if complete && hosts[i] != best {
			_, _ = h.g.db(hosts[i]).Follow(h.term, best+":1")
		}
	}
}

// finish heals all links, completes a failover and checks the upstreams. It returns a failure message, or
// an empty string.
func (h *history) finish() string {
	for _, a := range hosts {
		for _, b := range hosts {
			h.g.net.HealBoth(a, b)
		}
	}
	h.failover([]int{0, 1, 2}, true)
	time.Sleep(3 * time.Second)
	want := h.g.ids("a")
	for _, host := range hosts {
		if got := h.g.ids(host); !slices.Equal(got, want) {
			return fmt.Sprintf("%s has %v, a has %v", host, got, want)
		}
	}
	for _, id := range h.confirmed {
		if !slices.Contains(want, id) {
			return fmt.Sprintf("the confirmed write %d is lost from %v", id, want)
		}
	}
	return ""
}
