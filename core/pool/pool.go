package pool

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// ErrClosed says that the pool has ended, ErrSlow that its dials take long.
var (
	ErrClosed = errors.New("connection pool is closed")
	ErrSlow   = errors.New("dials are slow")
)

// Pool is a pool of connections of type T. It is safe for concurrent use.
type Pool[T any] struct {
	cfg  Config[T]
	wake chan struct{}

	mu sync.Mutex
	// idle is ordered by last use; connections are taken from the end.
	idle    []*entry[T]
	waiters []*waiter[T]
	// total counts all connections against the limit: idle, in use, dialing, in a check or closing.
	total, inUse, dialing, checking int
	closed                          bool
	// dialingSince is when the oldest dial in progress may have begun.
	dialingSince time.Time
	dialErr      error
	backoff      time.Duration
	retryAt      time.Time
	// doubt is a time: idle connections that last answered before it may be as silent as one that
	// was discarded, and are checked before they are used again.
	doubt time.Time
}

// waiter is a call of Get that found no idle connection.
type waiter[T any] struct {
	ready chan outcome[T]
}

type outcome[T any] struct {
	handle *Handle[T]
	err    error
}

// Stats shows a pool's state.
type Stats struct {
	Limit, Total, InUse, Idle, Dialing, Waiting int
	// DialError is the last dial's error, if it failed.
	DialError string `json:",omitempty"`
}

// New returns a pool. It dials only while Run works.
func New[T any](cfg Config[T]) *Pool[T] {
	return &Pool[T]{cfg: cfg.withDefaults(), wake: make(chan struct{}, 1)}
}

// Get takes a connection. Without an idle one it waits for a dial or a returned connection. Its
// errors are the dial's error, ErrClosed and the context's error.
func (p *Pool[T]) Get(ctx context.Context) (*Handle[T], error) {
	p.mu.Lock()
	if h, ok := p.takeIdle(); ok {
		p.mu.Unlock()
		return h, nil
	}
	if p.closed {
		p.mu.Unlock()
		return nil, ErrClosed
	}
	if p.dialErr != nil && time.Now().Before(p.retryAt) && !p.mayWait(p.dialErr) {
		defer p.mu.Unlock()
		return nil, p.dialErr
	}
	w := &waiter[T]{ready: make(chan outcome[T], 1)}
	p.waiters = append(p.waiters, w)
	p.mu.Unlock()
	p.signal()
	select {
	case out := <-w.ready:
		return out.handle, out.err
	case <-ctx.Done():
		p.abandon(w)
		return nil, ctx.Err()
	}
}

// TryGet takes an idle connection, if there is one.
func (p *Pool[T]) TryGet() (*Handle[T], bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.takeIdle()
}

// Blocked returns why no new connection can be had now, or nil: the last dial's error while the next one
// hasn't succeeded yet, or ErrSlow if the dials in progress are slow.
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

// takeIdle takes the connection that was used last. The caller holds mu.
func (p *Pool[T]) takeIdle() (*Handle[T], bool) {
	n := len(p.idle)
	if n == 0 {
		return nil, false
	}
	if p.doubted(p.idle[n-1]) {
		p.signal()
		return nil, false
	}
	h := p.hold(p.idle[n-1])
	p.idle = p.idle[:n-1]
	if p.lacking() > 0 {
		p.signal()
	}
	return h, true
}

// Stats returns the pool's state.
func (p *Pool[T]) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := Stats{
		Limit:   p.cfg.Limit,
		Total:   p.total,
		InUse:   p.inUse,
		Idle:    len(p.idle),
		Dialing: p.dialing,
		Waiting: len(p.waiters),
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
		for range p.reserveDials(now) {
			tasks++
			go func() { p.dial(ctx); ends <- struct{}{} }()
		}
		for _, e := range p.takeDue(now) {
			tasks++
			go func() { p.check(ctx, e); ends <- struct{}{} }()
		}
		p.expire(now)
		timer.Reset(p.untilNext(now))
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-p.wake:
		case <-ends:
			tasks--
		}
	}
	p.shut()
	for ; tasks > 0; tasks-- {
		<-ends
	}
	return nil
}

// hold counts the connection as in use. The caller holds mu.
func (p *Pool[T]) hold(e *entry[T]) *Handle[T] {
	p.inUse++
	return &Handle[T]{Value: e.value, pool: p, entry: e}
}

// mayWait reports whether a connection in use may come back to somebody who can't dial one because
// of err. The caller holds mu.
func (p *Pool[T]) mayWait(err error) bool {
	if p.dialing > 0 || p.checking > 0 {
		return true
	}
	return p.inUse > 0 && p.cfg.AtLimit != nil && p.cfg.AtLimit(err)
}

// offer passes a free connection to the first waiter or keeps it as idle. It returns false if the
// pool is closed and the connection must be closed. The caller holds mu.
func (p *Pool[T]) offer(e *entry[T]) bool {
	if p.closed {
		return false
	}
	if len(p.waiters) > 0 {
		w := p.waiters[0]
		p.waiters = slices.Delete(p.waiters, 0, 1)
		w.ready <- outcome[T]{handle: p.hold(e)}
		return true
	}
	i, _ := slices.BinarySearchFunc(p.idle, e, func(a, b *entry[T]) int { return a.used.Compare(b.used) })
	p.idle = slices.Insert(p.idle, i, e)
	return true
}

