package forward

import (
	"context"
	"encoding/binary"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"quetzalknot/connection/caller"
	"quetzalknot/connection/target"
	"quetzalknot/process/eventlog"
	"quetzalknot/process/quarantine"
	"quetzalknot/request"
	"quetzalknot/request/repeat"
	"quetzalknot/verdict"
	"quetzalknot/version/config"
)

var (
	evCrash       = eventlog.Define(4401, zerolog.WarnLevel, "target crashed with the request in flight")
	evQuarantined = eventlog.Define(4402, zerolog.ErrorLevel, "request quarantined")
)

// probeTimeout bounds the check whether a target still accepts connections.
const probeTimeout = time.Second

var errQuarantined = errors.New("request is quarantined: the targets that ran it crashed")

// isPerAttempt reports whether a header of this system differs each time the same request is sent.
func isPerAttempt(name string) bool {
	return name == request.HeaderRequestID || name == request.HeaderTimeout || name == headerPassedBy
}

// fingerprint identifies a request so that it is recognised when it is sent again.
// Without an idempotency key the fingerprint includes the headers, since many callers
// may request the same path.
func fingerprint(r *http.Request, info *request.Info, body *caller.Body) uint64 {
	h := xxhash.New()
	for _, part := range []string{info.Service.Name, r.Method, r.URL.RequestURI(), info.Key} {
		_, _ = h.WriteString(part)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(binary.AppendVarint(nil, r.ContentLength))
	if body != nil {
		buffered, _ := body.Buffered()
		_, _ = h.Write(buffered)
	}
	if info.Key != "" {
		return h.Sum64()
	}
	return h.Sum64() ^ repeat.HeaderHash(r.Header, isPerAttempt)
}

func (h *Handler) isQuarantined(info *request.Info) bool {
	return h.opts.Quarantine.State(info.Fingerprint) == quarantine.Quarantined
}

// detectCrash checks whether a target crashed with the request in flight. It records
// the crash and pushes it to other hosts before the failure is reported to the caller.
func (h *Handler) detectCrash(ctx context.Context, info *request.Info, t *config.Target, initial quarantine.State, err error) {
	if verdict.Of(err) != verdict.MayHaveRun || !target.ClosedByTarget(err) {
		return
	}
	probe, cancel := context.WithTimeout(context.WithoutCancel(ctx), probeTimeout)
	defer cancel()
	if !errors.Is(h.pool.Probe(probe, t.Addr), syscall.ECONNREFUSED) {
		return
	}
	state := h.opts.Quarantine.RecordCrash(info.Fingerprint, initial)
	evCrash.Log(h.log).Str("request", info.ID).Str("service", info.Service.Name).Str("target", t.Name).
		Uint64("fingerprint", info.Fingerprint).Send()
	if state == quarantine.Quarantined {
		evQuarantined.Log(h.log).Str("request", info.ID).Str("service", info.Service.Name).Uint64("fingerprint", info.Fingerprint).Send()
		h.metrics.quarantined.Add(1)
	}
	if h.opts.PushMarks != nil {
		h.opts.PushMarks(ctx)
	}
}

// suspectGate lets one suspect request of each service run at a time, so that the next
// crash identifies the request that caused it.
type suspectGate struct {
	mu    sync.Mutex
	gates map[string]chan struct{}
}

// acquire waits until no other suspect of the service runs. It fails only when ctx
// ends.
func (g *suspectGate) acquire(ctx context.Context, service string) (release func(), err error) {
	g.mu.Lock()
	if g.gates == nil {
		g.gates = make(map[string]chan struct{})
	}
	gate := g.gates[service]
	if gate == nil {
		gate = make(chan struct{}, 1)
		g.gates[service] = gate
	}
	g.mu.Unlock()
	select {
	case gate <- struct{}{}:
		return func() { <-gate }, nil
	case <-ctx.Done():
		return nil, context.Cause(ctx)
	}
}
