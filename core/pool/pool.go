package pool

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// ErrClosed says that the pool has ended, ErrSlow that a dial has been in progress for too long.
var (
	ErrClosed = errors.New("connection pool is closed")
	ErrSlow   = errors.New("dials are slow")
)

// Pool is a pool of connections of type T. It is safe for concurrent use.
type Pool[T any] struct {
	cfg  Config[T]
	wake chan struct{}

	mu sync.Mutex
	// idle is ordered by last use. Connections are taken from the end.
	idle    []*entry[T]
	waiters []*waiter[T]
	// total counts the connections against the limit: idle, in use, being dialed, checked or closed.
	total, inUse, dialing, checking int
	// dialingLabels counts the dials in progress of each label other than AnyLabel.
	dialingLabels map[string]int
	closed        bool
	// dialingSince is the earliest time at which a dial in progress may have begun.
	dialingSince time.Time
	dialErr      error
	backoff      time.Duration
	retryAt      time.Time
	replaced     int
	// wakesAt is when Run wakes next if nothing wakes it before.
	wakesAt time.Time
	// Idle connections that last answered before suspectBefore are checked before their next use, since
	// another connection failed after that time and they may not answer either.
	suspectBefore time.Time
}

// AnyLabel stands for a connection of any label.
const AnyLabel = ""

// waiter is a call of Get that waits for a connection.
type waiter[T any] struct {
	label string
	ready chan getResult[T]
}

// accepts reports whether the connection serves the label.
func (e *entry[T]) accepts(label string) bool { return label == AnyLabel || label == e.label }

type getResult[T any] struct {
	handle *Handle[T]
	err    error
}

// Stats is a snapshot of a pool for status output.
type Stats struct {
	Limit, Total, InUse, Idle, Dialing, Waiting int
	// Replaced counts the idle connections that were closed in favor of another label.
	Replaced int `json:",omitempty"`
	// DialError is the error of the last dial, or empty if it succeeded.
	DialError string `json:",omitempty"`
}

// New returns a pool. It dials only while Run runs.
func New[T any](cfg Config[T]) *Pool[T] {
	return &Pool[T]{cfg: cfg.withDefaults(), wake: make(chan struct{}, 1), dialingLabels: make(map[string]int)}
}

// Get takes a connection of any label. If none is idle, it waits for a dial or a returned connection. Its
// errors are the dial's error, ErrClosed and the context's error.
func (p *Pool[T]) Get(ctx context.Context) (*Handle[T], error) { return p.GetLabeled(ctx, AnyLabel) }

// GetLabeled is Get for a connection that was dialed with the label. At the limit it replaces the idle
// connection of another label that was unused for the longest time.
func (p *Pool[T]) GetLabeled(ctx context.Context, label string) (*Handle[T], error) {
	p.mu.Lock()
	if h, ok := p.takeIdle(func(e *entry[T]) bool { return e.accepts(label) }); ok {
		p.mu.Unlock()
		return h, nil
	}
	if p.closed {
		p.mu.Unlock()
		return nil, ErrClosed
	}
	if p.dialErr != nil && time.Now().Before(p.retryAt) && !p.canWait(p.dialErr) {
		defer p.mu.Unlock()
		return nil, p.dialErr
	}
	w := &waiter[T]{label: label, ready: make(chan getResult[T], 1)}
	p.waiters = append(p.waiters, w)
	p.mu.Unlock()
	p.signal()
	select {
	case out := <-w.ready:
		return out.handle, out.err
	case <-ctx.Done():
		p.cancelWaiter(w)
		return nil, ctx.Err()
	}
}

// TryGet takes an idle connection of any label, if there is one.
func (p *Pool[T]) TryGet() (*Handle[T], bool) { return p.TryGetLabeled(AnyLabel) }

// TryGetLabeled takes an idle connection that was dialed with the label, if there is one.
func (p *Pool[T]) TryGetLabeled(label string) (*Handle[T], bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.takeIdle(func(e *entry[T]) bool { return e.accepts(label) })
}

// TryGetMatching takes the most recently used of the idle connections with the label that match accepts, if there is one.
func (p *Pool[T]) TryGetMatching(label string, match func(T) bool) (*Handle[T], bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.takeIdle(func(e *entry[T]) bool { return e.accepts(label) && match(e.value) })
}

// Blocked returns why no new connection can be opened now, or nil. After a failed dial, it returns that
// error during the backoff and the dial that follows. It returns ErrSlow if a dial in progress is slow.
func (p *Pool[T]) Blocked() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if p.dialErr != nil && (p.dialing > 0 || now.Before(p.retryAt)) {
		return p.dialErr
	}
	if p.cfg.SlowDialAfter > 0 && p.dialing > 0 && now.Sub(p.dialingSince) >= p.cfg.SlowDialAfter {
		return ErrSlow
	}
	return nil
}

