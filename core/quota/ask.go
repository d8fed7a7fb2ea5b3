package quota

import (
	"context"
	"math/rand/v2"
	"time"

	"snipewall/core"
)

// askMethod and reportMethod are the names of the RPC methods.
const (
	askMethod    = "Quota.Ask"
	reportMethod = "Quota.Report"
)

const (
	// renewInterval is the time between two requests of a VM whose callers use limited organisations.
	renewInterval = time.Second
	// settlingInterval is the time between them while the keeper doesn't know yet what all VMs hold.
	settlingInterval = 400 * time.Millisecond
	// askDelay is the shortest time between two requests, so that operations which come together share one.
	askDelay = 20 * time.Millisecond
	// repeatDelay is the time after which rights are asked for again that the keeper didn't have.
	repeatDelay = 150 * time.Millisecond
	// searchDelay is the time between two attempts to find a keeper.
	searchDelay = 150 * time.Millisecond
	// askTimeout limits a call to the keeper: several round trips between regions.
	askTimeout = 300 * time.Millisecond
	// askAttempts limits the calls that one request makes, if VMs name another keeper.
	askAttempts = 3
	// lostFailures is the number of successive failures after which the keeper counts as lost.
	lostFailures = 2
	// hintAge is how long a VM names the keeper to others after it last heard from it.
	hintAge = 2 * time.Second
)

// contact is a VM's contact with the keeper.
type contact struct {
	// heardAt is when the keeper answered or asked last.
	heardAt core.Instant
	// failures counts the failed calls since, lostAt is when there were lostFailures of them, or when the search began.
	failures int
	lostAt   core.Instant
	isLost   bool
	// searched counts the VMs that were asked for the keeper.
	searched int
	// askedAt is when the last request ended, renewAt when the next one with all organisations is due.
	askedAt, renewAt core.Instant
	isSettling       bool
	// inProgress is set while a request is in progress.
	inProgress bool
}

func (c *contact) hear(now core.Instant) { c.heardAt, c.failures, c.isLost = now, 0, false }

func (c *contact) fail(now core.Instant) {
	c.failures++
	if c.failures >= lostFailures && !c.isLost {
		c.isLost, c.lostAt = true, now
	}
}

// askLoop sends requests as they are due until ctx ends or no organisation is limited.
func (l *Limiter) askLoop(ctx context.Context) {
	l.mu.Lock()
	l.contact = contact{isLost: true, lostAt: l.cfg.Now()}
	l.mu.Unlock()
	ended := make(chan struct{}, 1)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		s := l.cfg.Directory.Snapshot()
		wait, isDue := l.pump()
		if isDue {
			go func() {
				l.ask(ctx)
				ended <- struct{}{}
			}()
		}
		timer.Reset(wait)
		select {
		case <-ctx.Done():
		case <-s.Changed:
		case <-l.wake:
		case <-timer.C:
		case <-ended:
			l.noteAsked()
		}
		if ctx.Err() != nil || !hasLimits(l.cfg.Directory.Snapshot()) {
			l.stopAsking(ended)
			return
		}
	}
}

// stopAsking waits for a request in progress, and lets waiting operations run if there are no limits any more.
func (l *Limiter) stopAsking(ended <-chan struct{}) {
	l.mu.Lock()
	inProgress := l.contact.inProgress
	l.mu.Unlock()
	if inProgress {
		<-ended
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rights.serve(l.cfg.Now())
}

func (l *Limiter) noteAsked() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.contact.inProgress, l.contact.askedAt = false, l.cfg.Now()
}

// pump serves the operations that have a right now. It returns the time until it has to be called again, and whether
// a request is due, which then counts as begun.
func (l *Limiter) pump() (time.Duration, bool) {
	_, isCandidate := l.rank()
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.cfg.Now()
	l.holdDemand(now)
	l.rights.serve(now)
	wait := renewInterval
	if at, ok := l.rights.nextToken(now); ok {
		wait = min(wait, at.Sub(now))
	}
	if l.contact.inProgress {
		return max(wait, time.Millisecond), false
	}
	at, ok := l.nextAsk(isCandidate)
	if !ok {
		return max(wait, time.Millisecond), false
	}
	if left := at.Sub(now); left > 0 {
		return max(min(wait, left), time.Millisecond), false
	}
	l.contact.inProgress = true
	return max(wait, time.Millisecond), true
}

