package main

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// The partition of the primary from one VM, and the load of its callers: prepared statements of legal size, each new.
const (
	cutTime     = 5 * time.Second
	cutGap      = 1500 * time.Millisecond
	cutCount    = 12
	shapeBytes  = 500_000
	reporters   = 6
	reportDelay = 20 * time.Millisecond
)

// The rule on processes that end by themselves: so many machines, so often.
const (
	endedMachines = 2
	endedTimes    = 3
)

// playRelayMemory lets reporting tools prepare and run one large statement after the other at one VM. The primary is
// partitioned from this VM now and then, so that its statements go through others.
func playRelayMemory(r *run) {
	g, vms := r.newDeployment()
	primary := g.primary()
	var until time.Time
	g.mu.Lock()
	g.hooks.isCut = func(u *upstream, vm string) bool {
		return u == primary && vm == vms[0].name && time.Now().Before(until)
	}
	g.mu.Unlock()
	stop := make(chan struct{})
	var wg sync.WaitGroup
	ends := make([]atomic.Int32, len(vms))
	for i, vm := range vms {
		wg.Go(func() { vm.enforceMemory(&ends[i], stop) })
	}
	for i := range reporters {
		wg.Go(func() { g.report(fmt.Sprintf("report-%d", i), vms[0], stop) })
	}
	for n := 0; n < cutCount && countEnded(ends) < endedMachines; n++ {
		time.Sleep(cutGap)
		if r.trouble {
			r.notef("cut %d: %s from %s", n+1, primary.id, vms[0].name)
			g.mu.Lock()
			until = time.Now().Add(cutTime)
			g.mu.Unlock()
		}
		time.Sleep(cutTime)
	}
	close(stop)
	wg.Wait()
	for i := range ends {
		r.notef("%s exceeded its memory %d times", vms[i].name, ends[i].Load())
	}
	if n := countEnded(ends); n >= endedMachines {
		r.breakf("Fault", "processes of %d machines without a disruption ended %d times or more", n, endedTimes)
	}
}

// countEnded counts the machines whose processes ended often enough. The first one doesn't count: it is partitioned from
// the primary.
func countEnded(ends []atomic.Int32) (n int) {
	for i := range ends[1:] {
		if ends[i+1].Load() >= endedTimes {
			n++
		}
	}
	return n
}

// report is a reporting tool.
func (g *group) report(who string, vm *entryVM, stop chan struct{}) {
	var cl *caller
	for n := 0; ; n++ {
		select {
		case <-stop:
			if cl != nil {
				cl.close()
			}
			return
		case <-time.After(reportDelay):
		}
		if cl == nil {
			var err error
			if cl, err = openSession(vm.front(), strictDatabase); err != nil {
				g.r.notef("%s: %v", who, err)
				continue
			}
		}
		shape := fmt.Sprintf("q%s-%d-%s", who, n, strings.Repeat("y", shapeBytes))
		res := cl.query(newID(), "PREPARE s1 READ "+shape)
		if res.isSuccess() {
			res = cl.query(newID(), "EXECUTE s1 m1")
			g.checkSigned(who, "EXECUTE s1 m1", res)
		}
		if n%50 == 0 || !res.isSuccess() {
			g.r.notef("%s: statement %d: %s", who, n, res)
		}
		if res.err != nil {
			cl.close()
			cl = nil
		}
	}
}

// enforceMemory does what the platform does: it ends a process that exceeds its memory and starts it again. It counts how
// often that happens.
func (vm *entryVM) enforceMemory(ends *atomic.Int32, stop chan struct{}) {
	highest := 0
	for {
		select {
		case <-stop:
			vm.r.notef("%s: highest memory %d MB", vm.name, highest)
			return
		case <-time.After(25 * time.Millisecond):
		}
		mb := vm.memory()
		highest = max(highest, mb)
		if mb <= memoryMB {
			continue
		}
		ends.Add(1)
		vm.r.notef("%s: holds %d MB, more than %d MB", vm.name, mb, memoryMB)
		vm.kill()
		time.Sleep(300 * time.Millisecond)
		vm.start()
	}
}
