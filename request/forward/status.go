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

// refuse answers a request that no target ran.
func refuse(w http.ResponseWriter, status int, err error) {
	writeFailure(w, status, verdict.NotRun, err)
}

// fail answers a request whose last attempt failed.
func fail(w http.ResponseWriter, err error) verdict.Verdict {
	return failWith(w, statusOf(err, http.StatusBadGateway), err)
}

// failWith answers a failed request with the verdict of its error.
func failWith(w http.ResponseWriter, status int, err error) verdict.Verdict {
	v := verdict.Of(err)
	if v == verdict.NotRun && status >= http.StatusInternalServerError {
		w.Header().Set("Retry-After", retryAfter(err))
	}
	writeFailure(w, status, v, err)
	return v
}

// retryAfter returns the seconds after which a refused request may be sent again.
func retryAfter(err error) string {
	if after := admit.RetryAfterOf(err); after > 0 {
		return strconv.Itoa(int(after / time.Second))
	}
	return retryAfterSeconds
}

func writeFailure(w http.ResponseWriter, status int, v verdict.Verdict, err error) {
	w.Header().Set(verdict.Header, v.String())
	http.Error(w, err.Error(), status)
}

// statusOf returns the HTTP status for an error, or other when it has none of its own.
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

// canSendAgain reports whether the request's body, if any, is still whole, and
// prepares it for another attempt.
func canSendAgain(r *http.Request) bool {
	if r.Body == nil || r.Body == http.NoBody {
		return true
	}
	body, ok := r.Body.(*caller.Body)
	return ok && body.Rewind()
}
