package main

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// Doses of the disruptions: how long the primaries are dark, and how long the platform takes for a promotion call.
const (
	darkTime     = 2 * time.Second
	slowCallTime = 2500 * time.Millisecond
)

// The primaries go dark this often at most, and that much time apart.
const (
	outages        = 6
	outageInterval = 9 * time.Second
)

// farZone is that of the replica in another region than the first primary's. A primary there is as far from both replicas.
const farZone = "galveston"

// entryZones are those of the entry VMs: four VMs in the region of the far replica, and one in each other.
var entryZones = []string{farZone, "lake-charles", "mobile-bay", "charleston"}

// playSlowPromotion lets pedestals write to three services whose commits wait for one replica. Their primaries go dark for a
// short time, one after the other, while the platform is slow. It ends with the first loss.
func playSlowPromotion(r *run) {
	p := newPlatform(r)
	var groups []*group
	for i := range 3 {
		groups = append(groups, newGroup(r, p, groupConfig{
			service: fmt.Sprintf("berth-ledger-%d", i+1), zones: []string{"mobile-bay", "pensacola", farZone}, syncReplicas: 1,
		}))
	}
	putConfig(p, 7, groups...)
	vms := r.startEntries(entryCount, entryZones, p)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for i, g := range groups {
		for j := range 3 * len(vms) {
			wg.Go(func() { g.pedestal(fmt.Sprintf("pedestal-%d-%d", i+1, j), vms[j%len(vms)], stop) })
		}
	}
	time.Sleep(5 * time.Second)
	if r.trouble {
		p.callTime = func() time.Duration { return slowCallTime }
	}
	for round := range outages {
		g := groups[round%len(groups)]
		primary := g.primary()
		if r.trouble && primary.zone != farZone && !lostAny(groups) {
			r.notef("%s of %s goes dark", primary.id, g.service)
			g.mu.Lock()
			primary.darkUntil = time.Now().Add(darkTime)
			g.mu.Unlock()
		}
		if !lostAny(groups) {
			time.Sleep(outageInterval)
		}
	}
	close(stop)
	wg.Wait()
	for _, g := range groups {
		g.checkKept()
	}
}

// lostAny reports whether a promotion has rolled back an acknowledged commit.
func lostAny(groups []*group) bool {
	return slices.ContainsFunc(groups, func(g *group) bool {
		g.mu.Lock()
		defer g.mu.Unlock()
		return len(g.lostCommits()) > 0
	})
}

// lostCommits returns the acknowledged commits that promotions have rolled back. The caller holds mu.
func (g *group) lostCommits() (lost []commit) {
	for _, c := range g.rolledBack {
		if g.acked[c.id] {
			lost = append(lost, c)
		}
	}
	return lost
}

// checkKept records the acknowledged commits that a promotion has rolled back.
func (g *group) checkKept() {
	g.mu.Lock()
	defer g.mu.Unlock()
	lost := g.lostCommits()
	for _, c := range lost {
		g.r.notef("commit %s at %s was acknowledged and is rolled back", c.id, c.pos)
	}
	g.r.notef("%s: %d commits acknowledged, %d rolled back, %d of these acknowledged", g.service, len(g.acked), len(g.rolledBack), len(lost))
	if len(lost) > 0 {
		g.r.breakf("LOST", "%d acknowledged commits of %s aren't in the log of the promoted backend", len(lost), g.service)
	}
}

// pedestal writes until stop is closed, and records the ids of the acknowledged writes.
func (g *group) pedestal(who string, vm *entryVM, stop chan struct{}) {
	var cl *caller
	for n := 0; ; n++ {
		select {
		case <-stop:
			if cl != nil {
				cl.close()
			}
			return
		case <-time.After(time.Duration(10+rand.IntN(20)) * time.Millisecond):
		}
		if cl == nil {
			var err error
			if cl, err = openSession(vm.front(), g.service); err != nil {
				g.r.notef("%s: %v", who, err)
				continue
			}
		}
		res := cl.query(newID(), fmt.Sprintf("WRITE %s reading-%d", who, n))
		g.r.notef("%s: %s", who, res)
		if res.isSuccess() {
			g.mu.Lock()
			g.acked[res.id] = true
			g.mu.Unlock()
		}
		if res.err != nil {
			cl.close()
			cl = nil
		}
	}
}
