package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// dropAfter is when the operator drops a route first, dropCount how often, dropPause and addPause the times until the
	// next version, and leakTime how long the case plays after that.
	dropAfter = 4 * time.Second
	dropCount = 6
	dropPause = 500 * time.Millisecond
	addPause  = 1300 * time.Millisecond
	leakTime  = 30 * time.Second
	// recoverTime is recoveryS.
	recoverTime = 12 * time.Second
	// refusedShare is the share of the requests owed that the gate allows to be refused or failed.
	refusedShare = 0.6
)

// outcomes counts transactions.
type outcomes struct{ served, refused atomic.Int32 }

// leakCase is the deployment of the cases that drop a route: callers use two databases of one service.
type leakCase struct {
	e              *env
	extraRoute     route
	booking, extra outcomes
	wg             sync.WaitGroup
}

// startLeakCase starts two VMs and callers that run transactions on both databases until ctx ends.
func (e *env) startLeakCase(ctx context.Context) (*leakCase, error) {
	cfg := syncGroup()
	cfg.syncReplicas = 0
	if _, _, err := e.startGroup(ctx, cfg); err != nil {
		return nil, err
	}
	l := &leakCase{e: e, extraRoute: routeTo(cfg, "seals-extra", "primary", 800, 0, 0)}
	e.addRoute(l.extraRoute)
	if err := e.startVMs(ctx, 2); err != nil {
		return nil, err
	}
	for i, vm := range e.fleet.vms {
		for j := range 3 {
			l.wg.Go(func() {
				e.transact(ctx, vm, "seals-booking", fmt.Sprintf("b%d-%d", i, j), 10*time.Millisecond, 200*time.Millisecond, &l.booking)
			})
			l.wg.Go(func() {
				e.transact(ctx, vm, "seals-extra", fmt.Sprintf("x%d-%d", i, j), 400*time.Millisecond, time.Second, &l.extra)
			})
		}
	}
	return l, nil
}

// dropAndAdd drops the route and adds it again, several times. At the end it is dropped.
func (l *leakCase) dropAndAdd(ctx context.Context) {
	for i := range dropCount {
		l.e.rec.tell("the route seals-extra is dropped")
		l.e.dropRoute("seals-extra")
		pause(ctx, dropPause)
		if i < dropCount-1 {
			l.e.rec.tell("the route seals-extra is added")
			l.e.addRoute(l.extraRoute)
			pause(ctx, addPause)
		}
	}
}

// measure counts the transactions of seals-booking for some time.
func (l *leakCase) measure(ctx context.Context, d time.Duration) (served, refused int32) {
	s, r := l.booking.served.Load(), l.booking.refused.Load()
	pause(ctx, d)
	served, refused = l.booking.served.Load()-s, l.booking.refused.Load()-r
	l.e.rec.tell("transactions of seals-booking in %v: %d served, %d refused", d, served, refused)
	return served, refused
}

// playLeak drops a route while transactions are open on it. Its callers end them with COMMIT.
func playLeak(ctx context.Context, e *env) error {
	calling, stop := context.WithCancel(ctx)
	defer stop()
	l, err := e.startLeakCase(calling)
	if err != nil {
		return err
	}
	pause(ctx, dropAfter)
	if e.trouble {
		l.dropAndAdd(ctx)
	}
	l.measure(ctx, leakTime)
	stop()
	l.wg.Wait()
	served, refused := l.booking.served.Load(), l.booking.refused.Load()
	if served == 0 {
		return fmt.Errorf("no transaction was served")
	}
	if share := float64(refused) / float64(served+refused); share > refusedShare {
		return fmt.Errorf("gate: %.2f of the requests were refused: %w", share, errBroken)
	}
	return nil
}

// playRecover ends the day with a kill of all processes. While they recover, a route is dropped as in playLeak.
func playRecover(ctx context.Context, e *env) error {
	calling, stop := context.WithCancel(ctx)
	defer stop()
	l, err := e.startLeakCase(calling)
	if err != nil {
		return err
	}
	pause(ctx, time.Second)
	servedBefore, refusedBefore := l.measure(ctx, dropAfter)
	if 4*servedBefore < servedBefore+refusedBefore {
		return fmt.Errorf("too little was served before the final fault")
	}
	if e.trouble {
		if err := e.killAll(ctx); err != nil {
			return err
		}
	}
	back := time.Now()
	if e.trouble {
		pause(ctx, time.Second)
		l.dropAndAdd(ctx)
	}
	pause(ctx, time.Until(back.Add(recoverTime)))
	served, refused := l.measure(ctx, leakTime)
	stop()
	l.wg.Wait()
	if 4*served < served+refused {
		return fmt.Errorf("RECOVER: %d of %d requests later than recoveryS were served: %w", served, served+refused, errBroken)
	}
	return nil
}

// killAll kills all processes and starts them again.
func (e *env) killAll(ctx context.Context) error {
	e.rec.tell("all processes are killed")
	for _, vm := range e.fleet.vms {
		_ = vm.cmd.Process.Signal(syscall.SIGKILL)
		<-vm.ended
	}
	pause(ctx, restartDelay)
	for _, vm := range e.fleet.vms {
		if err := e.fleet.run(vm); err != nil {
			return err
		}
	}
	for _, vm := range e.fleet.vms {
		if err := vm.awaitReady(ctx); err != nil {
			return err
		}
	}
	e.rec.tell("all processes are back")
	return nil
}

// about returns a random time around d.
func about(d time.Duration) time.Duration { return time.Duration((0.5 + rand.Float64()) * float64(d)) }

// transact runs transactions of two writes with pauses between them, and ends each with COMMIT. It rests after each. A database that has
// been dropped isn't called again.
func (e *env) transact(ctx context.Context, vm *entryVM, host, name string, think, rest time.Duration, out *outcomes) {
	for ctx.Err() == nil {
		c, err := connect(ctx, vm.callers, host, name, e.rec)
		if err != nil {
			pause(ctx, 500*time.Millisecond)
			continue
		}
		for pause(ctx, about(rest)) {
			ok, err := transaction(ctx, c, think)
			if err != nil {
				break
			}
			if ok {
				out.served.Add(1)
			} else {
				out.refused.Add(1)
			}
		}
		c.close()
	}
}

func transaction(ctx context.Context, c *client, think time.Duration) (bool, error) {
	for _, text := range []string{"BEGIN", "WRITE a data1", "WRITE b data2"} {
		_, r, err := c.query(text)
		if err != nil {
			return false, err
		}
		if r.code != "" {
			break
		}
		pause(ctx, about(think))
	}
	if c.state == "I" {
		return false, nil
	}
	_, r, err := c.query("COMMIT")
	return err == nil && r.code == "", err
}
