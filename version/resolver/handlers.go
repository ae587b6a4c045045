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
	// maxBatch is the maximum number of look-ups in one call.
	maxBatch = 1000
	// maxBatchBytes is the maximum size of the body of a batch call.
	maxBatchBytes = 256 << 10
	// maxNameBytes is the maximum length of the names of services and callers.
	maxNameBytes = 200
)

// AddRoutes adds the HTTP routes for look-ups to r.
func (l *Resolver) AddRoutes(r *mux.Router) {
	r.HandleFunc("/v1/lookup", l.handleLookup).Methods(http.MethodGet)
	r.HandleFunc("/v1/lookups", l.handleLookups).Methods(http.MethodPost)
}

// LookupQuery is one look-up of a batch.
type LookupQuery struct {
	Service string `json:"service"`
	// Client is the caller's IP address.
	Client string `json:"client"`
	// Caller is an optional name that the caller chooses. It spreads callers that share
	// an address over the entry hosts.
	Caller string `json:"caller,omitempty"`
}

// LookupBatch is the body of POST /v1/lookups.
type LookupBatch struct {
	Lookups []LookupQuery `json:"lookups"`
}

// BatchAnswer is the result of one look-up of a batch: an answer or an error.
type BatchAnswer struct {
	*lookup.Answer
	Error string `json:"error,omitempty"`
}

// BatchAnswers is the response to POST /v1/lookups. All answers have the same version.
type BatchAnswers struct {
	Version uint64        `json:"version"`
	Answers []BatchAnswer `json:"answers"`
}

// queryError is the HTTP status and the error of a look-up that cannot be answered.
type queryError struct {
	status int
	err    error
}

func badQuery(field, value, allowed string) *queryError {
	return &queryError{status: http.StatusBadRequest, err: errors.Newf("%s = %q: %s", field, value, allowed)}
}

// handleLookup serves GET /v1/lookup.
func (l *Resolver) handleLookup(w http.ResponseWriter, r *http.Request) {
	remote := remoteAddr(r)
	if !l.checkRateLimit(w, remote, 1) {
		return
	}
	if !l.checkReady(w) {
		return
	}
	form := r.URL.Query()
	q := LookupQuery{Service: form.Get("service"), Client: form.Get("client"), Caller: form.Get("caller")}
	if !form.Has("client") {
		q.Client = remote.String()
	}
	view := l.view.Load()
	answer, queryErr := l.answer(view, q)
	if queryErr != nil {
		l.refuse(w, queryErr)
		return
	}
	tag := `"` + view.TagText() + "." + l.opts.Keys.Period() + `"`
	w.Header().Set("ETag", tag)
	w.Header().Set("Cache-Control", fmt.Sprintf("private, max-age=%d", answer.TTLMS/time.Second.Milliseconds()))
	if strings.Contains(r.Header.Get("If-None-Match"), tag) {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	httpapi.WriteJSON(w, http.StatusOK, answer)
}

// refuse responds to a look-up that cannot be answered. Status 503 has a Retry-After.
func (l *Resolver) refuse(w http.ResponseWriter, q *queryError) {
	l.opts.Metrics.Counter("lookup.refused_calls").Add(1)
	if q.status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", "1")
	}
	httpapi.WriteError(w, q.status, q.err)
}

// unknownService returns the error for a service that the view lacks. The service may have
// been added while the configuration is not up to date or newer than the view; the status
// is 404 only if neither is so.
func (l *Resolver) unknownService(name string) *queryError {
	if !l.opts.UpToDate() || l.opts.Config.Load().Services[name] != nil {
		err := errors.Newf("service = %q: not known on this host, whose state is not up to date", name)
		return &queryError{status: http.StatusServiceUnavailable, err: err}
	}
	return &queryError{status: http.StatusNotFound, err: errors.Newf("service = %q: no such service", name)}
}

// answer returns the answer to one look-up from a view.
func (l *Resolver) answer(view *lookup.View, q LookupQuery) (*lookup.Answer, *queryError) {
	switch {
	case q.Service == "" || len(q.Service) > maxNameBytes:
		return nil, badQuery("service", truncate(q.Service), "a service name of 1 to 200 bytes")
	case len(q.Caller) > maxNameBytes:
		return nil, badQuery("caller", truncate(q.Caller), "a name of at most 200 bytes")
	case !view.HasService(q.Service):
		return nil, l.unknownService(q.Service)
	}
	client, err := netip.ParseAddr(q.Client)
	if err != nil || client.Zone() != "" {
		return nil, badQuery("client", truncate(q.Client), "an IP address without a zone")
	}
	choice := view.ChooseHosts(q.Service, client, lookup.CallerKey(client, q.Caller))
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

// truncate shortens a value for an error message.
func truncate(s string) string {
	if len(s) > maxNameBytes {
		return s[:maxNameBytes] + "..."
	}
	return s
}

// handleLookups serves POST /v1/lookups.
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
	if !l.checkRateLimit(w, remoteAddr(r), len(batch.Lookups)) {
		return
	}
	if !l.checkReady(w) {
		return
	}
	view := l.view.Load()
	answers := BatchAnswers{Version: view.Version(), Answers: make([]BatchAnswer, len(batch.Lookups))}
	for i, q := range batch.Lookups {
		answer, queryErr := l.answer(view, q)
		answers.Answers[i].Answer = answer
		if queryErr != nil {
			answers.Answers[i].Error = queryErr.err.Error()
		}
	}
	httpapi.WriteJSON(w, http.StatusOK, answers)
}

// checkRateLimit reports whether the rate limit of an address allows count look-ups. If
// not, it responds with status 429.
func (l *Resolver) checkRateLimit(w http.ResponseWriter, addr netip.Addr, count int) bool {
	if l.limits.allow(addr, count, time.Now()) {
		return true
	}
	l.opts.Metrics.Counter("lookup.limited_calls").Add(1)
	w.Header().Set("Retry-After", "1")
	httpapi.WriteError(w, http.StatusTooManyRequests, errors.Newf("%s asks for more than %g look-ups a second", addr, l.opts.Settings.Lookup.PerCaller))
	return false
}

// checkReady reports whether this host can answer look-ups. If not, it responds with
// status 503, so that the caller tries another host.
func (l *Resolver) checkReady(w http.ResponseWriter) bool {
	reason := l.unreadyReason()
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