// nextAsk returns when the next request is due, or false if none is necessary. The caller holds mu.
func (l *Limiter) nextAsk(isCandidate bool) (core.Instant, bool) {
	c := &l.contact
	waiting, isNew := l.rights.demand(l.cfg.Now())
	isUser := isCandidate || l.rights.hasUse()
	next := c.renewAt
	switch {
	case c.isLost && isUser:
		next = c.askedAt.Add(searchDelay)
	case isNew:
		next = min(next, c.askedAt.Add(askDelay))
	case waiting:
		next = min(next, c.askedAt.Add(repeatDelay))
	case c.failures > 0:
		next = min(next, c.askedAt.Add(searchDelay))
	case c.isSettling:
		next = min(next, c.askedAt.Add(settlingInterval))
	}
	return next, isUser
}

// ask makes one request for rights to the keeper, as far as one is found.
func (l *Limiter) ask(ctx context.Context) {
	for range askAttempts {
		address, isSearch, ok := l.target()
		if !ok {
			return
		}
		if !l.askAt(ctx, address, isSearch) {
			return
		}
	}
}

// target returns the VM to ask: the keeper, or one that may know it.
func (l *Limiter) target() (address string, isSearch, ok bool) {
	l.mu.Lock()
	term, isLost := l.rights.term, l.contact.isLost
	l.contact.searched++
	n := l.contact.searched
	l.mu.Unlock()
	if term != (Term{}) && (!isLost || n%2 == 0) {
		return term.Address, false, true
	}
	vms := l.elected()
	if len(vms) == 0 {
		return "", false, false
	}
	return vms[n/2%len(vms)].Control, true, true
}

// askAt makes a request to one VM. It returns true if another VM is to be asked at once.
func (l *Limiter) askAt(ctx context.Context, address string, isSearch bool) bool {
	q, sentAt := l.request(isSearch)
	if isSearch && address == l.cfg.Self.Control && !l.keeper.isActive() {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	var a AskAnswer
	var err error
	if address == l.cfg.Self.Control {
		a = l.serveAsk(q)
	} else {
		err = l.cfg.Call(ctx, address, askMethod, q, &a)
	}
	askAgain, left := l.use(q, sentAt, &a, err, isSearch)
	if left != (Term{}) {
		l.leave(ctx, left)
	}
	return askAgain
}

// use handles the result of a request. It reports whether to ask again at once, and a keeper's term that this VM has
// left.
func (l *Limiter) use(q *AskRequest, sentAt core.Instant, a *AskAnswer, err error, isSearch bool) (askAgain bool, left Term) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.cfg.Now()
	switch {
	case err != nil:
		l.metrics.failures.Inc(1)
	case a.OK:
		if l.rights.apply(now, sentAt, q, a) {
			l.contact.hear(now)
			l.contact.isSettling = a.Settling
			l.metrics.held.Update(float64(l.rights.held()))
		}
		return false, Term{}
	case a.NeedsAll:
		l.contact.renewAt = 0
		return true, Term{}
	case a.Incarnation >= l.rights.incarnation && a.Incarnation != 0:
		l.rights.restart(a.Incarnation)
		return true, Term{}
	case a.Keeper != (Term{}) && a.Keeper != l.rights.term:
		if l.rights.follow(now, a.Keeper) {
			l.contact.failures, l.contact.isLost = 0, false
			return true, Term{}
		}
		return false, a.Keeper
	}
	if !isSearch {
		l.contact.fail(now)
	}
	return false, Term{}
}

// leave tells the keeper of a term that this VM has left the term, so that it begins another one.
func (l *Limiter) leave(ctx context.Context, t Term) {
	q, a := &AskRequest{VM: l.cfg.Self.ID, Term: t, Left: true}, &AskAnswer{}
	if t.Keeper == l.cfg.Self.ID {
		l.serveAsk(q)
		return
	}
	if err := l.cfg.Call(ctx, t.Address, askMethod, q, a); err != nil {
		l.metrics.failures.Inc(1)
	}
}

// request returns the next request. A search tells nothing of the rights.
func (l *Limiter) request(isSearch bool) (*AskRequest, core.Instant) {
	_, enlisted := l.cfg.Members.EnlistedAt()
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.cfg.Now()
	l.holdDemand(now)
	if isSearch {
		return &AskRequest{VM: l.cfg.Self.ID}, now
	}
	partial := now < l.contact.renewAt && !l.contact.isLost
	if !partial {
		l.contact.renewAt = now.Add(renewInterval + rand.N(renewInterval/10))
	}
	return l.rights.request(now, partial, enlisted), now
}
