package client

import (
	"fmt"
	"io"
	"strings"

	"github.com/cockroachdb/errors"

	"quetzalknot/verdict"
)

var (
	// ErrNoEntry reports that a look-up named no entry host.
	ErrNoEntry = errors.New("no entry host is known")
	// ErrBodyNotReplayable reports that a request could be sent again but for its body.
	ErrBodyNotReplayable = errors.New("the body can't be read again")
)

// Attempt is the outcome of one sending of a request.
type Attempt struct {
	// Host is the name of the entry host.
	Host string
	// Verdict is what is known after this attempt.
	Verdict verdict.Verdict
	// Err is why the attempt failed.
	Err error
}

// Error reports a request that got no answer.
type Error struct {
	Service string
	// Verdict covers all attempts: NotRun only when none of them may have run.
	Verdict  verdict.Verdict
	Attempts []Attempt
	// Err is the last cause.
	Err error
}

// Error implements the error interface.
func (e *Error) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "service %q: %v (%s)", e.Service, e.Err, e.Verdict)
	for _, a := range e.Attempts {
		fmt.Fprintf(&b, "; %s: %v", a.Host, a.Err)
	}
	return b.String()
}

// Unwrap returns the last cause.
func (e *Error) Unwrap() error { return e.Err }

// LookupError reports a look-up that every API host failed or refused.
type LookupError struct {
	Service string
	// Status is the HTTP status of the refusal, or 0 when no host answered.
	Status int
	Err    error
}

// Error implements the error interface.
func (e *LookupError) Error() string {
	if e.Status == 0 {
		return fmt.Sprintf("look up service %q: %v", e.Service, e.Err)
	}
	return fmt.Sprintf("look up service %q: status %d: %v", e.Service, e.Status, e.Err)
}

// Unwrap returns the cause.
func (e *LookupError) Unwrap() error { return e.Err }

// body releases the request's context when the caller closes the answer.
type body struct {
	io.ReadCloser
	cancel func()
}

// Close implements io.Closer.
func (b *body) Close() error {
	err := b.ReadCloser.Close()
	b.cancel()
	return err
}
