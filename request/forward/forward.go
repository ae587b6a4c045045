// Package forward carries a caller's request to a target and its answer back.
package forward

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"quetzalknot/connection/target"
	"quetzalknot/process/eventlog"
	"quetzalknot/process/slots"
	"quetzalknot/request"
	"quetzalknot/request/route"
	"quetzalknot/verdict"
	"quetzalknot/version/config"
	"quetzalknot/version/state"
)

var (
	evRouted = eventlog.Define(4001, zerolog.InfoLevel, "target chosen")
	evDone   = eventlog.Define(4002, zerolog.InfoLevel, "request finished")
	evNoRoom = eventlog.Define(4003, zerolog.WarnLevel, "no target has room")
)

// retryAfterSeconds is the Retry-After of a request that found no room.
const retryAfterSeconds = "1"

// errNoRoom reports that no target has room.
var errNoRoom = errors.New("no target has room")

// Handler forwards callers' requests. It is an http.Handler.
type Handler struct {
	config *state.Holder
	room   slots.Room
	pool   *target.Pool
	log    zerolog.Logger

	mu       sync.Mutex
	policies map[string]namedPolicy
}

type namedPolicy struct {
	name   string
	policy route.Policy
}

// New returns a handler that routes by the configuration in force.
func New(holder *state.Holder, room slots.Room, pool *target.Pool, log zerolog.Logger) *Handler {
	return &Handler{config: holder, room: room, pool: pool, log: log, policies: make(map[string]namedPolicy)}
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

func (h *Handler) forward(ctx context.Context, w http.ResponseWriter, r *http.Request, info *request.Info, snap *state.Snapshot) verdict.Verdict {
	chosen, release, err := h.choose(info, snap)
	if err != nil {
		evNoRoom.Log(h.log).Str("request", info.ID).Str("service", info.Service.Name).Send()
		w.Header().Set("Retry-After", retryAfterSeconds)
		refuse(w, http.StatusServiceUnavailable, err)
		return verdict.NotRun
	}
	defer release()
	evRouted.Log(h.log).Str("request", info.ID).Str("service", info.Service.Name).
		Str("class", info.Class.Name).Str("target", chosen.Name).Uint64("version", snap.Version).Send()
	resp, err := h.pool.Exchange(ctx, chosen.Addr, outbound(ctx, r, info))
	if err != nil {
		v := verdict.Of(err)
		w.Header().Set(verdict.Header, v.String())
		http.Error(w, err.Error(), http.StatusBadGateway)
		return v
	}
	return copyAnswer(w, resp)
}

// choose takes a slot at the target that the service's policy picks.
func (h *Handler) choose(info *request.Info, snap *state.Snapshot) (*config.Target, func(), error) {
	candidates := h.candidates(info, snap)
	at := h.policy(info.Service).Pick(candidates, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	if at == route.None {
		return nil, nil, verdict.Wrap(verdict.NotRun, "route", errNoRoom)
	}
	chosen := candidates[at].Target
	release, ok := h.room.Acquire(slots.Target{Service: info.Service.Name, Name: chosen.Name}, chosen.Slots)
	if !ok {
		return nil, nil, verdict.Wrap(verdict.NotRun, "route", errNoRoom)
	}
	return chosen, release, nil
}

func (h *Handler) candidates(info *request.Info, snap *state.Snapshot) []route.Candidate {
	svc := info.Service
	list := make([]route.Candidate, 0, len(svc.Targets))
	for i := range svc.Targets {
		t := &svc.Targets[i]
		if snap.LeavingTargets[state.TargetKey{Service: svc.Name, Target: t.Name}] {
			continue
		}
		key := slots.Target{Service: svc.Name, Name: t.Name}
		list = append(list, route.Candidate{
			Target: t, Free: h.room.Free(key, t.Slots), InFlight: h.room.InFlight(key),
			ReportedLoad: -1, Weight: 1,
		})
	}
	return list
}

func (h *Handler) policy(svc *config.Service) route.Policy {
	h.mu.Lock()
	defer h.mu.Unlock()
	if known, ok := h.policies[svc.Name]; ok && known.name == svc.Policy {
		return known.policy
	}
	policy, ok := route.New(svc.Policy)
	if !ok {
		policy = route.TwoChoices{}
	}
	h.policies[svc.Name] = namedPolicy{name: svc.Policy, policy: policy}
	return policy
}

// outbound returns the request in the form sent to the target.
func outbound(ctx context.Context, r *http.Request, info *request.Info) *http.Request {
	out := r.Clone(ctx)
	out.RequestURI = ""
	out.URL.Scheme = "http"
	out.URL.Host = info.Service.Name
	out.Host = info.Service.Name
	removeHopHeaders(out.Header)
	out.Header.Set(request.HeaderRequestID, info.ID)
	out.Close = false
	return out
}

// hopHeaders are meant for one connection and are not passed on.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

func removeHopHeaders(h http.Header) {
	for _, name := range hopHeaders {
		h.Del(name)
	}
}

// copyAnswer passes an answer to the caller. A broken body aborts the caller's connection.
func copyAnswer(w http.ResponseWriter, resp *http.Response) verdict.Verdict {
	defer func() { _ = resp.Body.Close() }()
	removeHopHeaders(resp.Header)
	header := w.Header()
	for name, values := range resp.Header {
		header[name] = values
	}
	header.Set(verdict.Header, verdict.Ran.String())
	w.WriteHeader(resp.StatusCode)
	if _, err := io.Copy(w, resp.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	return verdict.Ran
}

func refuse(w http.ResponseWriter, status int, err error) {
	w.Header().Set(verdict.Header, verdict.NotRun.String())
	http.Error(w, err.Error(), status)
}
