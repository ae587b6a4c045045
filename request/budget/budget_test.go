package budget

import (
	"testing"

	"pgregory.net/rapid"
)

// TestExtraAttemptsStayWithinTheShare checks the bound of a token bucket for random
// sequences of calls.
func TestExtraAttemptsStayWithinTheShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		share := rapid.Float64Range(0, 1).Draw(t, "share")
		start := rapid.Float64Range(0, Burst).Draw(t, "start")
		b := New(start)
		requests, extra := 0, 0
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				b.AddRequest("bokun", share)
				requests++
			case 1:
				if extra > 0 {
					b.Refund("bokun")
					extra--
				}
			default:
				if b.Take("bokun") {
					extra++
				}
			}
			if float64(extra) > share*float64(requests)+start+1e-9 {
				t.Fatalf("%d extra attempts for %d requests and a share of %v", extra, requests, share)
			}
		}
	})
}
