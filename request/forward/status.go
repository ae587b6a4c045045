package forward

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"quetzalknot/connection/caller"
	"quetzalknot/request/admit"
	"quetzalknot/verdict"
)

// refuse responds to a request that no target ran. Status 503 has a Retry-After.
func refuse(w http.ResponseWriter, status int, err error) {
	if status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", retryAfter(err))
	}
	writeFailure(w, status, verdict.NotRun, err)
}

// fail responds to a request whose last attempt failed.
func fail(w http.ResponseWriter, err error) verdict.Verdict {
	return failWith(w, statusOf(err, http.StatusBadGateway), err)
}

// failWith responds to a failed request with the verdict of its error. It adds a
// Retry-After if no target ran the request and the failure is not the fault of the
// caller.
func failWith(w http.ResponseWriter, status int, err error) verdict.Verdict {
	v := verdict.Of(err)
	if v == verdict.NotRun && status >= http.StatusInternalServerError {
		w.Header().Set("Retry-After", retryAfter(err))
	}
	writeFailure(w, status, v, err)
	return v
}

// retryAfter returns the Retry-After of a refused request in seconds.
func retryAfter(err error) string {
	if after := admit.RetryAfterOf(err); after > 0 {
		return strconv.Itoa(int(after / time.Second))
	}
	return defaultRetryAfter
}

func writeFailure(w http.ResponseWriter, status int, v verdict.Verdict, err error) {
	w.Header().Set(verdict.Header, v.String())
	http.Error(w, err.Error(), status)
}

// statusOf returns the HTTP status for an error, or other if the error implies none.
func statusOf(err error, other int) int {
	switch {
	case errors.Is(err, caller.ErrTooLarge):
		return http.StatusRequestEntityTooLarge
	case errors.Is(err, caller.ErrTooSlow):
		return http.StatusRequestTimeout
	case errors.Is(err, errQuarantined):
		return http.StatusUnprocessableEntity
	case errors.Is(err, context.DeadlineExceeded):
		return http.StatusGatewayTimeout
	default:
		return other
	}
}

// rewindBody prepares the request body for another attempt. It returns false when the
// body cannot be sent again.
func rewindBody(r *http.Request) bool {
	if r.Body == nil || r.Body == http.NoBody {
		return true
	}
	body, ok := r.Body.(*caller.Body)
	return ok && body.Rewind()
}