// takeIdle takes the most recently used connection that is accepted. The caller holds mu.
func (p *Pool[T]) takeIdle(accept func(*entry[T]) bool) (*Handle[T], bool) {
	i := len(p.idle) - 1
	for i >= 0 && !accept(p.idle[i]) {
		i--
	}
	if i < 0 {
		return nil, false
	}
	if p.isSuspect(p.idle[i]) {
		p.signal()
		return nil, false
	}
	h := p.newHandle(p.idle[i])
	p.idle = slices.Delete(p.idle, i, i+1)
	if len(p.neededDials()) > 0 {
		p.signal()
	}
	return h, true
}

// Stats returns a snapshot of the pool.
func (p *Pool[T]) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := Stats{
		Limit:   p.cfg.Limit,
		Total:   p.total,
		InUse:   p.inUse,
		Idle:    len(p.idle),
		Dialing: p.dialing,
		Waiting: len(p.waiters), Replaced: p.replaced,
	}
	if p.dialErr != nil {
		s.DialError = p.dialErr.Error()
	}
	return s
}

// Run dials, checks and expires connections until ctx ends. It then closes the idle connections and
// waits for its goroutines; connections in use are closed when they are returned.
func (p *Pool[T]) Run(ctx context.Context) error {
	ends := make(chan struct{}, p.cfg.Limit)
	tasks := 0
	timer := time.NewTimer(0)
	defer timer.Stop()
	for ctx.Err() == nil {
		now := time.Now()
		p.replaceIdle(now)
		for _, label := range p.reserveDials(now) {
			tasks++
			go func() { p.dial(ctx, label); ends <- struct{}{} }()
		}
		for _, e := range p.takeDueForCheck(now) {
			tasks++
			go func() { p.check(ctx, e); ends <- struct{}{} }()
		}
		p.closeExpired(now)
		timer.Reset(p.untilNextEvent(now))
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-p.wake:
		case <-ends:
			tasks--
		}
	}
	p.shutDown()
	for ; tasks > 0; tasks-- {
		<-ends
	}
	return nil
}

// newHandle returns a handle and counts the connection as in use. The caller holds mu.
func (p *Pool[T]) newHandle(e *entry[T]) *Handle[T] {
	p.inUse++
	return &Handle[T]{Value: e.value, pool: p, entry: e}
}

// canWait reports whether a waiter can still get a connection after a dial failed with err. The caller
// holds mu.
func (p *Pool[T]) canWait(err error) bool {
	if p.dialing > 0 || p.checking > 0 {
		return true
	}
	return (p.inUse > 0 || len(p.idle) > 0) && p.isAtLimit(err)
}

func (p *Pool[T]) isAtLimit(err error) bool { return p.cfg.AtLimit != nil && p.cfg.AtLimit(err) }

// offer passes a free connection to the first waiter that it serves or keeps it as idle. It returns false
// if the pool is closed, so that the connection must be closed. The caller holds mu.
func (p *Pool[T]) offer(e *entry[T]) bool {
	if p.closed {
		return false
	}
	for i, w := range p.waiters {
		if e.accepts(w.label) {
			p.waiters = slices.Delete(p.waiters, i, i+1)
			w.ready <- getResult[T]{handle: p.newHandle(e)}
			return true
		}
	}
	if len(p.waiters) > 0 {
		// The waiters need another label, for which this connection may be replaced.
		p.signal()
	}
	i, _ := slices.BinarySearchFunc(p.idle, e, func(a, b *entry[T]) int { return a.lastUsed.Compare(b.lastUsed) })
	p.idle = slices.Insert(p.idle, i, e)
	if p.nextExpiry(p.wakesAt).Before(p.wakesAt) {
		p.signal()
	}
	return true
}

// nextExpiry returns when the next idle connection expires, or the limit if none does before. The caller holds mu.
func (p *Pool[T]) nextExpiry(limit time.Time) time.Time {
	if len(p.idle) <= p.cfg.MinIdle {
		return limit
	}
	return earlier(limit, p.idle[0].lastUsed.Add(p.cfg.IdleTimeout))
}

// close closes a connection. It counts against the limit until it is closed, so that the other side
// never sees more connections than the limit.
func (p *Pool[T]) close(e *entry[T]) {
	_ = p.cfg.Close(e.value)
	p.mu.Lock()
	p.total--
	p.mu.Unlock()
	p.signal()
}

// isSuspect reports whether the connection must be checked before its next use. The caller holds mu.
func (p *Pool[T]) isSuspect(e *entry[T]) bool {
	return p.cfg.Ping != nil && e.lastAnswered.Before(p.suspectBefore)
}

