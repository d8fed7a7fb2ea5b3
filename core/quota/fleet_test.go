package quota

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"reflect"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"

	"snipewall/core"
	"snipewall/core/eras"
	"snipewall/core/topo"
)

var testBound = Bound{Window: 5 * time.Second, Excess: 0.1, Slack: 20}

var errCut = errors.New("cut off")

// fleet is a number of VMs with a store and a network on the fake clock.
type fleet struct {
	t     *testing.T
	start time.Time
	// rng is for the load, netRng for the network under mu.
	rng, netRng *rand.Rand
	directory   *topo.Directory
	store       *leaseStore
	nodes       []*node
	messages    int
	stopped     atomic.Bool

	mu   sync.Mutex
	orgs []core.OrganisationID
	// sends and grants are the times of the operations.
	sends, grants map[core.OrganisationID][]time.Duration
	stats         map[core.OrganisationID]*stats
	ops           sync.WaitGroup
}

// stats counts the operations of an organisation.
type stats struct {
	sent, granted, refused int
	waits                  []time.Duration
}

// node is one VM of a fleet. Its process is restarted with another Limiter.
type node struct {
	f      *fleet
	vm     core.VM
	mu     sync.Mutex
	l      *Limiter
	began  core.Instant
	cancel context.CancelFunc
	ended  chan error
	// group is the side of a partition.
	group int
	// suspendedUntil is when calls continue to be sent, received and answered.
	suspendedUntil time.Time
	storeCut       bool
}

func newFleet(t *testing.T, vms, orgs int, seed uint64) *fleet {
	f := &fleet{
		t: t, start: time.Now(), rng: rand.New(rand.NewPCG(seed, 1)), netRng: rand.New(rand.NewPCG(seed, 2)), directory: topo.NewDirectory(),
		sends: make(map[core.OrganisationID][]time.Duration), grants: make(map[core.OrganisationID][]time.Duration), stats: make(map[core.OrganisationID]*stats),
	}
	f.store = newLeaseStore(f.now)
	for i := range orgs {
		id := orgID(i)
		f.orgs = append(f.orgs, id)
		f.stats[id] = &stats{}
	}
	for i := range vms {
		id := core.VMID(fmt.Sprintf("vm-%02d", i))
		n := &node{f: f, vm: core.VM{ID: id, FailureDomain: core.FailureDomain(fmt.Sprint(i % 4)), Control: string(id)}}
		f.nodes = append(f.nodes, n)
	}
	return f
}

func orgID(i int) core.OrganisationID { return core.OrganisationID(fmt.Sprintf("org-%02d", i)) }

// now is the clock of all VMs.
func (f *fleet) now() core.Instant { return core.Instant(time.Since(f.start) + time.Hour) }

// zipf returns the usual rates of organisations that send 12 operations a second on each VM together.
func (f *fleet) zipf() []float64 {
	rates := make([]float64, len(f.orgs))
	sum := 0.0
	for i := range rates {
		rates[i] = math.Pow(float64(i+1), -1.2)
		sum += rates[i]
	}
	for i := range rates {
		rates[i] *= 12 * float64(len(f.nodes)) / sum
	}
	return rates
}

// limit sets the limits of all organisations: a factor of the rates, with a burst of one second.
func (f *fleet) limit(rates []float64, factor float64) {
	orgs := make(map[core.OrganisationID]topo.Organisation, len(rates))
	for i, rate := range rates {
		orgs[f.orgs[i]] = topo.Organisation{ID: f.orgs[i], Rate: rate * factor, Burst: rate * factor}
	}
	f.directory.Apply(topo.Config{Version: f.directory.Snapshot().Config.Version + 1, Organisations: orgs})
}

func (n *node) up() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.f.stopped.Load() || n.l != nil {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	tracker := eras.New(eras.Config{Now: n.f.now})
	n.l = New(Config{
		Eras: tracker, Self: n.vm, Members: n, Call: n.call, Store: n.storeView(tracker), Directory: n.f.directory, Window: testBound.Window,
		Excess: testBound.Excess, Slack: testBound.Slack, Log: log.NewNopLogger(), Now: n.f.now,
	})
	n.cancel, n.ended, n.began = cancel, make(chan error, 1), n.f.now()
	go func(l *Limiter, ended chan<- error) { ended <- l.Run(ctx) }(n.l, n.ended)
}

