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
	evDuplicate = eventlog.Define(4304, zerolog.InfoLevel, "duplicate answered with the first answer")
	evOtherBody = eventlog.Define(4305, zerolog.WarnLevel, "idempotency key used with another request")
)

var (
	errOtherRequest = errors.New("the idempotency key belongs to a request with another content")
	errAnswerGone   = errors.New("the request ran; its answer is not kept any more")
	errFirstUnknown = errors.New("an earlier sending of the request may have run")
)

// serveKeyed runs a request with an idempotency key at most once. The run goes on
// when its caller goes away, so that a resend can have its answer.
func (h *Handler) serveKeyed(w http.ResponseWriter, r *http.Request, info *request.Info, snap *state.Snapshot) verdict.Verdict {
	ctx, cancel := context.WithDeadline(context.WithoutCancel(r.Context()), info.Deadline)
	defer cancel()
	sum := newSum(r)
	place, err := h.opts.Claims.Place(ctx, info.ID, info.Key)
	if err != nil {
		return h.failKeyed(w, err)
	}
	if !place.Mine {
		return h.passOn(ctx, w, r, info, place.Owner)
	}
	for {
		entry, first, err := h.opts.Claims.Registry.Begin(info.Key, place.Expires)
		if err != nil {
			return fail(w, verdict.Wrap(verdict.NotRun, "claim", err))
		}
		if first {
			return h.runFirst(ctx, w, r, info, snap, entry, sum)
		}
		content, err := sum.rest(bodyOf(r))
		if err != nil {
			return fail(w, verdict.Wrap(verdict.MayHaveRun, "read request body", err))
		}
		select {
		case <-entry.Done():
		case <-ctx.Done():
			return fail(w, verdict.Wrap(verdict.MayHaveRun, "wait for the first run", context.Cause(ctx)))
		}
		if !entry.Retracted() {
			return h.repeat(w, info, entry, content)
		}
		if !canSendAgain(r) {
			return fail(w, verdict.Wrap(verdict.NotRun, "run", errors.New("the first sending was not run; send again")))
		}
		sum = newSum(r)
	}
}

// failKeyed answers a request whose key has no known owner.
func (h *Handler) failKeyed(w http.ResponseWriter, err error) verdict.Verdict {
	status := http.StatusServiceUnavailable
	if errors.Is(err, claim.ErrExpired) {
		status = http.StatusConflict
	} else {
		w.Header().Set("Retry-After", retryAfterSeconds)
	}
	v := verdict.Of(err)
	writeFailure(w, status, v, err)
	return v
}

// runFirst runs the request and keeps its answer.
func (h *Handler) runFirst(ctx context.Context, w http.ResponseWriter, r *http.Request, info *request.Info, snap *state.Snapshot, entry *claim.Entry, sum *bodySum) (v verdict.Verdict) {
	rec := &recorder{ResponseWriter: w}
	whole := false
	if r.Body != nil && r.Body != http.NoBody {
		sum.follow(r.Body)
	}
	defer func() {
		a := rec.answer(v, whole)
		content := sum.sum()
		h.opts.Claims.Registry.Finish(entry, content, a)
		h.opts.Claims.Keep(info.Key, content, a)
	}()
	v = verdict.MayHaveRun // in case the answer breaks off
	v = h.attempt(ctx, rec, r, info, snap)
	whole = true
	return v
}

// repeat answers a duplicate with the first answer.
func (h *Handler) repeat(w http.ResponseWriter, info *request.Info, entry *claim.Entry, content claim.Sum) verdict.Verdict {
	return h.replay(w, info, entry.Sum(), h.opts.Claims.Registry.Answer(entry), content)
}

func (h *Handler) replay(w http.ResponseWriter, info *request.Info, first claim.Sum, a claim.Answer, content claim.Sum) verdict.Verdict {
	if first != content {
		h.counts.other.Add(1)
		evOtherBody.Log(h.log).Str("request", info.ID).Str("key", info.Key).Send()
		refuse(w, http.StatusUnprocessableEntity, errOtherRequest)
		return verdict.NotRun
	}
	h.counts.duplicates.Add(1)
	evDuplicate.Log(h.log).Str("request", info.ID).Str("key", info.Key).Stringer("verdict", a.Verdict).Bool("whole", a.Whole).Send()
	if !a.Whole {
		err := errAnswerGone
		if a.Verdict != verdict.Ran {
			err = errFirstUnknown
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

// bodySum computes the content of a request while its body is read.
type bodySum struct{ hash hash.Hash }

func newSum(r *http.Request) *bodySum {
	s := &bodySum{hash: sha256.New()}
	_, _ = io.WriteString(s.hash, r.Method+" "+r.URL.RequestURI()+"\n")
	return s
}

// follow takes in the body as another reader reads it.
func (s *bodySum) follow(body io.Reader) {
	b, ok := body.(*caller.Body)
	if !ok {
		return
	}
	if held, ok := b.Held(); ok {
		_, _ = s.hash.Write(held)
		return
	}
	b.Tee(s.hash)
}

// rest reads the body and returns the content of the request.
func (s *bodySum) rest(body io.Reader) (claim.Sum, error) {
	if body != nil {
		if _, err := target.Copy(s.hash, body); err != nil {
			return claim.Sum{}, err
		}
	}
	return s.sum(), nil
}

func (s *bodySum) sum() claim.Sum { return claim.Sum(s.hash.Sum(nil)) }
