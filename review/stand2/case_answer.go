package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// entryCount is the number of entry VMs of gbpc-shore.
const entryCount = 6

// newDeployment starts the platform, the three groups and the entry VMs of gbpc-shore, and returns the first group.
func (r *run) newDeployment() (*group, []*entryVM) {
	p := newPlatform(r)
	var groups []*group
	for _, service := range []string{"berth-ledger", "berth-ledger-2", "berth-ledger-3"} {
		groups = append(groups, newGroup(r, p, groupConfig{service: service, zones: []string{"galveston", "mobile-bay", "charleston"}}))
	}
	putConfig(p, 7, groups...)
	return groups[0], r.startEntries(entryCount, []string{"charleston", "galveston", "mobile-bay"}, p)
}

// Answers of the case: a short item and a report of legal size.
const (
	reportRows = 48
	rowBytes   = 500
)

// playLargeAnswer lets members look at their usage and load a report in turn, on long sessions. Entry VMs are killed;
// their callers reconnect and repeat what they were doing.
func playLargeAnswer(r *run) {
	g, vms := r.newDeployment()
	g.mu.Lock()
	for i := range reportRows {
		g.rows["report"] = append(g.rows["report"], fmt.Sprintf("%03d", i)+strings.Repeat("x", rowBytes))
	}
	g.mu.Unlock()
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for i := range 2 * entryCount {
		wg.Go(func() { g.viewUsage(fmt.Sprintf("member-%d", i), vms, i, stop) })
	}
	for i := range 3 {
		time.Sleep(4 * time.Second)
		if !r.trouble {
			continue
		}
		vms[i].kill()
		time.Sleep(time.Second)
		vms[i].start()
	}
	time.Sleep(4 * time.Second)
	close(stop)
	wg.Wait()
}

// viewUsage is a member: short and long reads in turn. After the end of a connection it reconnects to the next VM and
// repeats the read.
func (g *group) viewUsage(who string, vms []*entryVM, at int, stop chan struct{}) {
	var cl *caller
	texts := []string{"READ m1", "READ report"}
	for n := 0; ; {
		select {
		case <-stop:
			if cl != nil {
				cl.close()
			}
			return
		case <-time.After(150 * time.Millisecond):
		}
		if cl == nil {
			var err error
			if cl, err = openSession(vms[at%len(vms)].front(), boundedDatabase); err != nil {
				g.r.notef("%s: %s: %v", who, vms[at%len(vms)].name, err)
				at++
				continue
			}
			g.r.notef("%s: session at %s", who, vms[at%len(vms)].name)
		}
		text := texts[n%len(texts)]
		res := cl.query(newID(), text)
		if !res.isSuccess() || len(res.completes) != 1 {
			g.r.notef("%s: %s %q: %s", who, res.id, text, res)
		}
		g.checkSigned(who, text, res)
		if res.err != nil {
			cl.close()
			cl = nil
			at++
			continue
		}
		n++
	}
}
