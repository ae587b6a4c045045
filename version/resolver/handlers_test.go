package resolver

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/gorilla/mux"
	"github.com/rs/zerolog"

	"quetzalknot/process/membership"
	"quetzalknot/process/metrics"
	"quetzalknot/process/settings"
	"quetzalknot/version/config"
	"quetzalknot/version/lookup"
	"quetzalknot/version/state"
)

// noKeys is a Keys without key prefixes.
type noKeys struct{}

func (noKeys) Prefix(lookup.Host) string { return "" }
func (noKeys) Period() string            { return "1" }

func newTestResolver(t *testing.T, perCaller float64) *Resolver {
	t.Helper()
	s := &settings.Settings{Host: settings.Host{Name: "h1", Region: "a", FailureDomain: "a-1"}, Lookup: settings.Lookup{PerCaller: perCaller}}
	l := New(Options{
		Settings: s, Config: new(state.Holder), Members: membership.New(), Keys: noKeys{},
		HasAllTickets: func() bool { return false }, UpToDate: func() bool { return true }, Metrics: metrics.NewSet(), Log: zerolog.Nop(),
	})
	l.view.Store(versionView(t, 1))
	l.unreadyReason = func() string { return "" }
	return l
}

// versionView returns a view whose hosts, table and region are named after its version.
func versionView(t *testing.T, version uint64) *lookup.View {
	t.Helper()
	region := fmt.Sprintf("r%d", version)
	table, err := lookup.BuildTable([]config.Block{{Prefix: "10.0.0.0/8", Region: region}})
	if err != nil {
		t.Fatal(err)
	}
	in := lookup.Inputs{Version: version, Table: table, Services: []string{"bokun"}}
	for i := range 4 {
		in.Hosts = append(in.Hosts, lookup.Host{Name: fmt.Sprintf("%s-h%d", region, i), Region: region, FailureDomain: fmt.Sprint(region, i/2)})
	}
	return lookup.NewView(in)
}

func send(l *Resolver, method, url, body string, header ...string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, url, strings.NewReader(body))
	for i := 0; i+1 < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	w := httptest.NewRecorder()
	router := mux.NewRouter()
	l.AddRoutes(router)
	router.ServeHTTP(w, r)
	return w
}

func TestLookupAnswersAndRefusals(t *testing.T) {
	l := newTestResolver(t, 1000)
	batch := func(size int) string {
		return `{"lookups":[` + strings.TrimSuffix(strings.Repeat(`{"service":"bokun","client":"10.0.0.1"},`, size), ",") + `]}`
	}
	for _, tc := range []struct {
		method, url, body string
		status            int
		want              string
	}{
		{"GET", "/v1/lookup?service=bokun&client=10.0.0.1", "", 200, `"entries":[{"host":"r1-h`},
		{"GET", "/v1/lookup?service=bokun", "", 200, `"version":1`},
		{"GET", "/v1/lookup?service=bokun&client=2001:db8::1", "", 200, `"version":1`},
		{"GET", "/v1/lookup?client=10.0.0.1", "", 400, `service = \"\"`},
		{"GET", "/v1/lookup?service=none&client=10.0.0.1", "", 404, `no such service`},
		{"GET", "/v1/lookup?service=bokun&client=10.0.0", "", 400, `client = \"10.0.0\"`},
		{"GET", "/v1/lookup?service=bokun&client=", "", 400, `client = \"\"`},
		{"GET", "/v1/lookup?service=bokun&client=fe80::1%25eth0", "", 400, `without a zone`},
		{"GET", "/v1/lookup?service=bokun&caller=" + strings.Repeat("x", 201), "", 400, `caller = `},
		{"DELETE", "/v1/lookup?service=bokun", "", 405, ``},
		{"POST", "/v1/lookups", batch(1000), 200, `"answers":[{"service":"bokun"`},
		{"POST", "/v1/lookups", `{"lookups":[{"service":"none","client":"10.0.0.1"}]}`, 200, `"error":"service = `},
		{"POST", "/v1/lookups", batch(1001), 400, `give 1 to 1000`},
		{"POST", "/v1/lookups", batch(0), 400, `give 1 to 1000`},
		{"POST", "/v1/lookups", `{"lookups":`, 400, `look-ups`},
		{"POST", "/v1/lookups", `{"other":1}`, 400, `unknown field`},
		{"POST", "/v1/lookups", `{"lookups":["` + strings.Repeat("x", maxBatchBytes) + `"]}`, 413, `more than`},
	} {
		w := send(l, tc.method, tc.url, tc.body)
		if w.Code != tc.status || !strings.Contains(w.Body.String(), tc.want) {
			t.Errorf("%s %.60s: got %d %.200s, want %d %s", tc.method, tc.url, w.Code, w.Body, tc.status, tc.want)
		}
	}
}