// close closes a connection. It counts against the limit until then, so that the other side never
// sees more connections than the limit.
func (p *Pool[T]) close(e *entry[T]) {
	_ = p.cfg.Close(e.value)
	p.mu.Lock()
	p.total--
	p.mu.Unlock()
	p.signal()
}

// doubted reports whether the connection must be checked before its next use. The caller holds mu.
func (p *Pool[T]) doubted(e *entry[T]) bool {
	return p.cfg.Ping != nil && e.checked.Before(p.doubt)
}

// abandon removes a waiter whose context ended and passes on what it may have been given meanwhile.
func (p *Pool[T]) abandon(w *waiter[T]) {
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

// lacking returns how many more connections should be dialed. The caller holds mu.
func (p *Pool[T]) lacking() int {
	want := len(p.waiters) + max(0, p.cfg.MinIdle-len(p.idle)-p.checking) - p.dialing
	want = min(want, p.cfg.Limit-p.total)
	if p.cfg.SlowStart {
		want = min(want, max(1, p.total-p.dialing)-p.dialing)
	}
	return max(0, want)
}

// reserveDials returns how many dials to start and counts them.
func (p *Pool[T]) reserveDials(now time.Time) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := p.lacking()
	if p.dialErr != nil {
		// After a failure a single dial probes whether connections are accepted again.
		n = min(n, 1)
		if now.Before(p.retryAt) || p.dialing > 0 {
			n = 0
		}
	}
	if n > 0 && p.dialing == 0 {
		p.dialingSince = now
	}
	p.total += n
	p.dialing += n
	return n
}

// dial opens one connection and reports the result to the pool.
func (p *Pool[T]) dial(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, p.cfg.DialTimeout)
	defer cancel()
	v, err := p.cfg.Dial(ctx)
	if err != nil {
		p.dialFailed(err)
		return
	}
	now := time.Now()
	e := &entry[T]{value: v, used: now, checked: now}
	p.mu.Lock()
	p.dialing--
	p.dialingSince = now
	p.dialErr = nil
	p.backoff = 0
	kept := p.offer(e)
	p.mu.Unlock()
	if !kept {
		p.close(e)
	}
}

// dialFailed starts the backoff and fails the waiters that nothing else can serve.
func (p *Pool[T]) dialFailed(err error) {
	p.mu.Lock()
	p.dialing--
	p.total--
	p.dialErr = err
	p.backoff = min(max(2*p.backoff, p.cfg.MinBackoff), p.cfg.MaxBackoff)
	// Jitter keeps several entry VMs from dialing at the same moments.
	p.retryAt = time.Now().Add(p.backoff/2 + rand.N(p.backoff/2+1))
	var failed []*waiter[T]
	if !p.mayWait(err) {
		failed = p.waiters
		p.waiters = nil
	}
	p.mu.Unlock()
	for _, w := range failed {
		w.ready <- outcome[T]{err: err}
	}
	if p.cfg.OnDialError != nil {
		p.cfg.OnDialError(err)
	}
}

// takeDue removes the connections from the idle ones whose heartbeat is due.
func (p *Pool[T]) takeDue(now time.Time) []*entry[T] {
	if p.cfg.Ping == nil {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	var due []*entry[T]
	p.idle = slices.DeleteFunc(p.idle, func(e *entry[T]) bool {
		if now.Sub(e.checked) < p.cfg.HeartbeatInterval && !p.doubted(e) {
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
	e.checked = time.Now()
	kept := err == nil && p.offer(e)
	p.mu.Unlock()
	if !kept {
		p.close(e)
	}
}

// SetMinIdle changes the number of idle connections that the pool keeps ready and closes the surplus
// at once.
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

// expire closes connections above the warm reserve that were idle for too long.
func (p *Pool[T]) expire(now time.Time) {
	p.mu.Lock()
	var old []*entry[T]
	for len(p.idle) > p.cfg.MinIdle && now.Sub(p.idle[0].used) >= p.cfg.IdleTimeout {
		old = append(old, p.idle[0])
		p.idle = slices.Delete(p.idle, 0, 1)
	}
	p.mu.Unlock()
	for _, e := range old {
		p.close(e)
	}
}

// untilNext returns the time until a dial, a heartbeat or an expiry may be due.
func (p *Pool[T]) untilNext(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	next := now.Add(p.cfg.HeartbeatInterval)
	if p.dialErr != nil && p.retryAt.After(now) {
		next = earlier(next, p.retryAt)
	}
	for _, e := range p.idle {
		next = earlier(next, e.checked.Add(p.cfg.HeartbeatInterval))
	}
	if len(p.idle) > p.cfg.MinIdle {
		next = earlier(next, p.idle[0].used.Add(p.cfg.IdleTimeout))
	}
	return max(next.Sub(now), time.Millisecond)
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// shut fails the waiters and closes the idle connections.
func (p *Pool[T]) shut() {
	p.mu.Lock()
	p.closed = true
	waiters, idle := p.waiters, p.idle
	p.waiters, p.idle = nil, nil
	p.mu.Unlock()
	for _, w := range waiters {
		w.ready <- outcome[T]{err: ErrClosed}
	}
	for _, e := range idle {
		p.close(e)
	}
}
