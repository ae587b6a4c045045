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
	"quetzalknot/verdict"
	"quetzalknot/version/config"
)

var (
	evCrash       = eventlog.Define(4401, zerolog.WarnLevel, "target crashed with the request in flight")
	evQuarantined = eventlog.Define(4402, zerolog.ErrorLevel, "request quarantined")
)

// probeTime bounds the check whether a target still takes connections.
const probeTime = time.Second

var errQuarantined = errors.New("request is quarantined: the targets that ran it crashed")

// varying are headers that may differ each time a request is sent.
var varying = map[string]bool{
	request.HeaderRequestID: true, request.HeaderTimeout: true, headerPassedBy: true,
	"Date": true, "Traceparent": true, "Tracestate": true, "X-Request-Id": true, "X-Forwarded-For": true,
}

// fingerprint identifies the request, so that one that is sent again is known. A
// request without a key is told from others by its headers too, since many callers
// may ask for the same path.
func fingerprint(r *http.Request, info *request.Info, body *caller.Body) uint64 {
	h := xxhash.New()
	for _, part := range []string{info.Service.Name, r.Method, r.URL.RequestURI(), info.Key} {
		_, _ = h.WriteString(part)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(binary.AppendVarint(nil, r.ContentLength))
	if body != nil {
		held, _ := body.Held()
		_, _ = h.Write(held)
	}
	if info.Key != "" {
		return h.Sum64()
	}
	return h.Sum64() ^ headerSum(r.Header)
}

// headerSum does not depend on the order of the headers.
func headerSum(header http.Header) uint64 {
	sum := uint64(0)
	for name, values := range header {
		if varying[name] {
			continue
		}
		h := xxhash.New()
		_, _ = h.WriteString(name)
		for _, value := range values {
			_, _ = h.WriteString("\x00" + value)
		}
		sum += h.Sum64()
	}
	return sum
}

func (h *Handler) quarantined(info *request.Info) bool {
	return h.opts.Quarantine.State(info.Fingerprint) == quarantine.Quarantined
}

// noteCrash finds out whether a target crashed with the request in flight, and
// makes the crash known before anybody is told of the failure.
func (h *Handler) noteCrash(ctx context.Context, info *request.Info, t *config.Target, began quarantine.State, err error) {
	if verdict.Of(err) != verdict.MayHaveRun || !target.EndedByTarget(err) {
		return
	}
	probe, cancel := context.WithTimeout(context.WithoutCancel(ctx), probeTime)
	defer cancel()
	if !errors.Is(h.pool.Probe(probe, t.Addr), syscall.ECONNREFUSED) {
		return
	}
	state := h.opts.Quarantine.Crashed(info.Fingerprint, began)
	evCrash.Log(h.log).Str("request", info.ID).Str("service", info.Service.Name).Str("target", t.Name).
		Uint64("fingerprint", info.Fingerprint).Send()
	if state == quarantine.Quarantined {
		evQuarantined.Log(h.log).Str("request", info.ID).Str("service", info.Service.Name).Uint64("fingerprint", info.Fingerprint).Send()
		h.counts.quarantined.Add(1)
	}
	if h.opts.Spread != nil {
		h.opts.Spread(ctx)
	}
}

// isolation lets one suspect at a time run for each service, so that the next crash
// tells which of them it was.
type isolation struct {
	mu    sync.Mutex
	turns map[string]chan struct{}
}

// enter waits for the turn of a suspect. Its errors are those of ctx.
func (i *isolation) enter(ctx context.Context, service string) (leave func(), err error) {
	i.mu.Lock()
	if i.turns == nil {
		i.turns = make(map[string]chan struct{})
	}
	turn := i.turns[service]
	if turn == nil {
		turn = make(chan struct{}, 1)
		i.turns[service] = turn
	}
	i.mu.Unlock()
	select {
	case turn <- struct{}{}:
		return func() { <-turn }, nil
	case <-ctx.Done():
		return nil, context.Cause(ctx)
	}
}
