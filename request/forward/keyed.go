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
	ctx, release := h.ending.Context(context.WithoutCancel(r.Context()))
	defer release()
	ctx, cancel := context.WithDeadline(ctx, info.Deadline)
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
		resp := rec.result(v, complete)
		content := reqHash.sum()
		h.opts.Claims.Registry.Finish(entry, content, resp)
		h.opts.Claims.StoreResponse(info.Key, content, resp)
	}()
	v = verdict.MayHaveRun // the verdict if a panic aborts the response
	v = h.attempt(ctx, rec, r, info, snap)
	complete = true
	return v
}

// replayEntry writes the response of the first request, kept in entry, to a duplicate.
func (h *Handler) replayEntry(w http.ResponseWriter, info *request.Info, entry *claim.Entry, content claim.ContentHash) verdict.Verdict {
	return h.replay(w, info, entry.ContentHash(), h.opts.Claims.Registry.Response(entry), content)
}

// replay writes the stored response of the first request to a duplicate. It refuses a
// request whose content differs from that of the first one.
func (h *Handler) replay(w http.ResponseWriter, info *request.Info, first claim.ContentHash, stored claim.Response, content claim.ContentHash) verdict.Verdict {
	if first != content {
		h.metrics.otherContent.Add(1)
		evOtherBody.Log(h.log).Str("request", info.ID).Str("key", info.Key).Send()
		refuse(w, http.StatusUnprocessableEntity, errOtherRequest)
		return verdict.NotRun
	}
	h.metrics.duplicates.Add(1)
	evDuplicate.Log(h.log).Str("request", info.ID).Str("key", info.Key).Stringer("verdict", stored.Verdict).Bool("whole", stored.Whole).Send()
	if !stored.Whole {
		err := errResponseDropped
		if stored.Verdict != verdict.Ran {
			err = errFirstMayHaveRun
		}
		writeFailure(w, http.StatusConflict, stored.Verdict, err)
		return stored.Verdict
	}
	header := w.Header()
	for name, values := range stored.Header {
		if name != request.HeaderRequestID {
			header[name] = values
		}
	}
	w.WriteHeader(stored.Status)
	if _, err := w.Write(stored.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	return stored.Verdict
}

// requestHash computes the hash of a request: its method, URI and body.
type requestHash struct{ hash hash.Hash }

func newRequestHash(r *http.Request) *requestHash {
	h := &requestHash{hash: sha256.New()}
	_, _ = io.WriteString(h.hash, r.Method+" "+r.URL.RequestURI()+"\n")
	return h
}

// tee hashes the body. A streamed body is hashed while another reader reads it.
func (h *requestHash) tee(body io.Reader) {
	b, ok := body.(*caller.Body)
	if !ok {
		return
	}
	if buffered, ok := b.Buffered(); ok {
		_, _ = h.hash.Write(buffered)
		return
	}
	b.Tee(h.hash)
}

// finish reads the body and returns the hash of the request.
func (h *requestHash) finish(body io.Reader) (claim.ContentHash, error) {
	if body != nil {
		if _, err := target.Copy(h.hash, body); err != nil {
			return claim.ContentHash{}, err
		}
	}
	return h.sum(), nil
}

func (h *requestHash) sum() claim.ContentHash { return claim.ContentHash(h.hash.Sum(nil)) }
