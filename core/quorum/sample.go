package quorum

import (
	"time"

	"snipewall/core"
)

const (
	// maxSamples limits the memory per group. Since gaps between samples grow with their age, 64 samples
	// at a poll interval of 100 ms cover about 15 min.
	maxSamples = 64
	// A full list keeps a sample only if the gap between its neighbors is at least the sample's age divided
	// by thinRatio. The age of a replica's data is therefore overstated by at most a quarter.
	thinRatio = 4
	// minSampleGap is the shortest time between samples. It keeps polls on demand, which can be 1 ms
	// apart, from displacing old samples.
	minSampleGap = 20 * time.Millisecond
)

// sample means that every write acknowledged before at has a position up to pos. It is valid once pos is
// confirmed.
type sample struct {
	at  time.Time
	pos core.Position
}

// samples is a list of at most maxSamples, in order of time and position.
type samples struct {
	list []sample
}

// add appends a sample. One at the same position as the last only updates the last one's time, and one
// less than minSampleGap after the last but one replaces the last one. A full list is thinned.
func (s *samples) add(at time.Time, pos core.Position) {
	n := len(s.list)
	if n > 0 && s.list[n-1].pos == pos {
		s.list[n-1].at = at
		return
	}
	if n > 1 && at.Sub(s.list[n-2].at) < minSampleGap {
		s.list[n-1] = sample{at: at, pos: pos}
		return
	}
	if n == maxSamples {
		s.thin()
	}
	s.list = append(s.list, sample{at: at, pos: pos})
}

// thin drops samples whose gaps are short for their age, so that the list still has an age, at a lower
// resolution, for a replica that is far behind. It drops at least one.
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

// dropAfter removes the samples after the confirmed position. It is called when a new term begins, since
// these samples will never be confirmed.
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
