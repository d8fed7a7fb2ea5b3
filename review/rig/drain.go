package main

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"
)

const (
	// drainLimit and touchTime are the bounds drainMs and stableWindowMs.
	drainLimit = 7 * time.Second
	touchTime  = 5 * time.Second
	// drainMargin covers the time between the arrival and the run of a statement.
	drainMargin = 200 * time.Millisecond
)

// drainWatch records the statements that reach the leaving upstream late.
type drainWatch struct {
	e        *env
	leaving  string
	leftAt   time.Time
	mu       sync.Mutex
	takenBy  map[string]string
	late     int
	lateLast time.Duration
}

// isInTouch reports whether the VM's process has run undisturbed for long enough.
func (d *drainWatch) isInTouch(name string) bool {
	for _, vm := range d.e.fleet.vms {
		if vm.name == name {
			return time.Since(vm.startedAt) > touchTime
		}
	}
	return false
}

// ran notes a statement that an upstream runs.
func (d *drainWatch) ran(u *upstream, from, id, text string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if u.id != d.leaving || d.leftAt.IsZero() {
		return
	}
	since := time.Since(d.leftAt)
	d.e.rec.note("upstream %s runs %s %q from %s, taken by %s, %.3f s after it reported draining", u.id, id, text, from, d.takenBy[id], since.Seconds())
	if since > drainLimit+drainMargin && d.isInTouch(from) && d.isInTouch(d.takenBy[id]) {
		d.late++
		d.lateLast = since
	}
}

// playDrain lets the primary drain while the promotion call answers 503, and adds VMs meanwhile.
func playDrain(ctx context.Context, e *env) error {
	cfg := syncGroup()
	cfg.syncReplicas, cfg.maxConnections, cfg.slots = 0, 8, 3
	g, all, err := e.startGroup(ctx, cfg)
	if err != nil {
		return err
	}
	if err := e.startVMs(ctx, 4); err != nil {
		return err
	}
	d := &drainWatch{e: e, leaving: all[0].id, takenBy: map[string]string{}}
	g.mu.Lock()
	g.onRun = d.ran
	g.mu.Unlock()
	calling, stop := context.WithCancel(ctx)
	defer stop()
	var wg sync.WaitGroup
	for i, vm := range e.fleet.vms {
		for j := range 3 {
			wg.Go(func() { d.call(calling, vm, fmt.Sprintf("c%d-%d", i, j)) })
		}
	}
	// The lists of VMs have settled.
	pause(ctx, 13*time.Second)
	e.rec.tell("%s drains", all[0].id)
	if e.trouble {
		e.rec.tell("the promotion call answers 503")
		e.store.setPromotionDown(true)
	}
	all[0].leave()
	d.mu.Lock()
	d.leftAt = time.Now()
	d.mu.Unlock()
	pause(ctx, 2*time.Second)
	if e.trouble {
		for range 2 {
			vm, err := e.fleet.start(ctx, zones[1])
			if err != nil {
				return err
			}
			e.rec.tell("%s is added", vm.name)
		}
	}
	pause(ctx, 10*time.Second)
	e.store.setPromotionDown(false)
	pause(ctx, 3*time.Second)
	stop()
	wg.Wait()
	all[0].crash(0)
	if len(d.takenBy) == 0 {
		return fmt.Errorf("no statement was sent")
	}
	if d.late > 0 {
		return fmt.Errorf("DRAIN: %d statements reached the draining backend later than drainMs, the last one %.1f s after its report: %w",
			d.late, d.lateLast.Seconds(), errBroken)
	}
	return nil
}

// call reads and writes single statements on the VM.
func (d *drainWatch) call(ctx context.Context, vm *entryVM, name string) {
	for ctx.Err() == nil {
		c, err := connect(ctx, vm.callers, "seals-booking", name, d.e.rec)
		if err != nil {
			pause(ctx, 200*time.Millisecond)
			continue
		}
		for i := 0; pause(ctx, 100*time.Millisecond); i++ {
			text := fmt.Sprintf("READ %s", name)
			if i%3 == 0 {
				text = fmt.Sprintf("WRITE %s data%d", name, i)
			}
			if !d.query(c, vm, text) {
				break
			}
		}
		c.close()
	}
}

func (d *drainWatch) query(c *client, vm *entryVM, text string) bool {
	_, r, err := c.queryWith(text, func(id string) {
		d.mu.Lock()
		d.takenBy[id] = vm.name
		d.mu.Unlock()
	})
	return err == nil && (r.code == "" || strings.HasPrefix(c.state, "I"))
}
