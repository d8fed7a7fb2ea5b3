// Package fresh bounds the age of the data that a read sees.
//
// A Tracker keeps samples of the primary's log position. A sample states that a primary had this
// position, and was proved to lead, after the instant at which it was requested. The position therefore
// covers every commit that was acknowledged before that instant, and a read that awaits the position
// sees all of them, on whichever upstream it runs.
//
// Instants come from a clock that counts suspension, and the instant of a request is taken after the
// request was received. A VM that is suspended at any point thus awaits a newer position than
// necessary, never an older one.
//
// # Usage
//
//	requestedAt := core.Now()
//	ans := queryPrimary() // the primary proves its leadership
//	t.Add(requestedAt, ans.Position)
//	...
//	if p, ok := t.MinPosition(received.Add(-maxAge)); ok {
//		// a read that awaits p is at most maxAge old
//	}
package fresh

import (
	"sync"
	"time"

	"snipewall/core"
)

const (
	// minSampleInterval is the minimum time between two samples that are kept. With a shorter one, a
	// lagging replica could serve reads earlier by at most this much, which doesn't justify the memory.
	minSampleInterval = 20 * time.Millisecond
	// maxSamples samples at the minimum interval cover about 5 s, which is longer than any accepted age
	// seen in operators' tables.
	maxSamples = 256
)

type sample struct {
	requestedAt core.Instant
	position    core.Position
}

// Tracker holds the samples of one group. The zero value is empty. It is safe for concurrent use.
type Tracker struct {
	mu sync.Mutex
	// samples is a ring buffer with n samples from first on, ordered by requestedAt.
	samples [maxSamples]sample
	first   int
	n       int
}

func (t *Tracker) at(i int) *sample { return &t.samples[(t.first+i)%maxSamples] }

// Add records that a primary had p, and was proved to lead, after requestedAt. A sample that
// isn't newer than the newest one is dropped, and so is a zero position.
func (t *Tracker) Add(requestedAt core.Instant, p core.Position) {
	if p.IsZero() {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.n > 0 {
		last := t.at(t.n - 1)
		if requestedAt <= last.requestedAt {
			return
		}
		if t.n > 1 && last.requestedAt.Sub(t.at(t.n-2).requestedAt) < minSampleInterval {
			*last = sample{requestedAt, p}
			return
		}
	}
	if t.n == maxSamples {
		t.first = (t.first + 1) % maxSamples
		t.n--
	}
	t.n++
	*t.at(t.n - 1) = sample{requestedAt, p}
}

// MinPosition returns the position that a read must await to see all commits that were acknowledged
// before the instant. It is that of the oldest sample requested at or after the instant, which replicas
// are most likely to have. It returns false if there is none.
func (t *Tracker) MinPosition(at core.Instant) (core.Position, bool) {
	_, p, ok := t.Oldest(at)
	return p, ok
}

// Oldest returns the oldest sample requested at or after the instant, as MinPosition does, with the instant at which it
// was requested.
func (t *Tracker) Oldest(at core.Instant) (core.Instant, core.Position, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	i := t.search(at)
	if i == t.n {
		return 0, core.Position{}, false
	}
	return t.at(i).requestedAt, t.at(i).position, true
}

// search returns the index of the oldest sample requested at or after the instant, or n. The caller holds mu.
func (t *Tracker) search(at core.Instant) int {
	lo, hi := 0, t.n
	for lo < hi {
		mid := (lo + hi) / 2
		if t.at(mid).requestedAt < at {
			lo = mid + 1
			continue
		}
		hi = mid
	}
	return lo
}

// Newest returns the instant at which the newest sample was requested, or false if there is none.
func (t *Tracker) Newest() (core.Instant, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.n == 0 {
		return 0, false
	}
	return t.at(t.n - 1).requestedAt, true
}
