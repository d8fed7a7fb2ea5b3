package owner

import (
	"context"
	"testing"
	"time"

	"snipewall/core"
)

// BenchmarkRead measures the owner's overhead for a read on an upstream that answers at once.
func BenchmarkRead(b *testing.B) {
	f := newFixture(func(_ *Config, f *fixture) { f.up.service, f.up.info.ConnectTime, f.up.info.Slots = 0, 0, 8 })
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- f.Run(ctx) }()
	time.Sleep(10 * time.Millisecond)
	c := &caller{}
	b.ReportAllocs()
	for b.Loop() {
		c.got, c.rows = c.got[:0], c.rows[:0]
		if _, err := f.Execute(ctx, f.request(core.ClassRead), c); err != nil {
			b.Fatal(err)
		}
	}
	cancel()
	if err := <-ended; err != nil {
		b.Fatal(err)
	}
}
