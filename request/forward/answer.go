package forward

import (
	"context"
	"io"
	"net/http"
	"time"

	"quetzalknot/process/health"
	"quetzalknot/request"
	"quetzalknot/request/route"
	"quetzalknot/verdict"
)

// answer is a target's answer whose body is still to be read. It holds the slot.
type answer struct {
	resp    *http.Response
	outcome health.Outcome
	done    func(health.Outcome)
}

// exchange sends one request to the chosen target. It gives the slot back on
// failure; otherwise the answer holds it.
func (h *Handler) exchange(ctx context.Context, r *http.Request, info *request.Info, choice route.Choice) (*answer, error) {
	start := time.Now()
	resp, err := h.pool.Exchange(ctx, choice.Target.Addr, outbound(ctx, r, info))
	outcome := health.Outcome{Verdict: verdict.Of(err), Failed: err != nil, RunTime: time.Since(start)}
	if err != nil {
		outcome.Cancelled = r.Context().Err() != nil
		choice.Done(outcome)
		return nil, err
	}
	outcome.Shed = info.Service.Shed.Matches(resp.StatusCode, resp.Header)
	return &answer{resp: resp, outcome: outcome, done: choice.Done}, nil
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

// copyTo passes the answer to the caller and gives the slot back. A broken body
// aborts the caller's connection.
func (a *answer) copyTo(w http.ResponseWriter) verdict.Verdict {
	defer func() { a.done(a.outcome) }()
	defer func() { _ = a.resp.Body.Close() }()
	removeHopHeaders(a.resp.Header)
	header := w.Header()
	for name, values := range a.resp.Header {
		header[name] = values
	}
	header.Set(verdict.Header, verdict.Ran.String())
	w.WriteHeader(a.resp.StatusCode)
	if _, err := io.Copy(w, a.resp.Body); err != nil {
		a.outcome.Cancelled = true
		panic(http.ErrAbortHandler)
	}
	return verdict.Ran
}

// drop ends an answer that nobody wants.
func (a *answer) drop() {
	_ = a.resp.Body.Close()
	a.done(a.outcome)
}
