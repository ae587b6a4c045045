package client

import (
	"fmt"
	"io"
	"strings"

	"github.com/cockroachdb/errors"

	"quetzalknot/verdict"
)

var (
	// ErrNoEntry reports that a look-up returned no entry host.
	ErrNoEntry = errors.New("the look-up returned no entry host")
	// ErrBodyNotReplayable reports that a request could be retried except that its
	// body cannot be read a second time.
	ErrBodyNotReplayable = errors.New("the request body cannot be read a second time")
)

// Attempt is the result of one failed attempt to send a request.
type Attempt struct {
	// Host is the name of the entry host.
	Host string
	// Verdict says whether this attempt may have run the request.
	Verdict verdict.Verdict
	// Err is the cause of the failure.
	Err error
}

// Error reports a request that received no response.
type Error struct {
	Service string
	// Verdict covers all attempts: NotRun only when none of them may have run.
	Verdict  verdict.Verdict
	Attempts []Attempt
	// Err is the cause of the last failure.
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

// Unwrap returns the cause of the last failure.
func (e *Error) Unwrap() error { return e.Err }

// LookupError reports a failed look-up: no API host knew the service, every one failed, one
// rejected the look-up, or the caller's context ended first.
type LookupError struct {
	Service string
	// Status is 404 when an API host that is up to date does not know the service and no
	// other one does. Else it is the HTTP status of the last API host that was tried, or 0
	// when that host sent no valid response.
	Status int
	Err    error
	// final is true if the failure ends the use of a cached answer: the service does not exist,
	// or the look-up is invalid.
	final bool
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

// body is a response body that cancels the request's context when the caller closes it.
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