func TestLookupCachingHeaders(t *testing.T) {
	l := newTestResolver(t, 1000)
	url := "/v1/lookup?service=bokun&client=10.0.0.1"
	w := send(l, "GET", url, "")
	tag := w.Header().Get("ETag")
	if cc := w.Header().Get("Cache-Control"); cc != "private, max-age=4" && cc != "private, max-age=5" || tag == "" {
		t.Fatalf("ETag %q, Cache-Control %q", tag, cc)
	}
	if w = send(l, "GET", url, "", "If-None-Match", tag); w.Code != http.StatusNotModified || w.Body.Len() > 0 {
		t.Errorf("the same version again: got %d with %d bytes", w.Code, w.Body.Len())
	}
	l.view.Store(versionView(t, 2))
	if w = send(l, "GET", url, "", "If-None-Match", tag); w.Code != http.StatusOK {
		t.Errorf("after a new version: got %d", w.Code)
	}
}

// TestOneCallerCannotStarveAnother exceeds the rate limit of one address. Another address
// must still be served.
func TestOneCallerCannotStarveAnother(t *testing.T) {
	l := newTestResolver(t, 0.001)
	url := "/v1/lookup?service=bokun&client=10.0.0.1"
	var last *httptest.ResponseRecorder
	for range maxBatch + 1 {
		last = send(l, "GET", url, "")
	}
	if last.Code != http.StatusTooManyRequests || last.Header().Get("Retry-After") == "" {
		t.Errorf("after %d look-ups: got %d", maxBatch+1, last.Code)
	}
	r := httptest.NewRequest("GET", url, nil)
	r.RemoteAddr = "198.51.100.9:1000"
	w := httptest.NewRecorder()
	router := mux.NewRouter()
	l.AddRoutes(router)
	router.ServeHTTP(w, r)
	if w.Code != http.StatusOK {
		t.Errorf("another caller got %d", w.Code)
	}
}

// TestLookupsUseOneVersion replaces the view while batches of look-ups run. The
// version and the entry hosts of all answers of a batch must be of the same view.
func TestLookupsUseOneVersion(t *testing.T) {
	l := newTestResolver(t, 1e9)
	views := make([]*lookup.View, 8)
	for i := range views {
		views[i] = versionView(t, uint64(i+1))
	}
	var stop atomic.Bool
	done := make(chan struct{})
	go func() {
		defer close(done)
		for i := 0; !stop.Load(); i++ {
			l.view.Store(views[i%len(views)])
		}
	}()
	body := `{"lookups":[` + strings.TrimSuffix(strings.Repeat(`{"service":"bokun","client":"10.0.0.1"},`, 20), ",") + `]}`
	seen := make(map[uint64]bool)
	for i := 0; i < 300 || len(seen) < 2 && i < 100_000; i++ {
		var got BatchAnswers
		if err := json.Unmarshal(send(l, "POST", "/v1/lookups", body).Body.Bytes(), &got); err != nil {
			t.Fatal(err)
		}
		seen[got.Version] = true
		for _, a := range got.Answers {
			if a.Version != got.Version || a.Entries[0].Region != fmt.Sprintf("r%d", got.Version) {
				t.Fatalf("batch of version %d has an answer of version %d with region %s", got.Version, a.Version, a.Entries[0].Region)
			}
		}
	}
	stop.Store(true)
	<-done
	if len(seen) < 2 {
		t.Errorf("only versions %v were seen: the view was not replaced", seen)
	}
}

// TestStartingHostReturnsUnavailable sends look-ups to a host that has not loaded
// its state. It must respond with 503, so that callers try another host; 404 would make
// them give up.
func TestStartingHostReturnsUnavailable(t *testing.T) {
	l := newTestResolver(t, 1000)
	l.unreadyReason = l.notLoadedReason
	l.view.Store(lookup.NewView(lookup.Inputs{}))
	for url, body := range map[string]string{"/v1/lookup?service=bokun&client=10.0.0.1": "", "/v1/lookups": `{"lookups":[{"service":"bokun","client":"10.0.0.1"}]}`} {
		method := "GET"
		if body != "" {
			method = "POST"
		}
		if w := send(l, method, url, body); w.Code != http.StatusServiceUnavailable || w.Header().Get("Retry-After") == "" {
			t.Errorf("%s %s: got %d %s", method, url, w.Code, w.Body)
		}
	}
}

// TestUnknownServiceOnStaleHostReturnsUnavailable sends look-ups of an unknown service to a
// host that is not up to date. It must respond with 503, since the service may have been
// added, and go on to answer for the services that it knows.
func TestUnknownServiceOnStaleHostReturnsUnavailable(t *testing.T) {
	l := newTestResolver(t, 1000)
	l.opts.UpToDate = func() bool { return false }
	w := send(l, "GET", "/v1/lookup?service=rota&client=10.0.0.1", "")
	if w.Code != http.StatusServiceUnavailable || w.Header().Get("Retry-After") == "" {
		t.Errorf("unknown service: got %d %s", w.Code, w.Body)
	}
	if w = send(l, "GET", "/v1/lookup?service=bokun&client=10.0.0.1", ""); w.Code != http.StatusOK {
		t.Errorf("known service: got %d %s", w.Code, w.Body)
	}
	w = send(l, "POST", "/v1/lookups", `{"lookups":[{"service":"rota","client":"10.0.0.1"}]}`)
	if strings.Contains(w.Body.String(), "no such service") {
		t.Errorf("unknown service in a batch: got %s", w.Body)
	}
}
