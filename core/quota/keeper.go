package quota

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"snipewall/core"
)

// keeperKey is the key of the keeper's lease in the store.
const keeperKey = "snipewall/quota/keeper"

const (
	leaseTTL = 3 * time.Second
	// leaseMargin is how long before the end of its lease a keeper stops.
	leaseMargin = 500 * time.Millisecond
	// leaseInterval is the time between two renewals, retryInterval the time after a failed one.
	leaseInterval = 700 * time.Millisecond
	retryInterval = 300 * time.Millisecond
	// drawTime is how long after its last renewal a keeper gives tokens of its reserve. It is shorter than the lease,
	// since the store may have lost the lease, and the reserve of another keeper counts too then.
	drawTime = time.Second
	// checkInterval is the number of renewals after which the key itself is read. A store that was restored from a
	// copy may have the lease without the key.
	checkInterval = 10
	// standbyInterval is the time between two looks at the contact with the keeper, searchInterval that without one.
	standbyInterval = 250 * time.Millisecond
	searchInterval  = 50 * time.Millisecond
	// listTime is how long after a VM got its entry it has a list of the other VMs.
	listTime = 100 * time.Millisecond
	// acquireInterval is the time between two attempts to acquire the lease.
	acquireInterval = 400 * time.Millisecond
	// candidateDelay is how much later each candidate acquires the lease than the one before it.
	candidateDelay = 300 * time.Millisecond
	// storeTimeout limits a call to the store.
	storeTimeout = time.Second
	// reportTimeout limits a call to one VM at the beginning of a term, reportDelay is the time between two of them.
	reportTimeout = 250 * time.Millisecond
	reportDelay   = 100 * time.Millisecond
	// overLogInterval is the time between two log lines about one organisation.
	overLogInterval = 10 * time.Second
)

var errKeyTaken = errors.New("another VM holds the keeper's key")

// keeper is the part of a Limiter that holds the lease and divides the limits.
type keeper struct {
	l *Limiter

	mu sync.Mutex
	// ledger is nil while this VM isn't the keeper.
	ledger *Ledger
	term   Term
	lease  core.LeaseID
	// renewedAt is when the call was sent that renewed the lease last.
	renewedAt core.Instant
	// renewals counts them. mustCheck is set after a failed one.
	renewals  int
	mustCheck bool
	// settling has the calls of settle.
	settling sync.WaitGroup
	// loggedAt is when the last line about an organisation was logged.
	loggedAt map[core.OrganisationID]core.Instant
}

func newKeeper(l *Limiter) *keeper {
	return &keeper{l: l, loggedAt: make(map[core.OrganisationID]core.Instant)}
}

// isActiveAt reports whether the lease is certainly valid. The caller holds mu.
func (k *keeper) isActiveAt(now core.Instant) bool {
	return k.ledger != nil && now.Sub(k.renewedAt) < leaseTTL-leaseMargin
}

func (k *keeper) isActive() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.isActiveAt(k.l.cfg.Now())
}

// ask answers a request for rights. It returns false if this VM isn't the keeper.
func (k *keeper) ask(q *AskRequest) (AskAnswer, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.l.cfg.Now()
	if !k.isActiveAt(now) {
		return AskAnswer{}, false
	}
	if q.Term != k.term {
		return AskAnswer{Keeper: k.term}, true
	}
	if q.Left {
		k.end("a VM has left the term")
		signal(k.l.keepWake)
		return AskAnswer{}, true
	}
	a, _ := k.ledger.Ask(now, q, now.Sub(k.renewedAt) < drawTime)
	for id, over := range k.ledger.TakeChanges() {
		k.logOver(now, id, over)
	}
	return a, true
}

// logOver logs that an organisation begins or ceases to be limited. The caller holds mu.
func (k *keeper) logOver(now core.Instant, id core.OrganisationID, over bool) {
	if at, ok := k.loggedAt[id]; ok && now.Sub(at) < overLogInterval {
		return
	}
	k.loggedAt[id] = now
	level.Info(k.l.cfg.Log).Log("Msg", "demand of an organisation", "Organisation", id, "AboveLimit", over)
}

// end gives up the term. The caller holds mu.
func (k *keeper) end(reason string) {
	if k.ledger == nil {
		return
	}
	k.ledger, k.lease = nil, ""
	k.l.metrics.keeper.Update(0)
	k.l.lose()
	level.Info(k.l.cfg.Log).Log("Msg", "quota keeper", "Held", false, "Reason", reason)
}

// yield ends the term if another VM has a later one.
func (k *keeper) yield(t Term) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.ledger != nil && t != k.term {
		k.end("another VM is the keeper")
	}
}

// run acquires the lease when there is no keeper, and keeps it, until ctx ends.
func (k *keeper) run(ctx context.Context) {
	defer k.settling.Wait()
	defer k.release(ctx)
	for ctx.Err() == nil {
		var wait time.Duration
		if k.isHeld() {
			wait = k.renew(ctx)
		} else if isDue, delay := k.shouldAcquire(); isDue {
			wait = k.acquire(ctx)
		} else {
			wait = delay
		}
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-k.l.keepWake:
		}
		timer.Stop()
	}
}

func (k *keeper) isHeld() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.ledger != nil
}

