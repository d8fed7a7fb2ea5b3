// Package fresh proves how old the data of an upstream can be.
//
// A Tracker keeps samples of the primary's log position. A sample says: a primary that had proved
// its leadership held this position after the instant at which the question was sent. Every commit
// that was acknowledged before that instant is therefore covered by the position, and a read that
// awaits the position misses no such commit, on whichever upstream it runs.
//
// Instants come from a clock that counts suspension, and a request's own instant is taken after it
// was read, so that a VM that was paused at any point asks for more than it needs, never for less.
//
// # Usage
//
//	asked := core.Now()
//	ans := ask() // the primary proves its leadership
//	t.Add(asked, ans.Position)
//	...
//	if p, ok := t.Floor(received.Add(-maxAge)); ok {
//		// a read that awaits p is at most maxAge old
//	}
package fresh

import (
	"sync"
	"time"

	"snipewall/core"
)

const (
	// spacing is the least time between two samples that are kept. Denser samples would find a
	// replica that lags by up to this much earlier, which doesn't outweigh the memory.
	spacing = 20 * time.Millisecond
	// capacity is the number of samples, about 5 s at the spacing: longer than any accepted age seen
	// in the operators' tables.
	capacity = 256
)

type sample struct {
	asked    core.Instant
	position core.Position
}

// Tracker holds the samples of one group. It is safe for concurrent use.
type Tracker struct {
	mu sync.Mutex
	// samples are ordered by the instant at which they were asked, as a ring.
	samples [capacity]sample
	first   int
	n       int
}

func (t *Tracker) at(i int) *sample { return &t.samples[(t.first+i)%capacity] }

// Add records that a primary held p after asked. A sample older than the newest one adds nothing and
// is dropped.
func (t *Tracker) Add(asked core.Instant, p core.Position) {
	if p.IsZero() {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.n > 0 {
		last := t.at(t.n - 1)
		if asked <= last.asked {
			return
		}
		if t.n > 1 && last.asked.Sub(t.at(t.n-2).asked) < spacing {
			*last = sample{asked, p}
			return
		}
	}
	if t.n == capacity {
		t.first = (t.first + 1) % capacity
		t.n--
	}
	t.n++
	*t.at(t.n - 1) = sample{asked, p}
}

// MinPosition returns the position of the oldest sample asked at or after the instant, which replicas are
// the most likely to have. It returns false if there is none.
func (t *Tracker) MinPosition(at core.Instant) (core.Position, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	lo, hi := 0, t.n
	for lo < hi {
		mid := (lo + hi) / 2
		if t.at(mid).asked < at {
			lo = mid + 1
			continue
		}
		hi = mid
	}
	if lo == t.n {
		return core.Position{}, false
	}
	return t.at(lo).position, true
}

// Newest returns the instant of the newest sample, or false if there is none.
func (t *Tracker) Newest() (core.Instant, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.n == 0 {
		return 0, false
	}
	return t.at(t.n - 1).asked, true
}
