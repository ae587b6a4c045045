// Package retry decides whether a failed attempt may be followed by another.
package retry

import (
	"quetzalknot/request"
	"quetzalknot/verdict"
)

// maxAttempts bounds the attempts of one request.
const maxAttempts = 3

// Allowed reports whether a request may have another attempt after attempts
// failed ones, the last with this verdict.
func Allowed(info *request.Info, attempts int, v verdict.Verdict) bool {
	if attempts >= maxAttempts {
		return false
	}
	return v == verdict.NotRun || (v == verdict.MayHaveRun && info.Idempotent)
}
