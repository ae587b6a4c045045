package serve_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"quetzalknot/connection/target"
	"quetzalknot/httpwire/wiretest"
	"quetzalknot/platform/adapter"
	"quetzalknot/platform/standin"
	"quetzalknot/process/crash"
	"quetzalknot/process/fleet"
	"quetzalknot/process/metrics"
	"quetzalknot/request/budget"
	"quetzalknot/request/place"
	"quetzalknot/request/serve"
	"quetzalknot/version/routes"
)

// TestOnlyTrueMisdirectionIsNotRun: a 421 shows that a request was not run only when it
// belongs to the request and does not come from the expected target itself. Otherwise the
// request may have run, and an unsafe one must not be sent again.
func TestOnlyTrueMisdirectionIsNotRun(t *testing.T) {
	const stamp, ownID, otherID = "Response-Stamp: s\r\n", "Request-Identifier: r1\r\n", "Request-Identifier: r0\r\n"
	const expected, other = "Instance-Identifier: EXPECTED\r\n", "Instance-Identifier: i-9\r\n"
	for _, tc := range []struct {
		name, header string
		status       int
		runs         int // on the two targets together, as they count
	}{
		{"another target", other + ownID, http.StatusServiceUnavailable, 2},
		{"another target, without id", other, http.StatusServiceUnavailable, 2},
		{"no target named", ownID, http.StatusServiceUnavailable, 2},
		{"of another request", other + otherID + stamp, http.StatusBadGateway, 1},
		{"response of the expected target", expected + ownID + stamp, http.StatusMisdirectedRequest, 1},
		{"expected target, without stamp", expected + ownID, http.StatusBadGateway, 1},
		{"expected target, without id", expected + stamp, http.StatusBadGateway, 1},
	} {
		received := make(chan string, 10)
		handler := newHandler(t, 2, func(r *http.Request) string {
			received <- r.Header.Get("Request-Identifier")
			return "HTTP/1.1 421 Misdirected Request\r\n" + strings.ReplaceAll(tc.header, "EXPECTED", r.Header.Get("Expected-Instance")) + "Content-Length: 0\r\n\r\n"
		})
		w := httptest.NewRecorder()
		r := httptest.NewRequest(http.MethodPost, "http://"+standin.HostName+"/book/1", nil)
		r.Header.Set("Request-Identifier", "r1")
		handler.ServeHTTP(w, r)
		if w.Code != tc.status || len(received) != tc.runs {
			t.Errorf("%s: status %d after %d sendings, want %d after %d", tc.name, w.Code, len(received), tc.status, tc.runs)
		}
	}
}

// newHandler returns a handler with targets i-0, i-1 and so on, which respond to each request
// with the bytes that respond returns.
func newHandler(t *testing.T, targets int, respond func(r *http.Request) string) *serve.Handler {
	t.Helper()
	config, err := adapter.ParseConfig([]byte(standin.DesiredState(1, 5)))
	if err != nil {
		t.Fatal(err)
	}
	targetFleet := fleet.New(zerolog.Nop(), fleet.SingleHost{})
	for i := range targets {
		targetFleet.Upsert(fleet.Entry{
			ID: fmt.Sprint("i-", i), Service: "bokun", Addr: wiretest.Serve(t, respond), FailureDomain: "no-gler", Region: "nordur", Slots: 6, Born: 1, Sequence: 1,
		}, time.Now())
	}
	pool := target.NewPool(nil)
	t.Cleanup(pool.Close)
	return serve.New(serve.Options{
		Config: func() *routes.Config { return config }, Fleet: targetFleet, Pool: pool, Crashes: crash.New(),
		Chooser: place.New(targetFleet, place.Options{Region: "nordur", FailureDomain: "no-gler"}),
		Budget:  budget.NewSlidingWindows(10*time.Second, 0, 100), Headers: adapter.HeaderCodec{},
		UpToDate: func() bool { return true }, Metrics: metrics.NewSet(), Log: zerolog.Nop(),
	})
}
