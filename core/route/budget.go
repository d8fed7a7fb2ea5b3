package route

import "sync"

const (
	// defaultRetryRatio is the share of the requests that may be sent a second time.
	defaultRetryRatio = 0.1
	// defaultRetryBurst is how many repetitions can be saved up.
	defaultRetryBurst = 50
)

// BudgetConfig configures a Budget. Zero values mean the defaults.
type BudgetConfig struct {
	// Ratio is the share of the requests that may be repeated.
	Ratio float64
	// Burst is the number of repetitions that can be saved up.
	Burst float64
}

// Budget limits repetitions to a share of the requests, so that they can't multiply a surge.
type Budget struct {
	cfg BudgetConfig
	mu  sync.Mutex
	// tokens is the number of repetitions that are allowed now.
	tokens float64
}

// NewBudget returns a full budget.
func NewBudget(cfg BudgetConfig) *Budget {
	if cfg.Ratio == 0 {
		cfg.Ratio = defaultRetryRatio
	}
	if cfg.Burst == 0 {
		cfg.Burst = defaultRetryBurst
	}
	return &Budget{cfg: cfg, tokens: cfg.Burst}
}

// Earn adds the allowance of one request.
func (b *Budget) Earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+b.cfg.Ratio, b.cfg.Burst)
}

// Spend takes one repetition and reports whether there was one.
func (b *Budget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
