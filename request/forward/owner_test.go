package forward

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"quetzalknot/platform/memory"
	"quetzalknot/process/metrics"
	"quetzalknot/request"
	"quetzalknot/request/claim"
	"quetzalknot/verdict"
)

// unlistedOwners has no address of any process.
type unlistedOwners struct{ mayBeNew bool }

func (unlistedOwners) ForwardAddr(claim.Owner) (string, bool) { return "", false }

func (o unlistedOwners) MayBeNew(claim.Owner) bool { return o.mayBeNew }

// TestKeyOfUnlistedOwner sends a request whose key names a process that this host does not
// list. It must never run here. When the process may be one that has just started, the
// caller must be asked to send again, since it is not gone.
func TestKeyOfUnlistedOwner(t *testing.T) {
	for _, mayBeNew := range []bool{true, false} {
		ran := 0
		f := newFixture(t, func(http.ResponseWriter, *http.Request) { ran++ })
		self := claim.Owner{Host: "h1", Incarnation: 5}
		f.opts.Owners = unlistedOwners{mayBeNew: mayBeNew}
		f.opts.Claims = claim.New(claim.Options{
			Self: func() claim.Owner { return self }, Table: &memory.Table{}, KeyLifetime: time.Hour,
			MaxKeys: 10, MaxResponseBytes: 1000, Hosts: func() int { return 1 },
		}, metrics.NewSet(), zerolog.Nop())
		r := httptest.NewRequest(http.MethodPost, "/roster", nil)
		r.Header.Set(request.HeaderService, f.svc.Name)
		r.Header.Set(request.HeaderIdempotencyKey, claim.Prefix(claim.Owner{Host: "h2", Incarnation: 7}, time.Now())+"a")
		w := httptest.NewRecorder()
		f.ServeHTTP(w, r)
		want := http.StatusConflict
		if mayBeNew {
			want = http.StatusServiceUnavailable
		}
		if w.Code != want || (w.Header().Get("Retry-After") != "") != mayBeNew {
			t.Errorf("may be new = %v: status %d, Retry-After %q, want status %d", mayBeNew, w.Code, w.Header().Get("Retry-After"), want)
		}
		if v := w.Header().Get(verdict.Header); v != verdict.MayHaveRun.String() || ran > 0 {
			t.Errorf("may be new = %v: verdict %q, %d runs", mayBeNew, v, ran)
		}
	}
}
