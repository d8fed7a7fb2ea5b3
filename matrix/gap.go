package matrix

import (
	"fmt"
	"slices"
	"time"

	"snipewall/core/elect"
)

// Gaps collects the failover gap and its parts over several runs. The zero value is ready to use.
type Gaps struct {
	parts map[string][]time.Duration
}

var gapParts = []string{"Detection", "Delay", "Prepare", "Promote", "Confirm", "Total", "Writers"}

// Add adds one change. writeGap is the longest time without a confirmed write.
func (g *Gaps) Add(c elect.Change, writeGap time.Duration) {
	if g.parts == nil {
		g.parts = make(map[string][]time.Duration)
	}
	values := []time.Duration{c.Detection, c.Delay, c.Prepare, c.Promote, c.Confirm, c.Total(), writeGap}
	for i, name := range gapParts {
		g.parts[name] = append(g.parts[name], values[i])
	}
}

// Quantile returns the quantile q, for example 0.99, of the part over all runs, or 0 if there are none.
func (g *Gaps) Quantile(part string, q float64) time.Duration {
	values := slices.Clone(g.parts[part])
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[min(int(q*float64(len(values))), len(values)-1)]
}

// String returns the p50 and p99 of each part in milliseconds.
func (g *Gaps) String() string {
	s := fmt.Sprintf("runs %d", len(g.parts[gapParts[0]]))
	for _, part := range gapParts {
		s += fmt.Sprintf(", %s %d/%d", part, g.Quantile(part, 0.5).Milliseconds(), g.Quantile(part, 0.99).Milliseconds())
	}
	return s + " (p50/p99 ms)"
}

// WriteGap returns the longest time between successive acknowledged writes of the history.
func WriteGap(h History) time.Duration {
	var ends []time.Time
	for _, op := range acknowledgedWrites(h) {
		ends = append(ends, op.End)
	}
	slices.SortFunc(ends, time.Time.Compare)
	longest := time.Duration(0)
	for i := 1; i < len(ends); i++ {
		longest = max(longest, ends[i].Sub(ends[i-1]))
	}
	return longest
}
