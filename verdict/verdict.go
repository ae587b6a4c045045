// Package verdict states whether a target ran a request, as far as that is known.
//
// A verdict is attached to every error between a target and its caller. The zero value
// is MayHaveRun, so that an unknown outcome is never reported as certain.
package verdict

import "github.com/cockroachdb/errors"

// Header is the HTTP header that carries the verdict to the caller.
const Header = "Quetzal-Verdict"

// Verdict states whether a target ran a request.
type Verdict uint8

const (
	// MayHaveRun means that the target may or may not have run the request.
	MayHaveRun Verdict = iota
	// NotRun means that no target ran the request and none will.
	NotRun
	// Ran means that a target ran the request and its response is known.
	Ran
)

// String returns the form used in the Quetzal-Verdict header.
func (v Verdict) String() string {
	switch v {
	case NotRun:
		return "not-run"
	case Ran:
		return "ran"
	default:
		return "may-have-run"
	}
}

// Parse parses the value of the Quetzal-Verdict header. Any other text yields
// MayHaveRun.
func Parse(s string) Verdict {
	switch s {
	case "not-run":
		return NotRun
	case "ran":
		return Ran
	default:
		return MayHaveRun
	}
}

// Error is the error of one exchange with its verdict.
type Error struct {
	Verdict Verdict
	// Op names the step that failed, such as "dial" or "read header".
	Op string
	// Err is the cause.
	Err error
}

// Error implements the error interface.
func (e *Error) Error() string {
	return e.Op + ": " + e.Err.Error() + " (" + e.Verdict.String() + ")"
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Wrap returns an Error, or nil when err is nil.
func Wrap(v Verdict, op string, err error) error {
	if err == nil {
		return nil
	}
	return &Error{Verdict: v, Op: op, Err: err}
}

// Of returns the verdict attached to err. It returns MayHaveRun for an error without a
// verdict, and Ran for nil.
func Of(err error) Verdict {
	if err == nil {
		return Ran
	}
	var e *Error
	if errors.As(err, &e) {
		return e.Verdict
	}
	return MayHaveRun
}
