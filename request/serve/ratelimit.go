package serve

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"quetzalknot/version/routes"
)

// RateLimiter knows the rate limits of workspaces over all hosts together.
type RateLimiter interface {
	// Take admits a request of a workspace or says when to try again. It may wait for up to 250 ms, or 1.5 s while no
	// host allocates, and no longer than ctx.
	Take(ctx context.Context, workspace string, now time.Time) (ok bool, retryAfter time.Duration)
	// Return gives back what Take took for a request that no target ran.
	Return(workspace string, now time.Time)
}

var errRateLimit = errors.New("rate limit of the workspace is reached")

// maxReturnAge is how long after Take a request may return its quota. Later the quota may have expired, and another
// request that used it would exceed the limit. It is less than the time for which package quota allows that.
const maxReturnAge = 100 * time.Millisecond

// admission is what a request took of the rate limit of its workspace.
type admission struct {
	// workspace is empty if nothing was taken or it was returned.
	workspace string
	at        time.Time
	// retryAfter is when a request that was refused may be repeated.
	retryAfter time.Duration
}

// admit takes the request's part of the rate limit of its workspace, which is nil if it has none. It returns false when
// it has sent the final response.
func (q *request) admit(ctx context.Context, workspace *routes.Workspace) bool {
	if q.h.RateLimiter == nil || workspace == nil || workspace.RatePerSecond <= 0 {
		return true
	}
	ok, retryAfter := q.h.RateLimiter.Take(ctx, workspace.Name, time.Now())
	if ok {
		q.admission = admission{workspace: workspace.Name, at: time.Now()} // it may have waited
		return true
	}
	q.admission.retryAfter = retryAfter
	return q.refuse(http.StatusTooManyRequests, errRateLimit)
}

// returnQuota gives back what admit took, if no target may have run the request.
func (q *request) returnQuota() {
	now := time.Now()
	if q.admission.workspace == "" || q.mayHaveRun || now.Sub(q.admission.at) > maxReturnAge {
		return
	}
	q.h.RateLimiter.Return(q.admission.workspace, now)
	q.admission.workspace = ""
}
