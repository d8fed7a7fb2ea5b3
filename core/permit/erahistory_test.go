package permit

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"snipewall/core"
)

var eraSeeds = flag.Uint64("era.seeds", 150, "number of seeds of TestRandomEras")

const (
	historyTime = time.Minute
	// historyLease is the life of the lease of a VM that promotes, historyMargin its rest that isn't used.
	historyLease  = RestoreTime
	historyMargin = time.Second
	// maxCutTime is how long a VM doesn't reach the store: lost records are written again by RestoreTime. maxSilentTime is how
	// long it doesn't reach other VMs, more than a promotion waits for it.
	maxCutTime    = 3500 * time.Millisecond
	maxSilentTime = 8 * time.Second
)

// history is a fleet whose VMs promote upstreams while the store comes back from older copies.
type history struct {
	*fleet
	t    *testing.T
	rnd  *rand.Rand
	mu   sync.Mutex
	held heldLease
	// leader is the upstream that leads, and promotions is the number of promotions.
	leader     core.UpstreamID
	promotions int
	own        map[core.VMID]heldLease
	// work is the epoch and the primary of work that a VM has begun.
	work map[core.VMID]startedWork
}

type heldLease struct {
	holder core.VMID
	era    core.Era
	until  core.Instant
}

type startedWork struct {
	epoch  core.Version
	leader core.UpstreamID
}

// Guards against an old primary that a VM uses after another upstream has begun to lead, where the store comes back from older
// copies while VMs promote, and VMs reach neither the store nor each other for a while.
func TestRandomEras(t *testing.T) {
	promotions := 0
	for seed := range *eraSeeds {
		synctest.Test(t, func(t *testing.T) {
			h := newHistory(t, seed)
			h.play()
			promotions += h.promotions
		})
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
	}
	t.Logf("%d promotions", promotions)
}

func newHistory(t *testing.T, seed uint64) *history {
	h := &history{
		fleet: newFleet(t, "a", "b", "c", "d"), t: t, rnd: rand.New(rand.NewPCG(seed, 3)), leader: "u0",
		own: map[core.VMID]heldLease{}, work: map[core.VMID]startedWork{},
	}
	if err := h.guards["a"].Write(t.Context(), testGroup, Record{Target: "u0", Holder: "a"}); err != nil {
		t.Fatal(err)
	}
	h.store.Save()
	return h
}

// draw returns a random duration up to d.
func (h *history) draw(d time.Duration) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return time.Duration(h.rnd.Int64N(int64(d)))
}

func (h *history) play() {
	var running sync.WaitGroup
	ctx, cancel := context.WithTimeout(h.t.Context(), historyTime)
	defer cancel()
	running.Go(func() { h.run(h.t, historyTime) })
	repeat := func(pause time.Duration, do func()) {
		running.Go(func() {
			for ctx.Err() == nil && !h.t.Failed() {
				time.Sleep(h.draw(pause) + 10*time.Millisecond)
				do()
			}
		})
	}
	for _, vm := range []core.VMID{"a", "b", "c", "d"} {
		repeat(1500*time.Millisecond, func() {
			if !h.isCutOff(vm) {
				h.read(vm)
				h.guards[vm].Confirm(h.now())
			}
		})
		repeat(4*time.Second, func() { h.promote(ctx, vm) })
		repeat(4*time.Second, func() { h.cut(h.isolated, vm, maxSilentTime) })
		repeat(4*time.Second, func() { h.cut(h.cutOff, vm, maxCutTime) })
	}
	repeat(20*time.Millisecond, h.check)
	running.Wait()
}

func (h *history) change(do func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	do()
}

// cut makes the VM not reach the others or the store for a while.
func (h *history) cut(links map[core.VMID]bool, vm core.VMID, longest time.Duration) {
	set := func(cut bool) {
		h.fleet.mu.Lock()
		defer h.fleet.mu.Unlock()
		links[vm] = cut
	}
	set(true)
	time.Sleep(h.draw(longest))
	set(false)
	// It reads the store and writes lost records again before it is cut off once more.
	time.Sleep(1500 * time.Millisecond)
}

// check reports a VM that would start work on another primary than the one that leads, or accept its answer.
func (h *history) check() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for vm, g := range h.guards {
		if w, ok := h.work[vm]; ok && w.leader != h.leader && g.Covers(testGroup, w.epoch) {
			h.t.Errorf("%s accepts an answer of %s while %s leads", vm, w.leader, h.leader)
		}
		leader, known := g.Leader(testGroup)
		epoch, ok := g.Admits(testGroup)
		if !ok || !known {
			continue
		}
		if leader != h.leader {
			h.t.Errorf("%s uses %s while %s leads", vm, leader, h.leader)
		}
		h.work[vm] = startedWork{epoch, leader}
	}
}

// acquire gives the VM the lease if it may have it, as core/lead does.
func (h *history) acquire(vm core.VMID) bool {
	rec, _ := h.guards[vm].Record(testGroup)
	newest := h.eras[vm].Newest()
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.now()
	isHolder := h.own[vm].until.Sub(now) > historyMargin
	if isHolder && h.own[vm].era == newest {
		return true
	}
	if h.eras[vm].Remaining(historyLease) > 0 && (!isHolder || !rec.Held || rec.Holder != vm) {
		return false
	}
	if h.held.holder != "" && now < h.held.until {
		return false
	}
	h.held = heldLease{vm, newest, now.Add(historyLease)}
	h.own[vm] = h.held
	return true
}

// keep renews the VM's lease and reports whether it may be used.
func (h *history) keep(vm core.VMID) bool {
	cut, newest := h.isCutOff(vm), h.eras[vm].Newest()
	h.mu.Lock()
	defer h.mu.Unlock()
	own := h.own[vm]
	if own.era != newest {
		return false
	}
	if !cut && h.held.holder == vm {
		own.until = h.now().Add(historyLease)
		h.held, h.own[vm] = own, own
	}
	return own.until.Sub(h.now()) > historyMargin
}

// promote promotes an upstream as core/lead does.
func (h *history) promote(ctx context.Context, vm core.VMID) {
	g := h.guards[vm]
	if h.isCutOff(vm) {
		return
	}
	h.read(vm)
	if !h.acquire(vm) {
		return
	}
	h.store.Save()
	if h.draw(4) == 0 {
		// The copy has neither the lease nor the hold.
		time.AfterFunc(h.draw(TTL+time.Second), func() {
			h.change(func() {
				h.store.ComeBack()
				h.held = heldLease{}
			})
		})
	}
	target := core.UpstreamID(fmt.Sprintf("u%d", h.draw(1000)))
	if rec, ok := g.Record(testGroup); ok && rec.Held {
		target = rec.Target
	}
	if g.Write(ctx, testGroup, Record{Held: true, Target: target, Holder: vm}) != nil {
		return
	}
	progress := Progress{TTL: TTL}
	for end := time.Now().Add(8 * time.Second); !progress.Note(h.now(), g.Spread(ctx, testGroup)); time.Sleep(100 * time.Millisecond) {
		if !h.keep(vm) || time.Now().After(end) {
			return
		}
	}
	rec, _ := g.Record(testGroup)
	if !rec.Held || rec.Holder != vm || !g.IsStored(testGroup) || !h.keep(vm) {
		return
	}
	h.change(func() {
		h.leader = target
		h.promotions++
	})
	for range 20 {
		if rec, _ := g.Record(testGroup); !rec.Held || rec.Holder != vm || g.Write(ctx, testGroup, Record{Target: target, Holder: vm}) == nil {
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	g.Spread(ctx, testGroup)
}
