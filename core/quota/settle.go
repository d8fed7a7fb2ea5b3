package quota

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"snipewall/core"
)

// settleTime is how long after the end of all earlier terms their rights may last.
const settleTime = rightsLife + clockMargin

var errTermOver = errors.New("the term is over")

// settle asks all VMs for their rights, so that the ledger has everything that may be in use.
//
// A lease ends in the store after it has ended by its holder's clock, so that no other keeper is active when this term
// begins. Only a store that has come back from an older copy may have lost a lease whose holder doesn't know it. Two rounds
// are necessary then. That keeper gives up when it is asked, or when its lease has ended by its clock. It may have assigned
// rights until then, but only to VMs that started since they were asked. The second round begins after that and finds those
// rights, also of VMs that weren't in the list before.
func (k *keeper) settle(ctx context.Context, t Term) {
	end := k.l.cfg.Now()
	if wait := k.l.cfg.Eras.Remaining(leaseTTL); wait > 0 {
		end = end.Add(wait)
		if err := k.collect(ctx, t, end); err != nil {
			return
		}
	}
	if !k.update(t, (*Ledger).Rebase) {
		return
	}
	if err := k.collect(ctx, t, end.Add(settleTime)); err != nil {
		return
	}
	if !k.update(t, func(g *Ledger) { g.Settle(k.l.cfg.Now()) }) {
		return
	}
	level.Info(k.l.cfg.Log).Log("Msg", "quota keeper knows the rights of all VMs")
	signal(k.l.wake)
}

// update changes the ledger. It returns false if the term is over.
func (k *keeper) update(t Term, change func(g *Ledger)) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.ledger == nil || k.term != t {
		return false
	}
	change(k.ledger)
	return true
}

// collect asks all VMs in the store for their rights until they have answered or until has passed.
func (k *keeper) collect(ctx context.Context, t Term, until core.Instant) error {
	for k.l.cfg.Now() < until {
		if err := k.check(ctx, t); err != nil {
			return err
		}
		err := k.refresh(ctx)
		if err == nil {
			break
		}
		level.Debug(k.l.cfg.Log).Log("Msg", "list of VMs not read", "Err", err)
		sleep(ctx, reportDelay)
	}
	pending := k.l.cfg.Members.Alive()
	for len(pending) > 0 && k.l.cfg.Now() < until {
		if err := k.check(ctx, t); err != nil {
			return err
		}
		pending = k.askAll(ctx, t, pending)
		if !k.update(t, func(g *Ledger) { g.SetSilent(len(pending)) }) {
			return errTermOver
		}
		if len(pending) > 0 {
			sleep(ctx, reportDelay)
		}
	}
	return ctx.Err()
}

func (k *keeper) refresh(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return k.l.cfg.Members.Refresh(ctx)
}

func (k *keeper) check(ctx context.Context, t Term) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if ctx.Err() != nil || k.ledger == nil || k.term != t {
		return errTermOver
	}
	return nil
}

// askAll asks the VMs for their rights at the same time and returns those that didn't answer.
func (k *keeper) askAll(ctx context.Context, t Term, vms []core.VM) []core.VM {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	var mu sync.Mutex
	var silent []core.VM
	var calls sync.WaitGroup
	for _, vm := range vms {
		calls.Go(func() {
			var a ReportAnswer
			req := &ReportRequest{Term: t}
			var err error
			if vm.ID == k.l.cfg.Self.ID {
				a = k.l.serveReport(req)
			} else {
				err = k.l.cfg.Call(ctx, vm.Control, reportMethod, req, &a)
			}
			if err == nil && k.note(t, &a) {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			silent = append(silent, vm)
		})
	}
	calls.Wait()
	return silent
}

// note records a VM's report. It returns false if the VM hasn't reported.
func (k *keeper) note(t Term, a *ReportAnswer) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.ledger == nil || k.term != t {
		return false
	}
	if !a.OK {
		k.end("a VM has left the term")
		return false
	}
	k.ledger.Report(k.l.cfg.Now(), &a.Report)
	return true
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
