package streamer

import "sync"

// maxRetryBalance is also the initial balance, so that retries are possible
// before the first requests have earned any.
const maxRetryBalance = 10

// RetryBudget limits the retries of one VM to a percentage of its requests.
type RetryBudget struct {
	mu      sync.Mutex
	balance float64
}

// NewRetryBudget returns a budget with a full balance.
func NewRetryBudget() *RetryBudget { return &RetryBudget{balance: maxRetryBalance} }

// Deposit adds the share that one request earns, in percent of a retry.
func (b *RetryBudget) Deposit(percent int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.balance = min(maxRetryBalance, b.balance+float64(percent)/100)
}

// Withdraw takes one retry from the balance and reports whether one was left.
func (b *RetryBudget) Withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}
