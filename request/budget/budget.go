// Package budget bounds extra attempts, by service, as a share of first attempts.
package budget

import "sync"

// Burst is how many extra attempts a service may save up. Attempts never exceed
// (1 + share) * requests plus the extra attempts that a bucket starts with.
const Burst = 10

// Budget is a set of token buckets that fill with requests, not with time, so that
// no extra attempts follow when no requests come. It is safe for concurrent use.
type Budget struct {
	start float64

	mu     sync.Mutex
	tokens map[string]float64
}

// New returns a Budget whose buckets start with this many extra attempts, at most Burst.
func New(start float64) *Budget {
	return &Budget{start: min(Burst, start), tokens: make(map[string]float64)}
}

// Earn notes one first attempt, which earns share of an extra one.
func (b *Budget) Earn(service string, share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens[service] = min(Burst, b.of(service)+share)
}

// Take spends one extra attempt. It returns false when none is left.
func (b *Budget) Take(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	left := b.of(service)
	if left < 1 {
		return false
	}
	b.tokens[service] = left - 1
	return true
}

// GiveBack returns an extra attempt that was not made.
func (b *Budget) GiveBack(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens[service] = min(Burst, b.of(service)+1)
}

func (b *Budget) of(service string) float64 {
	if left, ok := b.tokens[service]; ok {
		return left
	}
	return b.start
}