// kill ends the process without a release of its lease.
func (n *node) kill() {
	n.mu.Lock()
	l, cancel, ended := n.l, n.cancel, n.ended
	n.l = nil
	n.mu.Unlock()
	if l == nil {
		return
	}
	l.keeper.mu.Lock()
	l.keeper.lease = ""
	l.keeper.mu.Unlock()
	cancel()
	assert.NilError(n.f.t, <-ended)
}

func (n *node) restart(after time.Duration) {
	n.kill()
	time.AfterFunc(after, n.up)
}

func (f *fleet) stop() {
	f.stopped.Store(true)
	for _, n := range f.nodes {
		n.kill()
	}
	f.ops.Wait()
	time.Sleep(5 * time.Second)
}

func (n *node) limiter() *Limiter {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.l
}

// Alive implements Members.
func (n *node) Alive() []core.VM {
	out := make([]core.VM, len(n.f.nodes))
	for i, o := range n.f.nodes {
		out[i] = o.vm
	}
	return out
}

// EnlistedAt implements Members.
func (n *node) EnlistedAt() (core.Instant, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.began, n.f.now().Sub(n.began) > 60*time.Millisecond
}

// Refresh implements Members.
func (n *node) Refresh(ctx context.Context) error {
	_, err := n.storeView(eras.New(eras.Config{Now: n.f.now})).Get(ctx, "list")
	if errors.Is(err, core.ErrNotFound) {
		return nil
	}
	return err
}

// await waits while the VM is suspended.
func (n *node) await() {
	n.mu.Lock()
	until := n.suspendedUntil
	n.mu.Unlock()
	time.Sleep(time.Until(until))
}

func (n *node) reaches(o *node) bool {
	n.mu.Lock()
	a := n.group
	n.mu.Unlock()
	o.mu.Lock()
	defer o.mu.Unlock()
	return a == o.group && o.l != nil
}

// call calls a method of another VM with 12 ms of delay for each direction.
func (n *node) call(ctx context.Context, address, method string, req, answer any) error {
	f := n.f
	f.mu.Lock()
	f.messages++
	repeat, delay := f.netRng.IntN(20) == 0, time.Duration(f.netRng.IntN(1000))*time.Millisecond
	jitter := time.Duration(f.netRng.IntN(3000)) * time.Microsecond
	f.mu.Unlock()
	i := slices.IndexFunc(f.nodes, func(o *node) bool { return o.vm.Control == address })
	o := f.nodes[i]
	type result struct{ a any }
	done := make(chan result, 1)
	go func() {
		n.await()
		time.Sleep(12*time.Millisecond + jitter)
		o.await()
		l := o.limiter()
		if l == nil || !n.reaches(o) {
			done <- result{}
			return
		}
		var out any
		switch q := req.(type) {
		case *AskRequest:
			c := *q
			c.Items = slices.Clone(q.Items)
			out = ptr(l.serveAsk(&c))
		case *ReportRequest:
			out = ptr(l.serveReport(q))
		}
		o.await()
		time.Sleep(12 * time.Millisecond)
		n.await()
		if !o.reaches(n) {
			out = nil
		}
		done <- result{out}
		if repeat && l == o.limiter() {
			// The request arrives once more, as after a broken connection.
			time.Sleep(delay)
			l.repeat(req)
		}
	}()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case r := <-done:
		if r.a == nil {
			return errCut
		}
		reflect.ValueOf(answer).Elem().Set(reflect.ValueOf(r.a).Elem())
		return nil
	}
}

// repeat serves a request whose answer nobody reads.
func (l *Limiter) repeat(req any) {
	switch q := req.(type) {
	case *AskRequest:
		l.serveAsk(q)
	case *ReportRequest:
		l.serveReport(q)
	}
}

func ptr[T any](v T) *T { return &v }

