package forward

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"quetzalknot/connection/target"
	"quetzalknot/process/metrics"
	"quetzalknot/process/quarantine"
	"quetzalknot/process/settings"
	"quetzalknot/process/slots"
	"quetzalknot/request"
	"quetzalknot/request/admit"
	"quetzalknot/request/latency"
	"quetzalknot/request/route"
	"quetzalknot/verdict"
	"quetzalknot/version/config"
	"quetzalknot/version/state"
)

// fixture is a Handler with test servers as targets.
type fixture struct {
	*Handler
	slots   *slots.LocalLimiter
	svc     *config.Service
	metrics *metrics.Set
}

func newFixture(t *testing.T, targets ...http.HandlerFunc) *fixture {
	svc := &config.Service{Name: "rota-desk", Policy: "round-robin"}
	for i, handler := range targets {
		server := httptest.NewServer(handler)
		t.Cleanup(server.Close)
		svc.Targets = append(svc.Targets, config.Target{
			Name: string(rune('a' + i)), Addr: server.Listener.Addr().String(), Slots: 1, FailureDomain: string(rune('a' + i)),
		})
	}
	m := metrics.NewSet()
	log := zerolog.New(io.Discard)
	localSlots := slots.NewLocalLimiter()
	holder := &state.Holder{}
	holder.Store(&state.Snapshot{Services: map[string]*config.Service{svc.Name: svc}})
	admitter := admit.New(route.NewRouter(localSlots, m, log), latency.NewTracker(), m, log)
	return &fixture{Handler: newTestHandler(holder, admitter, m, log), slots: localSlots, svc: svc, metrics: m}
}

func newTestHandler(holder *state.Holder, admitter *admit.Admitter, m *metrics.Set, log zerolog.Logger) *Handler {
	limits := settings.Settings{}
	_ = limits.ApplyDefaultsAndCheck() // fills in the defaults; the rest of the settings is not used
	return New(holder, admitter, target.NewPool(nil), m, log, Options{
		Limits: limits.Limits, Quarantine: quarantine.New(nil), Leaving: func() bool { return false },
	})
}

func (f *fixture) info(timeout time.Duration) *request.Info {
	return &request.Info{ID: "r", Service: f.svc, Class: config.Class{Name: "short"}, Idempotent: true, Deadline: time.Now().Add(timeout)}
}

// observeRunTimes records enough short run times for slow attempts to be hedged.
func (f *fixture) observeRunTimes() {
	for range 100 {
		f.extra.times.Observe(f.info(0), time.Millisecond, time.Now())
	}
}

func (f *fixture) get() *httptest.ResponseRecorder { return f.getWithin(0) }

// getWithin sends a request with a timeout; 0 means the default of the service.
func (f *fixture) getWithin(timeout time.Duration) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	r := httptest.NewRequest(http.MethodGet, "/roster", nil)
	r.Header.Set(request.HeaderService, f.svc.Name)
	if timeout > 0 {
		r.Header.Set(request.HeaderTimeout, strconv.FormatInt(timeout.Milliseconds(), 10))
	}
	f.ServeHTTP(w, r)
	return w
}

// TestHedgeRespondsAndSlowAttemptIsCancelled has one of two targets hang. The other target
// responds, and the hanging attempt must be cancelled and release its slot.
func TestHedgeRespondsAndSlowAttemptIsCancelled(t *testing.T) {
	began, ended := make(chan struct{}, 100), make(chan struct{}, 100)
	hang := func(_ http.ResponseWriter, r *http.Request) {
		began <- struct{}{}
		<-r.Context().Done()
		ended <- struct{}{}
	}
	f := newFixture(t, hang, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "whole") })
	f.svc.HedgeShare = 1 // hedges of slow responses of the other target also use the budget
	f.observeRunTimes()
	for tries := 0; len(began) == 0; tries++ {
		if tries == 1000 {
			t.Fatal("no request reached the hanging target")
		}
		w := f.get()
		if w.Body.String() != "whole" || w.Header().Get(verdict.Header) != "ran" {
			t.Fatalf("response = %q, verdict %s", w.Body.String(), w.Header().Get(verdict.Header))
		}
	}
	<-began
	<-ended
	for _, name := range []string{"a", "b"} {
		for f.slots.InFlight(slots.Target{Service: f.svc.Name, Name: name}) != 0 {
			time.Sleep(time.Millisecond)
		}
	}
}

