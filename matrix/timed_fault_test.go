package matrix

import (
	"flag"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"snipewall/core/elect"
)

var searchCount = flag.Int("matrix.strikes", 4, "parallel searches of 20 generated runs each")

// Guards against violations of the guarantees when faults overlap, repeat and begin at any time. TestMatrix
// injects faults only when a step begins.
func TestGeneratedFaults(t *testing.T) {
	if f := flag.Lookup("rapid.checks"); f.Value.String() == f.DefValue {
		if err := f.Value.Set("20"); err != nil {
			t.Fatal(err)
		}
	}
	for range *searchCount {
		t.Run("Search", func(t *testing.T) {
			t.Parallel()
			rapid.Check(t, func(rt *rapid.T) {
				size := rapid.SampledFrom([]int{3, 3, 5}).Draw(rt, "size")
				cfg := newCellConfig(rapid.Uint64().Draw(rt, "seed"))
				cfg.Size = size
				faults := rapid.SliceOfN(genFault(size), 1, 8).Draw(rt, "faults")
				var h History
				synctest.Test(t, func(*testing.T) { h = RunFaults(cfg, faults) })
				if err := CheckAll(h); err != nil {
					rt.Fatalf("%v\nchanges: %+v", err, h.Changes)
				}
			})
		})
	}
}

// genFault generates faults for a group of the given size.
func genFault(size int) *rapid.Generator[TimedFault] {
	return rapid.Custom(func(t *rapid.T) TimedFault {
		ms := func(name string, limit int) time.Duration {
			return time.Duration(rapid.IntRange(1, limit).Draw(t, name)) * time.Millisecond
		}
		return TimedFault{
			Wait:     ms("wait", 4000),
			Fault:    rapid.SampledFrom(Faults()).Draw(t, "fault"),
			Target:   rapid.IntRange(0, size-1).Draw(t, "target"),
			Site:     rapid.IntRange(0, 1).Draw(t, "site"),
			Duration: ms("duration", 9000),
			Step:     rapid.SampledFrom(elect.Steps()).Draw(t, "step"),
		}
	})
}
