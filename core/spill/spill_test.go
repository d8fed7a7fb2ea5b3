package spill

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const ms = time.Millisecond

// Guards against statements that leave their failure domain without a gain, and against statements that wait although
// another upstream serves them sooner by more than the round trip and the price.
func TestChoice(t *testing.T) {
	here, there := Offer{Run: 20 * ms}, Offer{Run: 20 * ms, Hop: 25 * ms, Toll: 10 * ms}
	waits := func(o Offer, d time.Duration) Offer { o.Wait = d; return o }
	tests := []struct {
		name         string
		offers       []Offer
		want         int
		wantPatience time.Duration
	}{
		{"no wait", []Offer{there, here}, 1, 35 * ms},
		{"a wait below hop and price", []Offer{waits(here, 30*ms), there}, 0, 35 * ms},
		{"a longer wait", []Offer{waits(here, 40*ms), there}, 1, 5 * ms},
		{"both wait", []Offer{waits(here, 100*ms), waits(there, 100*ms)}, 0, 135 * ms},
		{"the only upstream", []Offer{waits(here, 900*ms)}, 0, 0},
		{"the last upstream that may be used", []Offer{waits(here, 900*ms), {Skip: true}}, 0, 0},
		{"one that fails often", []Offer{{Burden: 200 * ms}, there}, 1, 145 * ms},
		{"nothing may be used", []Offer{{Skip: true}}, -1, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			i := Cheapest(tt.offers)
			assert.Equal(t, i, tt.want)
			if i >= 0 {
				assert.Equal(t, Patience(tt.offers, i), tt.wantPatience)
			}
		})
	}
}

// Guards against a wait that was told once and keeps work away for ever.
func TestToldWaitEnds(t *testing.T) {
	now := time.Now()
	told := Told{Wait: 50 * ms, At: now}
	assert.Equal(t, told.Left(now.Add(20*ms)), 30*ms)
	assert.Equal(t, told.Left(now.Add(time.Second)), time.Duration(0))
}

func TestToll(t *testing.T) {
	assert.Equal(t, Tariff{PerKiB: 20 * ms}.Toll(512), 10*ms)
	assert.Equal(t, Tariff{}.Toll(512), time.Duration(0))
}
