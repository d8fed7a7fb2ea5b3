//go:build review

package main

import (
	"fmt"
	"net"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

func init() { scripts["crowd"] = runCrowd }

const (
	// crowdMemoryMb and crowdFds are the limits of most machines of aspenhold-pool-grown (184 MB, 4,300
	// descriptors).
	crowdMemoryMb = 184
	crowdFds      = 4300
	// crowdSize is the number of connections to one machine, less than the program itself accepts.
	crowdSize = 1600
	// crowdAhead is the number of statements that a member of the crowd sends ahead.
	crowdAhead = 12000
	crowdWaves = 3
	// waveTime limits one wave.
	waveTime = 12 * time.Second
	// restartDelay is the time until the platform starts an ended process again.
	restartDelay = time.Second
)

// crowdRoutes are two routes like those of the sheets.
func crowdRoutes() []map[string]any {
	return []map[string]any{
		{"name": "r-1", "host": "start", "prefix": "/", "routeType": "primary", "timeoutMs": 800, "targetLatencyMs": 400, "priority": 0, "service": "ledger", "maxAttempts": 2},
		{"name": "r-2", "host": "sync", "prefix": "/", "routeType": "read_own_writes", "timeoutMs": 800, "targetLatencyMs": 1500, "priority": 2, "service": "ledger", "maxAttempts": 2, "maxStalenessMs": 2500},
	}
}

// runCrowd opens as many sessions as a crowd in each wave. With the trouble, each sends many statements ahead and reads no
// answer; otherwise each sends one and reads its answer. The platform kills a process above its memory and starts it again.
func runCrowd(dir string, trouble bool) int {
	log := newRecord(filepath.Join(dir, "record.txt"))
	d := newDeployment(deploymentConfig{
		machines: 2, memoryMb: crowdMemoryMb, maxFds: crowdFds, slots: 4, work: 6 * time.Millisecond, connections: 46, routes: crowdRoutes(),
	}, log)
	defer d.stop()
	if !d.awaitReady() {
		log.add("the machines aren't ready")
		return failed
	}
	ends := make([]int, len(d.machines))
	for wave := range crowdWaves {
		log.add("wave %d: %d sessions to each machine, statements sent ahead: %v", wave+1, crowdSize, trouble)
		var waves sync.WaitGroup
		for i, m := range d.machines {
			waves.Go(func() {
				if runWave(m, trouble, log) {
					ends[i]++
				}
			})
		}
		waves.Wait()
		if !d.awaitReady() {
			log.add("the machines aren't ready again")
			return failed
		}
		for _, m := range d.machines {
			log.add("%s: an ordinary caller afterwards gets %s", m.name, askOnce(m))
		}
	}
	victims := 0
	for i, n := range ends {
		log.add("%s: %d ends because of memory", d.machines[i].name, n)
		if n >= crowdWaves {
			victims++
		}
	}
	if victims >= 2 {
		log.add("broken: on two machines processes ended three times, over their memory")
		return broken
	}
	log.add("held")
	return held
}

// askOnce returns the answer to an ordinary caller's read.
func askOnce(m *machine) string {
	cl, err := dial(m.front, "sync", "")
	if err != nil {
		return err.Error()
	}
	defer func() { _ = cl.c.Close() }()
	lines, err := cl.query("ordinary", "READ item-1", 2*time.Second)
	if err != nil {
		return err.Error()
	}
	return strings.Join(lines, " | ")
}

// runWave sends one crowd to the machine. It returns true if the process had to be ended because of its memory.
func runWave(m *machine, trouble bool, log *record) bool {
	var mu sync.Mutex
	var conns []net.Conn
	opened, answered := 0, 0
	done := make(chan struct{})
	go func() {
		defer close(done)
		ahead := aheadText()
		gate := make(chan struct{}, 100)
		var calls sync.WaitGroup
		for range crowdSize {
			gate <- struct{}{}
			calls.Go(func() {
				defer func() { <-gate }()
				cl, err := dial(m.front, "sync", "")
				if err != nil {
					return
				}
				mu.Lock()
				conns = append(conns, cl.c)
				opened++
				mu.Unlock()
				if trouble {
					go func() {
						_ = cl.c.SetWriteDeadline(time.Now().Add(waveTime))
						_, _ = cl.c.Write(ahead)
					}()
					return
				}
				if _, err := cl.query("c", "READ item-1", 5*time.Second); err == nil {
					mu.Lock()
					answered++
					mu.Unlock()
				}
			})
		}
		calls.Wait()
	}()
	var most, mostUnread int64
	ended := false
	for end := time.Now().Add(waveTime); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		resident, unread := m.memory()
		if resident+unread > most {
			most, mostUnread = resident+unread, unread
		}
		if resident+unread > crowdMemoryMb<<20 {
			log.add("%s: %d KB resident and %d KB received and not read, limit %d KB: the platform ends the process", m.name, resident>>10, unread>>10, crowdMemoryMb<<10)
			ended = true
			m.kill()
			break
		}
		if m.hasEnded() {
			log.add("%s: the process has ended by itself", m.name)
			ended = true
			break
		}
	}
	<-done
	mu.Lock()
	log.add("%s: %d sessions opened, %d of them answered, at most %d KB, of these %d KB not read", m.name, opened, answered, most>>10, mostUnread>>10)
	for _, c := range conns {
		_ = c.Close()
	}
	mu.Unlock()
	time.Sleep(restartDelay)
	if ended {
		m.start()
	}
	return ended
}

// aheadText returns the statements that a member of the crowd sends ahead.
func aheadText() []byte {
	var b strings.Builder
	for i := range crowdAhead {
		fmt.Fprintf(&b, "QUERY c%d READ item-%d\r\n", i, i)
	}
	return []byte(b.String())
}
