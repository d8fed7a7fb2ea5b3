package budget

import (
	"context"
	"errors"
	"sync"
	"time"
)

// FreeBytes is what a connection may hold without being accounted for.
const FreeBytes = 8 << 10

// ErrSpent reports that the budget is spent. Nothing is wrong with the connection's other end.
var ErrSpent = errors.New("the VM's memory for connections is used up")

// Config configures a Budget. Refused and Closed may be nil.
type Config struct {
	// Limit is the memory that all accounts may hold together, in bytes.
	Limit int64
	// Wait is how long Hold waits for memory that others give back.
	Wait time.Duration
	// Refused is noted when an account gets no memory, Closed when one is closed to get its memory back.
	Refused, Closed *Notice
}

// Budget is a limit of memory that accounts share. It is safe for concurrent use.
type Budget struct {
	cfg Config

	mu      sync.Mutex
	used    int64
	holders map[*Account]struct{}
	// leaving is what closed accounts still hold.
	leaving int64
	// queue holds the accounts that wait, in the order of their arrival.
	queue []*request
}

// request is an account that waits for memory.
type request struct {
	account *Account
	size    int64
	granted chan struct{}
}

// New returns a budget that nobody has used yet.
func New(cfg Config) *Budget {
	return &Budget{cfg: cfg, holders: make(map[*Account]struct{})}
}

// Account is the memory of one connection. One goroutine uses it at a time.
type Account struct {
	b *Budget
	// close closes the connection; nil if it must not be closed.
	close func()
	// held is changed with the budget's mu locked, by the account's goroutine or on its behalf while it waits.
	held int64
	// waits is set while the connection waits for its peer, closing once it is closed. Both are guarded by the budget's mu.
	waits, closing bool
}

// Open returns the account of a new connection. The function closes the connection and must not block; nil means that the
// connection must not be closed.
func (b *Budget) Open(closeConn func()) *Account { return &Account{b: b, close: closeConn} }

// Hold sets what the account holds, in bytes. It reports false if there is no memory, also after waiting for it; the
// account then holds what it held before. Less memory is never refused.
func (a *Account) Hold(ctx context.Context, size int64) bool {
	return a.hold(ctx, size, a.b.cfg.Wait)
}

// TryHold is Hold without waiting.
func (a *Account) TryHold(size int64) bool { return a.hold(context.Background(), size, 0) }

func (a *Account) hold(ctx context.Context, size int64, wait time.Duration) bool {
	if size <= FreeBytes {
		size = 0
	}
	if size == a.held {
		return true
	}
	b := a.b
	b.mu.Lock()
	if b.set(a, size) {
		b.mu.Unlock()
		return true
	}
	b.closeLargest(a, size)
	r := &request{account: a, size: size, granted: make(chan struct{})}
	if wait > 0 {
		b.queue = append(b.queue, r)
	}
	b.mu.Unlock()
	if wait > 0 && b.await(ctx, r, wait) {
		return true
	}
	b.cfg.Refused.Note("Bytes", size)
	return false
}

// await waits until the request is granted, and reports whether it was.
func (b *Budget) await(ctx context.Context, r *request, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-r.granted:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for i, other := range b.queue {
		if other == r {
			b.queue = append(b.queue[:i], b.queue[i+1:]...)
			b.grant()
			return false
		}
	}
	return true
}

// set changes what the account holds and reports true, unless the budget is too small. The caller holds mu.
func (b *Budget) set(a *Account, size int64) bool {
	more := size - a.held
	if more > 0 && b.used+more > b.cfg.Limit {
		return false
	}
	b.used += more
	if a.closing {
		b.leaving += more
	}
	a.held = size
	if size == 0 {
		delete(b.holders, a)
	} else {
		b.holders[a] = struct{}{}
	}
	if more < 0 {
		b.grant()
	}
	return true
}

// grant grants the oldest requests as far as the memory suffices. The caller holds mu.
func (b *Budget) grant() {
	for len(b.queue) > 0 {
		r := b.queue[0]
		if b.used+r.size-r.account.held > b.cfg.Limit {
			return
		}
		b.queue = b.queue[1:]
		b.set(r.account, r.size)
		close(r.granted)
	}
}

// closeLargest closes the largest holder that waits for its peer, if it holds more than the account asks for and what
// closed accounts give back doesn't suffice. The caller holds mu.
func (b *Budget) closeLargest(a *Account, size int64) {
	if b.used-b.leaving+size-a.held <= b.cfg.Limit {
		return
	}
	var largest *Account
	for other := range b.holders {
		if other.waits && !other.closing && other.held > size && (largest == nil || other.held > largest.held) {
			largest = other
		}
	}
	if largest == nil {
		return
	}
	largest.closing = true
	b.leaving += largest.held
	b.cfg.Closed.Note("Bytes", largest.held)
	largest.close()
}

// Await calls fn, which waits for the peer. The connection may be closed meanwhile.
func (a *Account) Await(fn func()) {
	if a.held == 0 || a.close == nil {
		fn()
		return
	}
	a.setWaits(true)
	defer a.setWaits(false)
	fn()
}

func (a *Account) setWaits(waits bool) {
	a.b.mu.Lock()
	defer a.b.mu.Unlock()
	a.waits = waits
}

// Close gives everything back.
func (a *Account) Close() { a.TryHold(0) }

// Used returns what all accounts hold, in bytes.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}
