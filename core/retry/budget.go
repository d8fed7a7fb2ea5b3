// Package retry limits retries to a share of the requests, so that they can't multiply the load of a
// surge.
//
// # Usage
//
//	b := retry.NewBudget(retry.Config{Ratio: 0.1, Burst: 50})
//	b.Deposit()        // for each request
//	if b.Withdraw() {  // before each retry
//		...
//	}
package retry

import "sync"

// Config configures a Budget.
type Config struct {
	// Ratio is the number of retries that each request adds to the budget.
	Ratio float64
	// Burst is the maximum number of retries in the budget.
	Burst float64
}

// Budget is a token bucket of retries that requests refill. It is safe for concurrent use.
type Budget struct {
	cfg Config
	mu  sync.Mutex
	// tokens is the number of retries that are allowed now.
	tokens float64
}

// NewBudget returns a full budget.
func NewBudget(cfg Config) *Budget { return &Budget{cfg: cfg, tokens: cfg.Burst} }

// Deposit adds Config.Ratio retries for one request, up to Config.Burst.
func (b *Budget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+b.cfg.Ratio, b.cfg.Burst)
}

// Withdraw takes one retry from the budget and reports whether there was one.
func (b *Budget) Withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Left returns the number of retries that are allowed now.
func (b *Budget) Left() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.tokens
}
