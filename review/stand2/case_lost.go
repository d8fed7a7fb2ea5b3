package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// Doses of the disruption: the share of the requests whose answer the primary loses, and for how long.
const (
	lostShare = 0.2
	lostTime  = 4 * time.Second
)

// playLostAnswer lets dockmasters read their berths with the strictest consistency. The primary runs their reads, and
// loses some answers.
func playLostAnswer(r *run) {
	g, vms := r.newDeployment()
	primary := g.primary()
	var until time.Time
	g.mu.Lock()
	g.hooks.loses = func(u *upstream, id, text string) bool {
		if u != primary || id == "-" || !time.Now().Before(until) || rand.Float64() >= lostShare {
			return false
		}
		r.notef("%s has run %s %q; the answer is lost", u.id, id, text)
		return true
	}
	g.mu.Unlock()
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for i := range 2 * entryCount {
		wg.Go(func() { g.readBerths(fmt.Sprintf("dockmaster-%d", i), vms[i%len(vms)], stop) })
	}
	time.Sleep(3 * time.Second)
	if r.trouble {
		r.notef("%s begins to lose answers", primary.id)
		g.mu.Lock()
		until = time.Now().Add(lostTime)
		g.mu.Unlock()
	}
	time.Sleep(lostTime + 2*time.Second)
	close(stop)
	wg.Wait()
}

// readBerths reads until stop is closed.
func (g *group) readBerths(who string, vm *entryVM, stop chan struct{}) {
	var cl *caller
	for n := 0; ; n++ {
		select {
		case <-stop:
			if cl != nil {
				cl.close()
			}
			return
		case <-time.After(time.Duration(50+rand.IntN(100)) * time.Millisecond):
		}
		if cl == nil {
			var err error
			if cl, err = openSession(vm.front(), strictDatabase); err != nil {
				g.r.notef("%s: %v", who, err)
				continue
			}
		}
		text := fmt.Sprintf("READ berth-%d", n%7)
		res := cl.query(newID(), text)
		g.r.notef("%s: %s %q: %s", who, res.id, text, res)
		g.checkSigned(who, text, res)
		if res.err != nil {
			cl.close()
			cl = nil
		}
	}
}
