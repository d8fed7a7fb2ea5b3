package main

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

// playShape lets two kinds of sessions prepare statements on one database. The shapes of the second kind have blanks.
func playShape(ctx context.Context, e *env) error {
	cfg := syncGroup()
	cfg.syncReplicas = 0
	if _, _, err := e.startGroup(ctx, cfg); err != nil {
		return err
	}
	if err := e.startVMs(ctx, 2); err != nil {
		return err
	}
	calling, stop := context.WithTimeout(ctx, 10*time.Second)
	defer stop()
	var wg sync.WaitGroup
	var wrong, right atomic.Int32
	for i := range 4 {
		wg.Go(func() {
			e.executeShape(calling, e.fleet.vms[i%2], fmt.Sprintf("v%d", i), "acct", &right, &wrong)
		})
	}
	other := "audit"
	if e.trouble {
		other = "acct READ audit"
	}
	var otherRight, otherWrong atomic.Int32
	for i := range 2 {
		wg.Go(func() {
			e.executeShape(calling, e.fleet.vms[i%2], fmt.Sprintf("o%d", i), other, &otherRight, &otherWrong)
		})
	}
	wg.Wait()
	e.rec.tell("sessions with shape %q: %d right answers, %d of another shape", "acct", right.Load(), wrong.Load())
	e.rec.tell("sessions with shape %q: %d right answers, %d of another shape", other, otherRight.Load(), otherWrong.Load())
	if right.Load()+wrong.Load() == 0 {
		return fmt.Errorf("no statement was answered")
	}
	if wrong.Load() > 0 {
		return fmt.Errorf("PINNED: %d times a prepared name ran another shape than its client had prepared: %w", wrong.Load(), errBroken)
	}
	return nil
}

// executeShape prepares a statement and executes it again and again. The upstream's row tells which shape it ran.
func (e *env) executeShape(ctx context.Context, vm *entryVM, name, shape string, right, wrong *atomic.Int32) {
	for ctx.Err() == nil {
		c, err := connect(ctx, vm.callers, "seals-booking", name, e.rec)
		if err != nil {
			pause(ctx, 200*time.Millisecond)
			continue
		}
		_, r, err := c.query("PREPARE s1 READ " + shape)
		for i := 0; err == nil && r.code == "" && i < 20 && pause(ctx, 20*time.Millisecond); i++ {
			_, r, err = c.query(fmt.Sprintf("EXECUTE s1 %d", i))
			if err != nil || r.code != "" || len(r.rows) != 1 {
				break
			}
			if r.rows[0] == fmt.Sprintf("READ %s %d", shape, i) {
				right.Add(1)
			} else {
				wrong.Add(1)
				e.rec.note("%s prepared %q and got the row %q", name, shape, r.rows[0])
			}
		}
		c.close()
	}
}
