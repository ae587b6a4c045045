package forward

import (
	"context"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"quetzalknot/connection/caller"
	"quetzalknot/connection/target"
	"quetzalknot/process/eventlog"
	"quetzalknot/request"
	"quetzalknot/request/claim"
	"quetzalknot/verdict"
)

var (
	evPassedOn  = eventlog.Define(4306, zerolog.InfoLevel, "request passed to the owner of its idempotency key")
	evOwnerGone = eventlog.Define(4307, zerolog.WarnLevel, "owner of the idempotency key is gone")
)

// headerPassedBy names the host that passed a request to the owner of its key.
const headerPassedBy = "Quetzal-Passed-By"

var (
	errOwnerGone    = errors.New("the host that alone may run the idempotency key is gone")
	errOwnerUnknown = errors.New("the host that alone may run the idempotency key is not known yet")
)

// Owners resolves the owners of keys to addresses.
type Owners interface {
	// ForwardAddr returns the address at which a process accepts requests. It returns
	// false for a process that is taken to be gone.
	ForwardAddr(o claim.Owner) (addr string, ok bool)
	// MayBeNew reports whether a process without an address may be one that this host has
	// not heard of yet.
	MayBeNew(o claim.Owner) bool
}

// passToOwner sends a request to the owner of its key and writes the owner's response.
func (h *Handler) passToOwner(ctx context.Context, w http.ResponseWriter, r *http.Request, info *request.Info, owner claim.Owner) verdict.Verdict {
	addr, ok := h.opts.Owners.ForwardAddr(owner)
	if !ok || r.Header.Get(headerPassedBy) != "" {
		return h.respondForGoneOwner(ctx, w, r, info, owner)
	}
	evPassedOn.Log(h.log).Str("request", info.ID).Str("key", info.Key).Str("owner", owner.Host).Send()
	h.metrics.passedOn.Add(1)
	out := outboundRequest(r, info, info.Deadline)
	out.Header[request.HeaderService] = []string{info.Service.Name}
	out.Header[headerPassedBy] = []string{h.opts.Host}
	call := &target.Call{Addr: addr, Request: out, RecentConnection: true, Deadline: info.Deadline}
	if body, ok := r.Body.(*caller.Body); ok {
		setBody(call, body)
	}
	resp, err := h.pool.Exchange(ctx, call)
	if err != nil && verdict.Of(err) == verdict.NotRun && ctx.Err() == nil {
		return h.respondForGoneOwner(ctx, w, r, info, owner)
	}
	v := verdict.MayHaveRun
	if err == nil {
		v = verdict.Parse(resp.Header.Get(verdict.Header))
	}
	if v == verdict.NotRun {
		err = bufferRefusal(resp)
	}
	if err != nil {
		return fail(w, verdict.Wrap(verdict.MayHaveRun, "pass on to "+owner.Host, err))
	}
	(&response{resp: resp}).writeWithVerdict(w, v)
	return v
}

// respondForGoneOwner writes the response that the owner stored in the table
// service. Without one it reports that the request may have run; when the owner may be a
// new process, it asks the caller to send the request again.
func (h *Handler) respondForGoneOwner(ctx context.Context, w http.ResponseWriter, r *http.Request, info *request.Info, owner claim.Owner) verdict.Verdict {
	h.metrics.ownerGone.Add(1)
	evOwnerGone.Log(h.log).Str("request", info.ID).Str("key", info.Key).Str("owner", owner.Host).Send()
	first, stored, err := h.opts.Claims.LoadResponse(ctx, info.Key)
	if err == nil {
		if !rewindBody(r) {
			return fail(w, verdict.Wrap(verdict.MayHaveRun, "read request body", errOwnerGone))
		}
		content, err := newRequestHash(r).finish(bodyOf(r))
		if err != nil {
			return fail(w, verdict.Wrap(verdict.MayHaveRun, "read request body", err))
		}
		return h.replay(w, info, first, stored, content)
	}
	if h.opts.Owners.MayBeNew(owner) {
		w.Header().Set("Retry-After", defaultRetryAfter)
		writeFailure(w, http.StatusServiceUnavailable, verdict.MayHaveRun, errOwnerUnknown)
		return verdict.MayHaveRun
	}
	writeFailure(w, http.StatusConflict, verdict.MayHaveRun, errOwnerGone)
	return verdict.MayHaveRun
}

func bodyOf(r *http.Request) io.Reader {
	if r.Body == nil {
		return http.NoBody
	}
	return r.Body
}
