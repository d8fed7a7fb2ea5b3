package pool

import (
	"sync/atomic"
	"time"
)

// Handle is the use of one connection. Exactly one of Put and Discard ends it; later calls have no
// effect, even if the connection has a new user by then.
type Handle[T any] struct {
	// Value is the connection. It must not be used after Put or Discard.
	Value T

	pool  *Pool[T]
	entry *entry[T]
	ended atomic.Bool
}

// entry is a connection of the pool.
type entry[T any] struct {
	value T
	// used is when the connection was last returned, checked when it last proved to answer.
	used, checked time.Time
}

// Put returns a connection that works and has no request in progress.
func (h *Handle[T]) Put() {
	if h.ended.Swap(true) {
		return
	}
	p := h.pool
	p.mu.Lock()
	p.inUse--
	h.entry.used = time.Now()
	h.entry.checked = h.entry.used
	kept := p.offer(h.entry)
	p.mu.Unlock()
	if !kept {
		p.close(h.entry)
	}
}

// Discard closes a connection that failed or whose state is unknown. Whatever broke it may have broken
// the idle connections, too, unless they have answered within the time of a check.
func (h *Handle[T]) Discard() {
	if h.ended.Swap(true) {
		return
	}
	p := h.pool
	p.mu.Lock()
	p.inUse--
	p.doubt = time.Now().Add(-p.cfg.HeartbeatTimeout)
	p.mu.Unlock()
	p.close(h.entry)
}