// shouldAcquire reports whether this VM is a candidate that hasn't found a keeper for long enough, or else the time
// until it has to be asked again.
func (k *keeper) shouldAcquire() (bool, time.Duration) {
	now := k.l.cfg.Now()
	// The list of VMs is read after this VM got its entry.
	if at, ok := k.l.cfg.Members.EnlistedAt(); !ok || now.Sub(at) < listTime {
		return false, searchInterval
	}
	rank, ok := k.l.rank()
	if !ok {
		return false, standbyInterval
	}
	k.l.mu.Lock()
	defer k.l.mu.Unlock()
	c := &k.l.contact
	if !c.isLost {
		return false, standbyInterval
	}
	return now.Sub(c.lostAt) >= time.Duration(rank)*candidateDelay, searchInterval
}

// renew renews the lease and returns the time until the next renewal.
func (k *keeper) renew(ctx context.Context) time.Duration {
	k.mu.Lock()
	id, sentAt := k.lease, k.l.cfg.Now()
	check := k.mustCheck || k.renewals%checkInterval == checkInterval-1
	k.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	err := k.l.cfg.Store.KeepAlive(ctx, id)
	if err == nil && check {
		err = k.checkKey(ctx)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.lease != id {
		return 0
	}
	now := k.l.cfg.Now()
	if err == nil {
		k.renewedAt, k.mustCheck = sentAt, false
		k.renewals++
		if !k.isActiveAt(now) {
			k.end("the renewal took too long")
			return 0
		}
		return max(0, leaseInterval-now.Sub(sentAt))
	}
	k.l.metrics.renewalsFailed.Inc(1)
	k.mustCheck = true
	switch {
	case errors.Is(err, core.ErrLeaseLost) || errors.Is(err, errKeyTaken):
		k.end(err.Error())
		return 0
	case !k.isActiveAt(now):
		k.end("the lease isn't renewed")
		return retryInterval
	}
	return retryInterval
}

// checkKey fails if the key isn't that of the present term.
func (k *keeper) checkKey(ctx context.Context) error {
	e, err := k.l.cfg.Store.Get(ctx, keeperKey)
	if errors.Is(err, core.ErrNotFound) {
		return errKeyTaken
	}
	if err != nil {
		return err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if t, ok := decodeTerm(e.Value); !ok || t != k.term {
		return errKeyTaken
	}
	return nil
}

func decodeTerm(value []byte) (Term, bool) {
	var t Term
	err := json.Unmarshal(value, &t)
	return t, err == nil && t.Keeper != "" && t.Address != ""
}

// acquire acquires the lease if no other VM holds it. It returns the time until the next attempt or renewal.
func (k *keeper) acquire(ctx context.Context) time.Duration {
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	t := Term{Keeper: k.l.cfg.Self.ID, Address: k.l.cfg.Self.Control, Began: time.Now().UnixNano()}
	id, sentAt, err := k.take(callCtx, t)
	if err != nil {
		if !errors.Is(err, errKeyTaken) {
			k.l.metrics.renewalsFailed.Inc(1)
			level.Debug(k.l.cfg.Log).Log("Msg", "quota keeper's lease not acquired", "Err", err)
		}
		return acquireInterval
	}
	k.mu.Lock()
	k.term, k.lease, k.renewedAt, k.renewals = t, id, sentAt, 0
	k.ledger = NewLedger(k.l.bound, k.l.limit)
	k.mustCheck = false
	k.mu.Unlock()
	k.l.metrics.keeper.Update(1)
	level.Info(k.l.cfg.Log).Log("Msg", "quota keeper", "Held", true)
	k.settling.Go(func() { k.settle(ctx, t) })
	return leaseInterval
}

// take writes the key under a new lease. An entry of this VM is one of an earlier term that has ended.
func (k *keeper) take(ctx context.Context, t Term) (core.LeaseID, core.Instant, error) {
	var expect core.Version
	e, err := k.l.cfg.Store.Get(ctx, keeperKey)
	switch {
	case err == nil:
		held, ok := decodeTerm(e.Value)
		if ok && held.Keeper != t.Keeper {
			k.l.hint(held)
			return "", 0, errKeyTaken
		}
		expect = e.Version
	case !errors.Is(err, core.ErrNotFound):
		return "", 0, err
	}
	value, err := json.Marshal(t)
	if err != nil {
		return "", 0, err
	}
	sentAt := k.l.cfg.Now()
	id, err := k.l.cfg.Store.Grant(ctx, leaseTTL)
	if err != nil {
		return "", 0, err
	}
	_, err = k.l.cfg.Store.CompareAndSwap(ctx, keeperKey, value, expect, id)
	if errors.Is(err, core.ErrVersionConflict) {
		err = errKeyTaken
	}
	return id, sentAt, err
}

// lose makes this VM look for a keeper.
func (l *Limiter) lose() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c := &l.contact; !c.isLost {
		c.isLost, c.lostAt = true, l.cfg.Now()
	}
}

// hint makes this VM ask the keeper that the store names.
func (l *Limiter) hint(t Term) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if t != l.rights.term && l.rights.follow(l.cfg.Now(), t) {
		signal(l.wake)
	}
}

// release ends the term and the lease, so that another VM can be the keeper at once.
func (k *keeper) release(ctx context.Context) {
	k.mu.Lock()
	id := k.lease
	k.end("stopped")
	k.mu.Unlock()
	if id == "" {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), storeTimeout)
	defer cancel()
	if err := k.l.cfg.Store.Revoke(ctx, id); err != nil {
		level.Info(k.l.cfg.Log).Log("Msg", "lease of the quota keeper not revoked; it will expire", "Err", err)
	}
}
