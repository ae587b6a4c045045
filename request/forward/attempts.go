package forward

import (
	"context"
	"net/http"

	"quetzalknot/request"
	"quetzalknot/request/retry"
	"quetzalknot/verdict"
	"quetzalknot/version/state"
)

// forward runs attempts until one is answered or no further one is allowed, and
// writes the answer. It returns the verdict that the caller was told.
func (h *Handler) forward(ctx context.Context, w http.ResponseWriter, r *http.Request, info *request.Info, snap *state.Snapshot) verdict.Verdict {
	var tried []string
	ranMaybe := false
	for {
		choice, err := h.admit.Acquire(ctx, info, snap, tried)
		if err != nil && ranMaybe {
			return fail(w, verdict.Wrap(verdict.MayHaveRun, "retry", err))
		}
		if err != nil {
			w.Header().Set("Retry-After", retryAfterSeconds)
			refuse(w, http.StatusServiceUnavailable, err)
			return verdict.NotRun
		}
		tried = append(tried, choice.Target.Name)
		answer, err := h.exchange(ctx, r, info, choice)
		if err == nil {
			return answer.copyTo(w)
		}
		v := verdict.Of(err)
		ranMaybe = ranMaybe || v != verdict.NotRun
		if !canSendAgain(r) || !retry.Allowed(info, len(tried), v) {
			if ranMaybe {
				err = verdict.Wrap(verdict.MayHaveRun, "last attempt", err)
			}
			return fail(w, err)
		}
	}
}
