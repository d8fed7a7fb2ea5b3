package quorum_test

import (
	"context"
	"fmt"
	"runtime"
	"syscall"
	"testing"
	"time"

	"snipewall/core"
	"snipewall/core/quorum"
)

// staticUpstream is an upstream that answers at once, always with the same status.
type staticUpstream struct {
	core.Upstream
	info   core.UpstreamInfo
	status core.UpstreamStatus
}

func (s *staticUpstream) Info() core.UpstreamInfo                             { return s.info }
func (s *staticUpstream) Status(context.Context) (core.UpstreamStatus, error) { return s.status, nil }

func newStaticGroup(n int) []core.Upstream {
	id := core.GroupID(fmt.Sprintf("g%d", n))
	ups := make([]core.Upstream, 3)
	for i := range ups {
		st := core.UpstreamStatus{Role: core.RoleReplica, Promised: 1, Log: core.Position{Term: 1, Offset: 9}, Applied: core.Position{Term: 1, Offset: 9}}
		if i == 0 {
			st.Role = core.RolePrimary
		}
		ups[i] = &staticUpstream{info: core.UpstreamInfo{ID: core.UpstreamID(fmt.Sprintf("%s-u%d", id, i)), Group: id}, status: st}
	}
	return ups
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func memory() uint64 {
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return s.HeapAlloc + s.StackInuse
}

// BenchmarkIdleGroups measures the heap and stack size and the CPU time of a monitored group without
// waiting callers. The upstreams are fakes, so that the cost of sending polls isn't included. "Used"
// groups are polled every PollInterval, idle ("Quiet") ones every IdleInterval.
func BenchmarkIdleGroups(b *testing.B) {
	modes := []struct {
		name  string
		after time.Duration
	}{{"Used", time.Hour}, {"Quiet", time.Nanosecond}}
	for _, mode := range modes {
		for _, n := range []int{10, 100, 1000} {
			b.Run(fmt.Sprintf("%s/%d", mode.name, n), func(b *testing.B) {
				for range b.N {
					measureIdle(b, n, mode.after)
				}
			})
		}
	}
}

func measureIdle(b *testing.B, n int, idleAfter time.Duration) {
	const span = 3 * time.Second
	before := memory()
	ctx, cancel := context.WithCancel(context.Background())
	ends := make(chan error, n)
	for i := range n {
		m := quorum.New(quorum.Config{
			Group: core.GroupID(fmt.Sprintf("g%d", i)), Upstreams: newStaticGroup(i), IdleAfter: idleAfter,
		})
		go func() { ends <- m.Run(ctx) }()
	}
	time.Sleep(time.Second)
	cpu := cpuTime()
	time.Sleep(span)
	cpu = cpuTime() - cpu
	after := memory()
	cancel()
	for range n {
		if err := <-ends; err != nil {
			b.Error(err)
		}
	}
	b.ReportMetric(float64(int64(after-before))/float64(n), "bytes/group")
	b.ReportMetric(float64(cpu.Microseconds())/span.Seconds()/float64(n), "cpu-us/s/group")
}

// BenchmarkReadIndex measures ReadIndex with many concurrent callers, which share polls.
func BenchmarkReadIndex(b *testing.B) {
	m := quorum.New(quorum.Config{Group: "g", Upstreams: newStaticGroup(0)})
	ctx, cancel := context.WithCancel(context.Background())
	end := make(chan error, 1)
	go func() { end <- m.Run(ctx) }()
	b.SetParallelism(64)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if _, err := m.ReadIndex(ctx); err != nil {
				b.Error(err)
				return
			}
		}
	})
	cancel()
	if err := <-end; err != nil {
		b.Error(err)
	}
}
