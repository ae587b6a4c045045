package resolver

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gorilla/mux"

	"quetzalknot/version/httpapi"
	"quetzalknot/version/lookup"
)

const (
	// maxBatch is how many look-ups one call may ask for.
	maxBatch = 1000
	// maxBatchBytes bounds the body of such a call.
	maxBatchBytes = 256 << 10
	// maxNameBytes bounds the names of services and callers.
	maxNameBytes = 200
)

// Routes adds the routes of callers' look-ups.
func (l *Resolver) Routes(r *mux.Router) {
	r.HandleFunc("/v1/lookup", l.handleLookup).Methods(http.MethodGet)
	r.HandleFunc("/v1/lookups", l.handleLookups).Methods(http.MethodPost)
}

// LookupQuery is one look-up of a batch.
type LookupQuery struct {
	Service string `json:"service"`
	// Client is the caller's IP address.
	Client string `json:"client"`
	// Caller is a name that the caller gives itself. Callers that share an address
	// spread over the entry hosts by it.
	Caller string `json:"caller,omitempty"`
}

// LookupBatch is the body of POST /v1/lookups.
type LookupBatch struct {
	Lookups []LookupQuery `json:"lookups"`
}

// BatchAnswer is one answer of a batch: entries, or why there are none.
type BatchAnswer struct {
	*lookup.Answer
	Error string `json:"error,omitempty"`
}

// BatchAnswers is the answer of POST /v1/lookups. All answers are of one version.
type BatchAnswers struct {
	Version uint64        `json:"version"`
	Answers []BatchAnswer `json:"answers"`
}

// queryError is a look-up that can't be answered.
type queryError struct {
	status int
	err    error
}

func badQuery(field, value, allowed string) *queryError {
	return &queryError{status: http.StatusBadRequest, err: errors.Newf("%s = %q: %s", field, value, allowed)}
}

// handleLookup answers GET /v1/lookup.
func (l *Resolver) handleLookup(w http.ResponseWriter, r *http.Request) {
	remote := remoteAddr(r)
	if !l.allowLookups(w, remote, 1) {
		return
	}
	if !l.readyForLookups(w) {
		return
	}
	form := r.URL.Query()
	q := LookupQuery{Service: form.Get("service"), Client: form.Get("client"), Caller: form.Get("caller")}
	if !form.Has("client") {
		q.Client = remote.String()
	}
	view := l.view.Load()
	answer, bad := l.answer(view, q)
	if bad != nil {
		l.opts.Metrics.Counter("lookup.refused_calls").Add(1)
		httpapi.WriteError(w, bad.status, bad.err)
		return
	}
	tag := `"` + view.TagText() + "." + l.opts.Keys.Period() + `"`
	w.Header().Set("ETag", tag)
	w.Header().Set("Cache-Control", fmt.Sprintf("private, max-age=%d", answer.TTLMS/time.Second.Milliseconds()))
	if strings.Contains(r.Header.Get("If-None-Match"), tag) {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	httpapi.Write(w, http.StatusOK, answer)
}

// answer answers one look-up from one view.
func (l *Resolver) answer(view *lookup.View, q LookupQuery) (*lookup.Answer, *queryError) {
	switch {
	case q.Service == "" || len(q.Service) > maxNameBytes:
		return nil, badQuery("service", cut(q.Service), "a service name of 1 to 200 bytes")
	case len(q.Caller) > maxNameBytes:
		return nil, badQuery("caller", cut(q.Caller), "a name of at most 200 bytes")
	case !view.Has(q.Service):
		return nil, &queryError{status: http.StatusNotFound, err: errors.Newf("service = %q: no such service", q.Service)}
	}
	client, err := netip.ParseAddr(q.Client)
	if err != nil || client.Zone() != "" {
		return nil, badQuery("client", cut(q.Client), "an IP address without a zone")
	}
	choice := view.Decide(q.Service, client, lookup.Key(client, q.Caller))
	entries := view.Hosts(choice)
	if len(entries) == 0 {
		return nil, &queryError{status: http.StatusServiceUnavailable, err: errors.New("no entry host takes new work")}
	}
	for i := range entries {
		entries[i].KeyPrefix = l.opts.Keys.Prefix(entries[i])
	}
	l.opts.Metrics.Counter("lookup.answered_calls").Add(1)
	evLookup.Log(l.opts.Log).Str("service", q.Service).Stringer("client", client).Uint64("version", view.Version()).
		Str("entry", entries[0].Name).Str("region", entries[0].Region).Int("entries", len(entries)).Send()
	return &lookup.Answer{
		Service: q.Service, Version: view.Version(), TTLMS: choice.TTL.Milliseconds(), Entries: entries,
		KeyPrefix: entries[0].KeyPrefix,
	}, nil
}

// cut shortens a value for an error message.
func cut(s string) string {
	if len(s) > maxNameBytes {
		return s[:maxNameBytes] + "..."
	}
	return s
}

// handleLookups answers POST /v1/lookups.
func (l *Resolver) handleLookups(w http.ResponseWriter, r *http.Request) {
	var batch LookupBatch
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBatchBytes))
	dec.DisallowUnknownFields()
	var tooLarge *http.MaxBytesError
	switch err := dec.Decode(&batch); {
	case errors.As(err, &tooLarge):
		httpapi.WriteError(w, http.StatusRequestEntityTooLarge, errors.Newf("the body has more than %d bytes", maxBatchBytes))
		return
	case err != nil:
		httpapi.WriteError(w, http.StatusBadRequest, errors.Wrap(err, "look-ups"))
		return
	case len(batch.Lookups) == 0 || len(batch.Lookups) > maxBatch:
		httpapi.WriteError(w, http.StatusBadRequest, errors.Newf("lookups has %d items: give 1 to %d", len(batch.Lookups), maxBatch))
		return
	}
	if !l.allowLookups(w, remoteAddr(r), len(batch.Lookups)) {
		return
	}
	if !l.readyForLookups(w) {
		return
	}
	view := l.view.Load()
	answers := BatchAnswers{Version: view.Version(), Answers: make([]BatchAnswer, len(batch.Lookups))}
	for i, q := range batch.Lookups {
		answer, bad := l.answer(view, q)
		answers.Answers[i].Answer = answer
		if bad != nil {
			answers.Answers[i].Error = bad.err.Error()
		}
	}
	httpapi.Write(w, http.StatusOK, answers)
}

// allowLookups answers 429 and returns false when an address asks for too much.
func (l *Resolver) allowLookups(w http.ResponseWriter, addr netip.Addr, count int) bool {
	if l.limits.allow(addr, count, time.Now()) {
		return true
	}
	l.opts.Metrics.Counter("lookup.limited_calls").Add(1)
	w.Header().Set("Retry-After", "1")
	httpapi.WriteError(w, http.StatusTooManyRequests, errors.Newf("%s asks for more than %g look-ups a second", addr, l.opts.Settings.Lookup.PerCaller))
	return false
}

// readyForLookups answers 503, so that the caller asks another host, and returns
// false while this host can't answer.
func (l *Resolver) readyForLookups(w http.ResponseWriter) bool {
	reason := l.unready()
	if reason == "" {
		return true
	}
	l.opts.Metrics.Counter("lookup.unready_calls").Add(1)
	w.Header().Set("Retry-After", "1")
	httpapi.WriteError(w, http.StatusServiceUnavailable, errors.New(reason))
	return false
}

func remoteAddr(r *http.Request) netip.Addr {
	ap, err := netip.ParseAddrPort(r.RemoteAddr)
	if err != nil {
		return netip.Addr{}
	}
	return ap.Addr().Unmap().WithZone("")
}
