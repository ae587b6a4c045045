package forward

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"quetzalknot/httpwire/wiretest"
	"quetzalknot/platform/memory"
	"quetzalknot/process/metrics"
	"quetzalknot/request"
	"quetzalknot/request/claim"
	"quetzalknot/verdict"
	"quetzalknot/version/config"
)

// raw returns a handler that counts its requests, sends the same bytes to each and leaves the connection open until the
// other end closes it.
func raw(t *testing.T, response string, requests *atomic.Int32) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		requests.Add(1)
		_, _ = io.Copy(io.Discard, r.Body)
		c, in, err := http.NewResponseController(w).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		defer func() { _ = c.Close() }()
		_, _ = io.WriteString(c, response)
		_, _ = io.Copy(io.Discard, in)
	}
}

// refusal503 returns a response with a field which says that the request was not run.
func refusal503(field string) string {
	return "HTTP/1.1 503 Service Unavailable\r\n" + field + "\r\nContent-Length: 4\r\n\r\nfull"
}

const served = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfine"

// post sends a request that may run once only. It returns whether the response was whole.
func (f *fixture) post(key string) (w *httptest.ResponseRecorder, whole bool) {
	w = httptest.NewRecorder()
	r := httptest.NewRequest(http.MethodPost, "/roster", nil)
	r.Header.Set(request.HeaderService, f.svc.Name)
	if key != "" {
		r.Header.Set(request.HeaderIdempotencyKey, key)
	}
	defer func() { whole = recover() == nil }()
	f.ServeHTTP(w, r)
	return w, true
}

// TestBrokenResponsesReachNoCaller: a broken response of a target must not reach the caller as a whole one, and is no proof
// that the request was not run, also if it has the form that declares that.
func TestBrokenResponsesReachNoCaller(t *testing.T) {
	for kind, responses := range map[string]map[string]string{
		"response": wiretest.Broken(served),
		"refusal":  wiretest.Broken(refusal503("Shed: 1")),
	} {
		for name, response := range responses {
			t.Run(kind+"/"+name, func(t *testing.T) {
				t.Parallel()
				var requests atomic.Int32
				f := newFixture(t, raw(t, response, &requests))
				f.svc.Shed = config.ShedResponse{Status: http.StatusServiceUnavailable, Header: "Shed"}
				w, whole := f.post("")
				if streamed := !whole && w.Code == http.StatusOK; w.Code != http.StatusBadGateway && !streamed {
					t.Errorf("status %d, whole: %v, header %q, body %q", w.Code, whole, w.Header(), w.Body)
				}
				if v := w.Header().Get(verdict.Header); v == "not-run" || requests.Load() != 1 {
					t.Errorf("verdict %q after %d runs", v, requests.Load())
				}
			})
		}
	}
}

// TestBrokenHedgeIsNotUsed: of two attempts of a request, the one with a broken response does not win.
func TestBrokenHedgeIsNotUsed(t *testing.T) {
	for name, response := range wiretest.Broken(served) {
		if strings.Contains(name, "trailer") || strings.Contains(name, "chunk extension") {
			continue // they break off after the response was chosen
		}
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var broken atomic.Int32
			slow := func(w http.ResponseWriter, _ *http.Request) {
				time.Sleep(50 * time.Millisecond)
				_, _ = io.WriteString(w, "whole")
			}
			f := newFixture(t, slow, raw(t, response, &broken))
			f.svc.HedgeShare = 1
			f.observeRunTimes()
			for tries := 0; broken.Load() == 0; tries++ {
				if tries == 100 {
					t.Fatal("no request reached the broken target")
				}
				if w := f.get(); w.Body.String() != "whole" || w.Code != http.StatusOK {
					t.Errorf("status %d, body %q", w.Code, w.Body)
				}
			}
		})
	}
}

// listedOwner is the address of the only other process.
type listedOwner string

func (o listedOwner) ForwardAddr(claim.Owner) (string, bool) { return string(o), true }

func (listedOwner) MayBeNew(claim.Owner) bool { return false }

// TestBrokenResponseOfOwnerProvesNothing: a host passes a request to the one that owns its key, whose refusal is broken.
func TestBrokenResponseOfOwnerProvesNothing(t *testing.T) {
	valid := refusal503(verdict.Header + ": not-run")
	responses := wiretest.Broken(valid)
	responses["valid"] = valid
	for name, response := range responses {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var requests atomic.Int32
			owner := httptest.NewServer(raw(t, response, &requests))
			t.Cleanup(owner.Close)
			f := newFixture(t)
			f.opts.Owners = listedOwner(owner.Listener.Addr().String())
			f.opts.Claims = claim.New(claim.Options{
				Self: func() claim.Owner { return claim.Owner{Host: "h1", Incarnation: 5} }, Table: &memory.Table{}, KeyLifetime: time.Hour,
				MaxKeys: 10, MaxResponseBytes: 1000, Hosts: func() int { return 1 },
			}, metrics.NewSet(), zerolog.Nop())
			w, whole := f.post(claim.Prefix(claim.Owner{Host: "h2", Incarnation: 7}, time.Now()) + "a")
			want := "may-have-run"
			if name == "valid" {
				want = "not-run"
			}
			if v := w.Header().Get(verdict.Header); v != want || !whole || requests.Load() != 1 {
				t.Errorf("status %d, verdict %q, whole: %v, %d requests", w.Code, v, whole, requests.Load())
			}
		})
	}
}
