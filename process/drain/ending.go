package drain

import (
	"context"

	"github.com/cockroachdb/errors"
)

// ErrStopping reports a request that was refused or ended because the host stops.
var ErrStopping = errors.New("the host stops")

// Ending makes a host's requests end at the end of a planned stop. It is safe for concurrent use.
type Ending struct {
	ctx context.Context
	end context.CancelFunc
}

// NewEnding returns an Ending that has not come.
func NewEnding() *Ending {
	ctx, end := context.WithCancel(context.Background())
	return &Ending{ctx: ctx, end: end}
}

// End makes all requests end, and those that come later.
func (e *Ending) End() { e.end() }

// Ended reports whether End was called.
func (e *Ending) Ended() bool { return e.ctx.Err() != nil }

// Context returns a context that ends with ctx, or with the cause ErrStopping at End. The function that it
// returns releases what the context holds.
func (e *Ending) Context(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	release := context.AfterFunc(e.ctx, func() { cancel(ErrStopping) })
	return ctx, func() {
		release()
		cancel(nil)
	}
}

// AfterFunc calls f in a goroutine of its own at End, unless the function that it returns is called before.
func (e *Ending) AfterFunc(f func()) (stop func() bool) { return context.AfterFunc(e.ctx, f) }