// TestSlowAttemptIsNotHedgedBeyondTheBudget has the first target hang while the hedge budget
// is used up. The request must fail at its deadline and must not reach the other target.
func TestSlowAttemptIsNotHedgedBeyondTheBudget(t *testing.T) {
	var reached atomic.Int32
	hang := func(_ http.ResponseWriter, r *http.Request) {
		reached.Add(1)
		<-r.Context().Done()
	}
	f := newFixture(t, hang, hang)
	f.observeRunTimes()
	w := f.getWithin(500 * time.Millisecond)
	if v := w.Header().Get(verdict.Header); v != "may-have-run" {
		t.Errorf("verdict = %s", v)
	}
	sent, skipped := f.metrics.Counter("hedge.sent_attempts").Value(), f.metrics.Counter("hedge.skipped_attempts").Value()
	if sent != 0 || skipped != 1 {
		t.Errorf("%d hedges sent and %d skipped, want 0 and 1", sent, skipped)
	}
	if n := reached.Load(); n != 1 {
		t.Errorf("%d targets were reached, want 1", n)
	}
}

// TestNotRunIsNeverClaimedAfterAnAttemptThatMayHaveRun guards against a former fault:
// when the first attempt may have run and the second was refused, the caller was told
// not-run for the whole request.
func TestNotRunIsNeverClaimedAfterAnAttemptThatMayHaveRun(t *testing.T) {
	f := newFixture(t)
	a := &requestAttempts{Handler: f.Handler, r: httptest.NewRequest(http.MethodGet, "/roster", nil), info: f.info(time.Minute), triedTargets: []string{"a"}}
	if !a.shouldRetry(t.Context(), errors.New("connection reset")) {
		t.Fatal("an idempotent request is not retried")
	}
	w := httptest.NewRecorder()
	refused := &admit.RefusedError{Reason: admit.ReasonFull, RetryAfter: time.Second}
	v := a.fail(w, http.StatusServiceUnavailable, verdict.Wrap(verdict.NotRun, "admit", refused))
	if v != verdict.MayHaveRun || w.Header().Get(verdict.Header) != "may-have-run" || w.Header().Get("Retry-After") != "" {
		t.Fatalf("verdict = %s, headers %v", v, w.Header())
	}
}

// TestLostRegionCausesNoRetryStorm fails every connection and bounds the number of
// retries.
func TestLostRegionCausesNoRetryStorm(t *testing.T) {
	f := newFixture(t)
	for _, name := range []string{"a", "b", "c"} {
		f.svc.Targets = append(f.svc.Targets, config.Target{Name: name, Addr: "127.0.0.1:1", Slots: 6, FailureDomain: name})
	}
	const requests = 100
	var wg sync.WaitGroup
	for range requests {
		wg.Go(func() {
			if w := f.get(); w.Header().Get(verdict.Header) != "not-run" {
				t.Errorf("verdict = %s", w.Header().Get(verdict.Header))
			}
		})
	}
	wg.Wait()
	if n := f.metrics.Counter("retry.retried_attempts").Value(); n > requests/10+10 {
		t.Fatalf("%d retries of %d requests", n, requests)
	}
}

// TestAttemptIsBoundedBySlotExpiry has a target hang until after the deadline of the slot,
// while the deadline of the caller is later. The attempt must end at the deadline of the
// slot, and the target must receive that deadline as its timeout.
func TestAttemptIsBoundedBySlotExpiry(t *testing.T) {
	timeouts := make(chan string, 1)
	f := newFixture(t, func(_ http.ResponseWriter, r *http.Request) {
		timeouts <- r.Header.Get(request.HeaderTimeout)
		<-r.Context().Done()
	})
	info := f.info(time.Minute)
	choice, err := f.admit.Acquire(t.Context(), info, f.config.Load(), nil)
	if err != nil {
		t.Fatal(err)
	}
	choice.Deadline = time.Now().Add(50 * time.Millisecond)
	_, err = f.exchange(t.Context(), httptest.NewRequest(http.MethodGet, "/roster", nil), info, choice)
	if verdict.Of(err) != verdict.MayHaveRun || err == nil {
		t.Errorf("error = %v", err)
	}
	if ms, err := strconv.Atoi(<-timeouts); err != nil || ms > 50 {
		t.Errorf("the target received a timeout of %d ms, %v", ms, err)
	}
}
