package matrix

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

var seedFlag = flag.Uint64("matrix.seed", 1, "base seed of the matrix")

// Guards against these effects of a fault at any step of a change of primary: an acknowledged write is lost,
// an old primary acknowledges a write, a session reads stale data, or the group is left without a primary.
func TestMatrix(t *testing.T) {
	var passed, failed atomic.Int64
	var mu sync.Mutex
	t.Run("Cells", func(t *testing.T) {
		for _, c := range Cells(*seedFlag) {
			t.Run(c.Name(), func(t *testing.T) {
				t.Parallel()
				var h History
				var err error
				synctest.Test(t, func(*testing.T) { h, err = c.Run(newCellConfig(c.Seed)) })
				mu.Lock()
				defer mu.Unlock()
				if err != nil {
					failed.Add(1)
					fmt.Printf("FAIL %s seed %d: %v\n", c.Name(), c.Seed, err)
					t.Errorf("seed %d: %v", c.Seed, err)
					return
				}
				passed.Add(1)
				fmt.Printf("ok   %s seed %d: %d operations, %d changes\n", c.Name(), c.Seed, len(h.Ops), len(h.Changes))
			})
		}
	})
	fmt.Printf("%d passed, %d failed\n", passed.Load(), failed.Load())
}

// newCellConfig returns a configuration with delays and replication lag that depend on the seed.
func newCellConfig(seed uint64) SimulationConfig {
	random := rand.New(rand.NewPCG(seed, 2))
	delays := []time.Duration{500 * time.Microsecond, 1500 * time.Microsecond, 12 * time.Millisecond}
	lags := []time.Duration{0, 20 * time.Millisecond, 200 * time.Millisecond}
	return SimulationConfig{
		Delay: delays[random.IntN(len(delays))], Lag: lags[random.IntN(len(lags))],
		Clients: 2, Every: 100 * time.Millisecond,
	}
}
