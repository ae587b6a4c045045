package forward

import (
	"context"
	"crypto/sha256"
	"hash"
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
	"quetzalknot/version/state"
)

var (
	evDuplicate = eventlog.Define(4304, zerolog.InfoLevel, "duplicate answered with the outcome of the first request")
	evOtherBody = eventlog.Define(4305, zerolog.WarnLevel, "idempotency key reused with a different request")
)

var (
	errOtherRequest    = errors.New("the idempotency key belongs to a request with another content")
	errResponseDropped = errors.New("the request ran; its answer is not kept any more")
	errFirstMayHaveRun = errors.New("an earlier sending of the request may have run")
)

// serveKeyed runs a request with an idempotency key at most once. The run continues
// when its caller disconnects, so that a duplicate can get the response.
func (h *Handler) serveKeyed(w http.ResponseWriter, r *http.Request, info *request.Info, snap *state.Snapshot) verdict.Verdict {
	ctx, cancel := context.WithDeadline(context.WithoutCancel(r.Context()), info.Deadline)
	defer cancel()
	reqHash := newRequestHash(r)
	owner, err := h.opts.Claims.FindOwner(ctx, info.ID, info.Key)
	if err != nil {
		return h.failWithoutOwner(w, err)
	}
	if !owner.Local {
		return h.passToOwner(ctx, w, r, info, owner.Owner)
	}
	for {
		entry, first, err := h.opts.Claims.Registry.Begin(info.Key, owner.Expires)
		if err != nil {
			return fail(w, verdict.Wrap(verdict.NotRun, "claim", err))
		}
		if first {
			return h.runFirst(ctx, w, r, info, snap, entry, reqHash)
		}
		content, err := reqHash.finish(bodyOf(r))
		if err != nil {
			return fail(w, verdict.Wrap(verdict.MayHaveRun, "read request body", err))
		}
		select {
		case <-entry.Done():
		case <-ctx.Done():
			return fail(w, verdict.Wrap(verdict.MayHaveRun, "wait for the first run", context.Cause(ctx)))
		}
		if !entry.NotRun() {
			return h.replayEntry(w, info, entry, content)
		}
		if !rewindBody(r) {
			return fail(w, verdict.Wrap(verdict.NotRun, "run", errors.New("the first sending was not run; send again")))
		}
		reqHash = newRequestHash(r)
	}
}

// failWithoutOwner writes the failure of a request whose key has no known owner.
func (h *Handler) failWithoutOwner(w http.ResponseWriter, err error) verdict.Verdict {
	status := http.StatusServiceUnavailable
	if errors.Is(err, claim.ErrExpired) {
		status = http.StatusConflict
	} else {
		w.Header().Set("Retry-After", defaultRetryAfter)
	}
	v := verdict.Of(err)
	writeFailure(w, status, v, err)
	return v
}

// runFirst runs the first request of a key and stores its response.
func (h *Handler) runFirst(ctx context.Context, w http.ResponseWriter, r *http.Request, info *request.Info, snap *state.Snapshot, entry *claim.Entry, reqHash *requestHash) (v verdict.Verdict) {
	rec := &responseRecorder{ResponseWriter: w}
	complete := false
	if r.Body != nil && r.Body != http.NoBody {
		reqHash.tee(r.Body)
	}
	defer func() {
		a := rec.result(v, complete)
		content := reqHash.sum()
		h.opts.Claims.Registry.Finish(entry, content, a)
		h.opts.Claims.StoreResponse(info.Key, content, a)
	}()
	v = verdict.MayHaveRun // the verdict if a panic aborts the response
	v = h.attempt(ctx, rec, r, info, snap)
	complete = true
	return v
}

// replayEntry answers a duplicate with the stored response of the first request.
func (h *Handler) replayEntry(w http.ResponseWriter, info *request.Info, entry *claim.Entry, content claim.ContentHash) verdict.Verdict {
	return h.replay(w, info, entry.ContentHash(), h.opts.Claims.Registry.Response(entry), content)
}

// replay answers a duplicate with the stored response a of the first request. It
// refuses a request whose content differs from that of the first one.
func (h *Handler) replay(w http.ResponseWriter, info *request.Info, first claim.ContentHash, a claim.Response, content claim.ContentHash) verdict.Verdict {
	if first != content {
		h.metrics.otherContent.Add(1)
		evOtherBody.Log(h.log).Str("request", info.ID).Str("key", info.Key).Send()
		refuse(w, http.StatusUnprocessableEntity, errOtherRequest)
		return verdict.NotRun
	}
	h.metrics.duplicates.Add(1)
	evDuplicate.Log(h.log).Str("request", info.ID).Str("key", info.Key).Stringer("verdict", a.Verdict).Bool("whole", a.Whole).Send()
	if !a.Whole {
		err := errResponseDropped
		if a.Verdict != verdict.Ran {
			err = errFirstMayHaveRun
		}
		writeFailure(w, http.StatusConflict, a.Verdict, err)
		return a.Verdict
	}
	header := w.Header()
	for name, values := range a.Header {
		if name != request.HeaderRequestID {
			header[name] = values
		}
	}
	w.WriteHeader(a.Status)
	if _, err := w.Write(a.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	return a.Verdict
}

// requestHash computes the hash of a request: its method, URI and body.
type requestHash struct{ hash hash.Hash }

func newRequestHash(r *http.Request) *requestHash {
	s := &requestHash{hash: sha256.New()}
	_, _ = io.WriteString(s.hash, r.Method+" "+r.URL.RequestURI()+"\n")
	return s
}

// tee hashes the body. A streamed body is hashed while another reader reads it.
func (s *requestHash) tee(body io.Reader) {
	b, ok := body.(*caller.Body)
	if !ok {
		return
	}
	if held, ok := b.Buffered(); ok {
		_, _ = s.hash.Write(held)
		return
	}
	b.Tee(s.hash)
}

// finish reads the body and returns the hash of the request.
func (s *requestHash) finish(body io.Reader) (claim.ContentHash, error) {
	if body != nil {
		if _, err := target.Copy(s.hash, body); err != nil {
			return claim.ContentHash{}, err
		}
	}
	return s.sum(), nil
}

func (s *requestHash) sum() claim.ContentHash { return claim.ContentHash(s.hash.Sum(nil)) }