// send lets a caller on the VM send one operation.
func (f *fleet) send(n *node, org int) {
	l := n.limiter()
	id := f.orgs[org]
	n.mu.Lock()
	if time.Now().Before(n.suspendedUntil) {
		l = nil
	}
	n.mu.Unlock()
	f.mu.Lock()
	st := f.stats[id]
	st.sent++
	f.sends[id] = append(f.sends[id], time.Since(f.start))
	f.mu.Unlock()
	if l == nil {
		f.mu.Lock()
		defer f.mu.Unlock()
		st.refused++
		return
	}
	f.ops.Go(func() {
		began := time.Now()
		v := l.Take(context.Background(), id, began.Add(2*time.Second))
		f.mu.Lock()
		defer f.mu.Unlock()
		if !v.OK {
			st.refused++
			return
		}
		st.granted++
		st.waits = append(st.waits, time.Since(began))
		f.grants[id] = append(f.grants[id], time.Since(f.start))
	})
}

// load sends operations of all organisations at the given rates for some time. pick chooses the VM of an operation.
func (f *fleet) load(d time.Duration, rates []float64, pick func(org int) *node) {
	const step = 5 * time.Millisecond
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(step) {
		for i, rate := range rates {
			x := rate * step.Seconds()
			for f.rng.Float64() < x {
				f.send(pick(i), i)
				x--
			}
		}
	}
}

// spread returns the VM of one of the organisation's callers, each of which sends an operation every two seconds. A
// caller whose VM is down moves to another one.
func (f *fleet) spread(rates []float64) func(int) *node {
	callers := make([][]*node, len(rates))
	for i, rate := range rates {
		for range int(2*rate) + 1 {
			callers[i] = append(callers[i], f.nodes[f.rng.IntN(len(f.nodes))])
		}
	}
	return func(org int) *node {
		i := f.rng.IntN(len(callers[org]))
		for n := 0; n < 20 && callers[org][i].limiter() == nil; n++ {
			callers[org][i] = f.nodes[f.rng.IntN(len(f.nodes))]
		}
		return callers[org][i]
	}
}

// reset forgets the operations that were sent so far.
func (f *fleet) reset() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id := range f.stats {
		f.stats[id] = &stats{}
	}
	f.messages = 0
}

// worstWindow returns the largest ratio of the operations in a window to the bound, over all organisations. limit returns
// the highest limit between two times.
func (f *fleet) worstWindow(limit func(org int, from, to time.Duration) Limit) (worst float64, at string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, id := range f.orgs {
		g := f.grants[id]
		slices.Sort(g)
		first := 0
		for last := range g {
			for g[last]-g[first] > testBound.Window {
				first++
			}
			n := last - first + 1
			if ratio := float64(n) / testBound.Max(limit(i, g[first], g[last])); ratio > worst {
				worst, at = ratio, fmt.Sprintf("%s ran %d operations between %v and %v", id, n, g[first], g[last])
			}
		}
	}
	return worst, at
}

// summary returns the share of granted operations, the largest one that an organisation lacks, and the
// waits of the 50th and 99th percentile.
func (f *fleet) summary() (granted, worst float64, p50, p99 time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	sent, ok := 0, 0
	worst = 1
	var waits []time.Duration
	for _, st := range f.stats {
		sent, ok = sent+st.sent, ok+st.granted
		if st.sent > 0 {
			worst = min(worst, float64(st.granted)/float64(st.sent))
		}
		waits = append(waits, st.waits...)
	}
	slices.Sort(waits)
	if len(waits) == 0 {
		return 0, 0, 0, 0
	}
	return float64(ok) / float64(sent), worst, waits[len(waits)/2], waits[len(waits)*99/100]
}

func (f *fleet) logSummary(title string) (granted, worst float64) {
	granted, worst, p50, p99 := f.summary()
	f.mu.Lock()
	defer f.mu.Unlock()
	ops, waited := 0, 0
	for _, st := range f.stats {
		ops += st.granted
		for _, w := range st.waits {
			if w > 0 {
				waited++
			}
		}
	}
	f.t.Logf("%-28s granted %.4f, worst organisation %.3f, %.3f waited, p50 %v p99 %v, %d messages", title, granted, worst, float64(waited)/float64(ops), p50, p99, f.messages)
	return granted, worst
}

// keepers returns the VMs that believe to be the keeper.
func (f *fleet) keepers() []*node {
	var out []*node
	for _, n := range f.nodes {
		if l := n.limiter(); l != nil && l.keeper.isActive() {
			out = append(out, n)
		}
	}
	return out
}

func (f *fleet) upAll() {
	for _, n := range f.nodes {
		n.up()
	}
}
