package forward

import (
	"context"

	"github.com/cockroachdb/errors"
)

// errStopping reports a request that this host ended because it stops.
var errStopping = errors.New("the host stops")

// EndRequests gives each request in flight, and each that comes later, its final response at once: that no target ran it, or
// that one may have. It is called at the end of a planned stop.
func (h *Handler) EndRequests() { h.endRequests() }

// untilStop returns a context that ends with ctx, or with the cause errStopping at EndRequests.
func (h *Handler) untilStop(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	release := context.AfterFunc(h.ending, func() { cancel(errStopping) })
	return ctx, func() {
		release()
		cancel(nil)
	}
}