// cancelWaiter removes a waiter whose context ended and returns a connection that it got in the
// meantime.
func (p *Pool[T]) cancelWaiter(w *waiter[T]) {
	p.mu.Lock()
	i := slices.Index(p.waiters, w)
	if i >= 0 {
		p.waiters = slices.Delete(p.waiters, i, i+1)
	}
	p.mu.Unlock()
	if i >= 0 {
		return
	}
	if out := <-w.ready; out.handle != nil {
		out.handle.Put()
	}
}

func (p *Pool[T]) signal() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// dialFailed starts the backoff and fails the waiters that can get no other connection.
func (p *Pool[T]) dialFailed(label string, err error) {
	p.mu.Lock()
	p.endDial(label)
	p.total--
	p.dialErr = err
	p.backoff = min(max(2*p.backoff, p.cfg.MinBackoff), p.cfg.MaxBackoff)
	// Jitter keeps entry VMs from dialing at the same time.
	p.retryAt = time.Now().Add(p.backoff/2 + rand.N(p.backoff/2+1))
	var failed []*waiter[T]
	if !p.canWait(err) {
		failed = p.waiters
		p.waiters = nil
	}
	p.mu.Unlock()
	for _, w := range failed {
		w.ready <- getResult[T]{err: err}
	}
	if p.cfg.OnDialError != nil {
		p.cfg.OnDialError(err)
	}
}

// takeDueForCheck removes and returns the idle connections whose heartbeat is due.
func (p *Pool[T]) takeDueForCheck(now time.Time) []*entry[T] {
	if p.cfg.Ping == nil {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	var due []*entry[T]
	p.idle = slices.DeleteFunc(p.idle, func(e *entry[T]) bool {
		if now.Sub(e.lastAnswered) < p.cfg.HeartbeatInterval && !p.isSuspect(e) {
			return false
		}
		due = append(due, e)
		return true
	})
	p.checking += len(due)
	return due
}

// check pings an idle connection and closes it if it doesn't answer in time.
func (p *Pool[T]) check(ctx context.Context, e *entry[T]) {
	ctx, cancel := context.WithTimeout(ctx, p.cfg.HeartbeatTimeout)
	defer cancel()
	err := p.cfg.Ping(ctx, e.value)
	p.mu.Lock()
	p.checking--
	e.lastAnswered = time.Now()
	kept := err == nil && p.offer(e)
	p.mu.Unlock()
	if !kept {
		p.close(e)
	}
}

// SetMinIdle changes Config.MinIdle and closes surplus idle connections immediately.
func (p *Pool[T]) SetMinIdle(n int) {
	p.mu.Lock()
	p.cfg.MinIdle = min(n, p.cfg.Limit)
	surplus := max(0, len(p.idle)-p.cfg.MinIdle)
	old := slices.Clone(p.idle[:surplus])
	p.idle = slices.Delete(p.idle, 0, surplus)
	p.mu.Unlock()
	for _, e := range old {
		p.close(e)
	}
	p.signal()
}

// closeExpired closes connections in excess of MinIdle that were idle for IdleTimeout.
func (p *Pool[T]) closeExpired(now time.Time) {
	p.mu.Lock()
	var old []*entry[T]
	for len(p.idle) > p.cfg.MinIdle && now.Sub(p.idle[0].lastUsed) >= p.cfg.IdleTimeout {
		old = append(old, p.idle[0])
		p.idle = slices.Delete(p.idle, 0, 1)
	}
	p.mu.Unlock()
	for _, e := range old {
		p.close(e)
	}
}

// maxWait is how long a pool without heartbeats or connections sleeps if nothing wakes it: with many upstreams, most
// pools of a VM are unused.
const maxWait = time.Hour

// untilNextEvent returns the time until a dial, a heartbeat or an expiry may be due.
func (p *Pool[T]) untilNextEvent(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	next := now.Add(maxWait)
	if p.dialErr != nil && p.retryAt.After(now) {
		next = earlier(next, p.retryAt)
	}
	if p.cfg.Ping != nil {
		next = now.Add(p.cfg.HeartbeatInterval)
		for _, e := range p.idle {
			next = earlier(next, e.lastAnswered.Add(p.cfg.HeartbeatInterval))
		}
	}
	next = p.nextExpiry(next)
	p.wakesAt = next
	return max(next.Sub(now), time.Millisecond)
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// shutDown fails the waiters and closes the idle connections.
func (p *Pool[T]) shutDown() {
	p.mu.Lock()
	p.closed = true
	waiters, idle := p.waiters, p.idle
	p.waiters, p.idle = nil, nil
	p.mu.Unlock()
	for _, w := range waiters {
		w.ready <- getResult[T]{err: ErrClosed}
	}
	for _, e := range idle {
		p.close(e)
	}
}
