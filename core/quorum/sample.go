package quorum

import (
	"time"

	"snipewall/core"
)

const (
	// maxSamples bounds the memory of a group. With gaps that grow with the age, 64 samples at a poll
	// interval of 100 ms reach back about 15 min.
	maxSamples = 64
	// thinRatio is the age of a sample divided by the smallest gap between its neighbors that a full
	// list keeps. The age of a replica's data is overstated by at most a quarter.
	thinRatio = 4
	// sampleGap keeps polls on demand, which can be 1 ms apart, from displacing old samples.
	sampleGap = 20 * time.Millisecond
)

// sample says that every write acknowledged before at lies at or before pos. It counts once pos is
// confirmed.
type sample struct {
	at  time.Time
	pos core.Position
}

// samples is a bounded list in order of time and position.
type samples struct {
	list []sample
}

// add appends a sample. Samples closer than sampleGap replace each other, and a full list is thinned.
func (s *samples) add(at time.Time, pos core.Position) {
	n := len(s.list)
	if n > 0 && s.list[n-1].pos == pos {
		s.list[n-1].at = at
		return
	}
	if n > 1 && at.Sub(s.list[n-2].at) < sampleGap {
		s.list[n-1] = sample{at: at, pos: pos}
		return
	}
	if n == maxSamples {
		s.thin()
	}
	s.list = append(s.list, sample{at: at, pos: pos})
}

// thin drops samples that lie close together for their age, so that a replica that is far behind
// still gets an age, at a lower resolution. It always drops one at least.
func (s *samples) thin() {
	last := s.list[len(s.list)-1].at
	kept := s.list[:1]
	for i := 1; i < len(s.list)-1; i++ {
		e := s.list[i]
		gap := s.list[i+1].at.Sub(kept[len(kept)-1].at)
		if gap >= last.Sub(e.at)/thinRatio {
			kept = append(kept, e)
		}
	}
	kept = append(kept, s.list[len(s.list)-1])
	if len(kept) == maxSamples {
		kept = append(kept[:0], kept[1:]...)
	}
	s.list = kept
}

// dropAfter removes the samples that were never confirmed, when a new term begins.
func (s *samples) dropAfter(confirmed core.Position) {
	n := len(s.list)
	for n > 0 && confirmed.Less(s.list[n-1].pos) {
		n--
	}
	s.list = s.list[:n]
}

// newest returns the time of the newest confirmed sample that the applied position covers.
func (s *samples) newest(applied, confirmed core.Position) (time.Time, bool) {
	for i := len(s.list) - 1; i >= 0; i-- {
		e := s.list[i]
		if !confirmed.Less(e.pos) && applied.Covers(e.pos) {
			return e.at, true
		}
	}
	return time.Time{}, false
}
