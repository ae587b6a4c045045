// Package budget bounds the extra attempts of each service (retries and hedged
// requests) to a share of its first attempts.
package budget

import "sync"

// Burst is the capacity of a token bucket, in extra attempts. The attempts of a service
// never exceed (1 + share) * requests plus the tokens that its bucket starts with.
const Burst = 10

// Budget is a token bucket for each service. Buckets are filled by requests, not by
// time, so that there are no extra attempts when no requests arrive. It is safe for
// concurrent use.
type Budget struct {
	initial float64

	mu     sync.Mutex
	tokens map[string]float64
}

// New returns a Budget whose buckets start with start tokens, at most Burst.
func New(start float64) *Budget {
	return &Budget{initial: min(Burst, start), tokens: make(map[string]float64)}
}

// AddRequest adds share of a token for one first attempt.
func (b *Budget) AddRequest(service string, share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens[service] = min(Burst, b.balance(service)+share)
}

// Take removes one token for an extra attempt. It returns false when less than one is
// left.
func (b *Budget) Take(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	left := b.balance(service)
	if left < 1 {
		return false
	}
	b.tokens[service] = left - 1
	return true
}

// Refund returns the token of an extra attempt that was not sent.
func (b *Budget) Refund(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens[service] = min(Burst, b.balance(service)+1)
}

func (b *Budget) balance(service string) float64 {
	if left, ok := b.tokens[service]; ok {
		return left
	}
	return b.initial
}
