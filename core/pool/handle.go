package pool

import (
	"sync/atomic"
	"time"
)

// Handle is the use of one connection. It ends with Put or Discard; later calls of either have no
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
	label string
	// lastUsed is when the connection was last returned, lastAnswered when it last proved to work.
	lastUsed, lastAnswered time.Time
}

// Put returns the connection to the pool. It must work and have no request in progress.
func (h *Handle[T]) Put() {
	if h.ended.Swap(true) {
		return
	}
	p := h.pool
	p.mu.Lock()
	p.inUse--
	h.entry.lastUsed = time.Now()
	h.entry.lastAnswered = h.entry.lastUsed
	kept := p.offer(h.entry)
	p.mu.Unlock()
	if !kept {
		p.close(h.entry)
	}
}

// Discard closes a connection that failed or whose state is unknown. The cause may affect the idle
// connections as well, so those that have not answered within the last HeartbeatTimeout are checked
// before their next use.
func (h *Handle[T]) Discard() {
	if h.ended.Swap(true) {
		return
	}
	p := h.pool
	p.mu.Lock()
	p.inUse--
	p.suspectBefore = time.Now().Add(-p.cfg.HeartbeatTimeout)
	p.mu.Unlock()
	p.close(h.entry)
}
