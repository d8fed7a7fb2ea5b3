package owner

import "sync"

// budgetBurst is the number of retries that may follow each other without any other traffic.
const budgetBurst = 10

// budget limits retries to a ratio of the traffic, so that they never multiply a surge.
type budget struct {
	ratio float64

	mu     sync.Mutex
	tokens float64
}

func newBudget(ratio float64) *budget { return &budget{ratio: ratio, tokens: budgetBurst} }

// earn counts a request.
func (b *budget) earn() {
	b.mu.Lock()
	b.tokens = min(b.tokens+b.ratio, budgetBurst)
	b.mu.Unlock()
}

// spend takes the right to one retry.
func (b *budget) spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// left returns the number of retries that may follow now.
func (b *budget) left() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.tokens
}
