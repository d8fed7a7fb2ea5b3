// Package retry limits repetitions of requests to a share of the traffic, so that retries never
// multiply a surge.
//
// # Usage
//
//	b := retry.NewBudget(retry.Config{Ratio: 0.1, Burst: 50})
//	b.Earn()        // for each request
//	if b.Spend() {  // before each repetition
//		...
//	}
package retry

import "sync"

// Config configures a Budget.
type Config struct {
	// Ratio is the share of the requests that may be repeated.
	Ratio float64
	// Burst is the number of repetitions that can be saved up.
	Burst float64
}

// Budget is safe for concurrent use.
type Budget struct {
	cfg Config
	mu  sync.Mutex
	// tokens is the number of repetitions that are allowed now.
	tokens float64
}

// NewBudget returns a full budget.
func NewBudget(cfg Config) *Budget { return &Budget{cfg: cfg, tokens: cfg.Burst} }

// Deposit adds the allowance of one request.
func (b *Budget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+b.cfg.Ratio, b.cfg.Burst)
}

// Withdraw takes one repetition and reports whether there was one.
func (b *Budget) Withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Left returns the number of repetitions that are allowed now.
func (b *Budget) Left() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.tokens
}
