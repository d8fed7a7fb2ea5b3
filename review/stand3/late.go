//go:build review

package main

import (
	"fmt"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

func init() { scripts["late"] = runLate }

const (
	// lateTime is the time after which a promotion without an answer is executed.
	lateTime = 4 * time.Second
	// sessions are the callers of each service on each machine.
	sessions = 6
)

// ledger notes what callers were told.
type ledger struct {
	mu       sync.Mutex
	answered map[string]time.Time
	by       map[string]string
	refused  map[string]int
}

// writeOn writes to the service through the machine until stop is closed, with a new session after each failure.
func (l *ledger) writeOn(m *machine, database string, caller int, stop chan struct{}) {
	n := 0
	for {
		cl, err := dial(m.front, database, "")
		for err == nil {
			n++
			id := fmt.Sprintf("%s.%s.%d.%d", m.name, database, caller, n)
			var lines []string
			lines, err = cl.query(id, fmt.Sprintf("WRITE item-%d data", n%50), 2*time.Second)
			l.mu.Lock()
			if err == nil && strings.HasPrefix(lines[0], "COMPLETE sig.") {
				l.answered[id], l.by[id] = time.Now(), m.name
			} else if err == nil {
				f := strings.Fields(lines[0])
				l.refused[f[min(1, len(f)-1)]]++
			}
			l.mu.Unlock()
			select {
			case <-stop:
				_ = cl.c.Close()
				return
			case <-time.After(5 * time.Millisecond):
			}
		}
		if cl != nil {
			_ = cl.c.Close()
		}
		select {
		case <-stop:
			return
		case <-time.After(50 * time.Millisecond):
		}
	}
}

// runLate replaces the primaries of four services as planned, one after the other. With the trouble, the last promotion call gets no
// answer and is executed late, and the machine that has sent it is killed.
func runLate(dir string, trouble bool) int {
	log := newRecord(filepath.Join(dir, "record.txt"))
	names := []string{"books", "gates", "seals", "tills"}
	cl := &cloud{log: log, groups: map[string]*replGroup{}}
	var services, routes []map[string]any
	for i, name := range names {
		// The primary and a replica are in one region, the other replica in the region of the machines.
		cl.groups[name] = newReplGroup(name, []replPlace{{"mb-brandon", 0}, {"mb-selkirk", 1400 * time.Microsecond}, {"sask-regina", 12 * time.Millisecond}}, 5, log)
		services = append(services, map[string]any{"name": name, "healthPath": "/health", "maxConnections": 58, "protocol": "h1", "tls": false, "syncReplicas": 1})
		routes = append(routes, map[string]any{"name": fmt.Sprintf("r-%d", i), "host": "db-" + name, "prefix": "/", "routeType": "primary", "timeoutMs": 800, "targetLatencyMs": 400, "priority": 0, "service": name, "maxAttempts": 2})
	}
	d := newDeployment(deploymentConfig{
		machines: 3, memoryMb: 184, maxFds: 4300, routes: routes, services: services, cloud: cl,
		zones:        map[string]string{"sask-regina": "sask", "sask-yorkton": "sask", "mb-brandon": "manitoba", "mb-selkirk": "manitoba"},
		machineZones: []string{"sask-regina", "sask-regina", "sask-yorkton"},
		start: func(st *kvStore) {
			for _, g := range cl.groups {
				g.beat(st)
			}
		},
	}, log)
	defer d.stop()
	if !d.awaitReady() {
		log.add("the machines aren't ready")
		return failed
	}
	l := &ledger{answered: map[string]time.Time{}, by: map[string]string{}, refused: map[string]int{}}
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for _, m := range d.machines {
		for _, name := range names {
			for i := range sessions {
				callers.Go(func() { l.writeOn(m, "db-"+name, i, stop) })
			}
		}
	}
	time.Sleep(3 * time.Second)
	executed := make(chan struct{})
	for i, name := range names {
		g := cl.groups[name]
		if trouble && i == len(names)-1 {
			cl.setLate(d.killSender(name, executed))
		}
		g.release(d.store)
		time.Sleep(8 * time.Second)
	}
	if trouble {
		select {
		case <-executed:
			time.Sleep(2 * time.Second)
		default:
			log.add("the last service's promotion call didn't come, or isn't executed yet")
		}
	}
	close(stop)
	callers.Wait()
	return l.check(cl, names, log)
}

// killSender returns what becomes of the first promotion call for the service: it gets no answer, and the machine that has sent
// it is killed, and starts again a second later.
func (d *deployment) killSender(service string, executed chan struct{}) func(promotionCall) (time.Duration, bool) {
	var once sync.Once
	return func(call promotionCall) (time.Duration, bool) {
		isFirst := false
		if call.service == service {
			once.Do(func() { isFirst = true })
		}
		if !isFirst {
			return 0, false
		}
		time.AfterFunc(lateTime+promoteTime, func() { close(executed) })
		for _, m := range d.machines {
			if m.name == call.holder {
				go func() {
					m.kill()
					d.log.add("%s: killed", m.name)
					time.Sleep(time.Second)
					m.start()
					d.log.add("%s: started again", m.name)
				}()
			}
		}
		return lateTime, true
	}
}

// check looks for acknowledged commits that a promotion has rolled back.
func (l *ledger) check(cl *cloud, names []string, log *record) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	log.add("%d writes answered with success, others: %v", len(l.answered), l.refused)
	count := 0
	for _, name := range names {
		g := cl.groups[name]
		g.mu.Lock()
		for _, c := range g.lost {
			if at, ok := l.answered[c.id]; ok {
				count++
				log.add("%s: %s, answered by %s at %.3f s, isn't in the log of the promoted backend", name, c.id, l.by[c.id], at.Sub(log.began).Seconds())
			}
		}
		g.mu.Unlock()
	}
	if count > 0 {
		log.add("broken: %d acknowledged commits aren't in the log of the backend that was promoted", count)
		return broken
	}
	log.add("held")
	return held
}
