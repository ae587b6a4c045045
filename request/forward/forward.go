// Package forward carries a caller's request to a target and its answer back.
//
// forward.go reads the request, attempts.go runs the attempts, hedged.go runs two
// beside each other, answer.go sends one request and passes its answer on.
package forward

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"quetzalknot/connection/target"
	"quetzalknot/process/eventlog"
	"quetzalknot/process/metrics"
	"quetzalknot/request"
	"quetzalknot/request/admit"
	"quetzalknot/verdict"
	"quetzalknot/version/state"
)

var evDone = eventlog.Define(4001, zerolog.InfoLevel, "request finished")

// Handler forwards callers' requests. It is an http.Handler.
type Handler struct {
	config *state.Holder
	admit  *admit.Admitter
	pool   *target.Pool
	log    zerolog.Logger
	extra  extra
}

// New returns a handler that routes by the configuration in force.
func New(holder *state.Holder, admitter *admit.Admitter, pool *target.Pool, set *metrics.Set, log zerolog.Logger) *Handler {
	return &Handler{config: holder, admit: admitter, pool: pool, log: log, extra: newExtra(admitter.RunTimes(), set, log)}
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	snap := h.config.Load()
	name := request.ServiceName(r)
	svc := snap.Services[name]
	if svc == nil {
		refuse(w, http.StatusNotFound, errors.Newf("service %q is unknown", name))
		return
	}
	info, err := request.Parse(r, svc, time.Now())
	if err != nil {
		refuse(w, http.StatusBadRequest, err)
		return
	}
	w.Header().Set(request.HeaderRequestID, info.ID)
	ctx, cancel := context.WithDeadline(r.Context(), info.Deadline)
	defer cancel()
	v := h.forward(ctx, w, r, info, snap)
	evDone.Log(h.log).Str("request", info.ID).Str("service", name).Stringer("verdict", v).Send()
}

// refuse answers a request that no target ran.
func refuse(w http.ResponseWriter, status int, err error) {
	w.Header().Set(verdict.Header, verdict.NotRun.String())
	http.Error(w, err.Error(), status)
}
