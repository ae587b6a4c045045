package admit

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"sort"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"quetzalknot/process/health"
	"quetzalknot/process/metrics"
	"quetzalknot/process/slots"
	"quetzalknot/request"
	"quetzalknot/request/latency"
	"quetzalknot/request/route"
	"quetzalknot/verdict"
	"quetzalknot/version/config"
	"quetzalknot/version/state"
)

// fixture is an Admitter with one service.
type fixture struct {
	*Admitter
	snap     *state.Snapshot
	service  *config.Service
	chooser  *countingChooser
	recordMu sync.Mutex
	ctx      context.Context
}

// countingChooser reserves the first free slot, starting at a random target, and counts
// the calls of Choose.
type countingChooser struct {
	slots.Limiter
	mu    sync.Mutex
	calls int
}

func (c *countingChooser) Choose(info *request.Info, _ *state.Snapshot, _ []string) (route.Choice, error) {
	c.mu.Lock()
	c.calls++
	c.mu.Unlock()
	targets := info.Service.Targets
	start := rand.IntN(len(targets))
	for i := range targets {
		t := &targets[(start+i)%len(targets)]
		req := slots.Request{Target: slots.Target{Service: info.Service.Name, Name: t.Name}, Slots: t.Slots, LongSlots: t.Slots}
		if info.Class.Long {
			req.Lane, req.LongSlots = slots.Long, info.Class.MaxLongSlots(t.Slots)
		}
		if release, ok := c.Acquire(req); ok {
			return route.Choice{Target: t, Release: release, Done: func(health.Outcome) { release() }}, nil
		}
	}
	return route.Choice{}, verdict.Wrap(verdict.NotRun, "route", route.ErrNoFreeSlot)
}

func newFixture(targets, slotsEach int) *fixture {
	svc := &config.Service{Name: "bokun"}
	for i := range targets {
		svc.Targets = append(svc.Targets, config.Target{Name: fmt.Sprintf("bokun-%02d", i), Slots: slotsEach})
	}
	m := metrics.NewSet()
	log := zerolog.New(io.Discard)
	chooser := &countingChooser{Limiter: slots.NewLocalLimiter()}
	return &fixture{
		Admitter: New(chooser, latency.NewTracker(), m, log), service: svc, chooser: chooser,
		snap: &state.Snapshot{Services: map[string]*config.Service{svc.Name: svc}},
	}
}

var (
	shortClass = config.Class{Name: "short"}
	longClass  = config.Class{Name: "archive", Long: true}
)

func (f *fixture) info(id string, c config.Class, timeout time.Duration) *request.Info {
	return &request.Info{ID: id, Service: f.service, Class: c, Deadline: time.Now().Add(timeout)}
}

func (f *fixture) acquire(t *testing.T, id string, c config.Class) route.Choice {
	t.Helper()
	choice, err := f.Acquire(t.Context(), f.info(id, c, time.Minute), f.snap, nil)
	if err != nil {
		t.Fatal(err)
	}
	return choice
}

// run starts a request that keeps its slot for hold, and passes the outcome of Acquire
// to record.
func (f *fixture) run(ctx context.Context, id string, c config.Class, hold time.Duration, record func(id string, err error)) {
	go func() {
		choice, err := f.Acquire(ctx, f.info(id, c, time.Minute), f.snap, nil)
		f.recordMu.Lock()
		record(id, err)
		f.recordMu.Unlock()
		if err == nil {
			time.Sleep(hold)
			choice.Release()
		}
	}()
	synctest.Wait()
}

func reasonOf(t *testing.T, err error) Reason {
	t.Helper()
	var refused *RefusedError
	if !errors.As(err, &refused) || verdict.Of(err) != verdict.NotRun {
		t.Fatalf("error = %v, verdict %s; want a RefusedError with not-run", err, verdict.Of(err))
	}
	return refused.Reason
}

func TestShortOvertakesWaitingLong(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(1, 2)
		first, second := f.acquire(t, "a", shortClass), f.acquire(t, "b", shortClass)
		var order []string
		record := func(id string, _ error) { order = append(order, id) }
		for _, id := range []string{"long-1", "long-2"} {
			f.run(t.Context(), id, longClass, time.Second, record)
		}
		f.run(t.Context(), "short-1", shortClass, time.Second, record)
		f.run(t.Context(), "short-2", shortClass, time.Second, record)
		first.Release()
		second.Release()
		synctest.Wait()
		if f.waiting() != 2 {
			t.Fatalf("%d requests wait after two releases", f.waiting())
		}
		time.Sleep(5 * time.Second)
		synctest.Wait()
		sort.Strings(order[:2]) // both start at the same time
		if fmt.Sprint(order) != "[short-1 short-2 long-1 long-2]" {
			t.Fatalf("order = %v", order)
		}
	})
}

// TestLongWaiterDoesNotBlockFreeSlots guards against head-of-line blocking: long
// requests hold their share of the slots and more of them wait, and short requests must
// still start at once.
func TestLongWaiterDoesNotBlockFreeSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(1, 6)
		for i := range 5 {
			f.run(t.Context(), fmt.Sprint("long-", i), longClass, time.Second, func(string, error) {})
		}
		start := time.Now()
		for i := range 3 {
			f.acquire(t, fmt.Sprint("short-", i), shortClass)
		}
		if waited := time.Since(start); waited != 0 {
			t.Fatalf("short requests waited %s", waited)
		}
		time.Sleep(10 * time.Second)
	})
}

// TestLongRequestsAreNotStarved keeps short requests waiting all the time. A long one must
// get a slot after shortGrantsPerLong short ones, and not before. Rechecks and releases
// happen at the same time, so that slots become free between the offers to the two kinds
// of requests.
func TestLongRequestsAreNotStarved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(1, 1)
		ctx, cancel := context.WithCancel(t.Context())
		before, started := 0, false
		f.run(ctx, "first", shortClass, time.Second, func(string, error) {})
		f.run(ctx, "long", longClass, time.Second, func(_ string, err error) { started = err == nil })
		for i := range 60 {
			f.run(ctx, fmt.Sprint("short-", i), shortClass, time.Second, func(string, error) {
				if !started {
					before++
				}

			})
		}
		time.Sleep(30 * time.Second)
		cancel()
		time.Sleep(time.Minute)
		synctest.Wait()
		if !started || before != shortGrantsPerLong {
			t.Fatalf("long started %t after %d short requests, want after %d", started, before, shortGrantsPerLong)
		}
	})
}

func TestDeadlineIsCheckedBeforeAndInTheQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(1, 1)
		class := config.Class{Name: "short", ExpectedMS: 400}
		_, err := f.Acquire(t.Context(), f.info("hopeless", class, 300*time.Millisecond), f.snap, nil)
		if reason := reasonOf(t, err); reason != ReasonDeadline || f.chooser.calls != 0 {
			t.Fatalf("reason = %q after %d calls of Choose", reason, f.chooser.calls)
		}
		f.acquire(t, "holder", shortClass)
		start := time.Now()
		_, err = f.Acquire(t.Context(), f.info("queued", class, time.Second), f.snap, nil)
		if reason := reasonOf(t, err); reason != ReasonDeadline || time.Since(start) != 600*time.Millisecond {
			t.Fatalf("reason = %q after %s, want 600ms", reason, time.Since(start))
		}
	})
}

func TestCancelledCallerLeavesTheQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(1, 1)
		holder := f.acquire(t, "holder", shortClass)
		ctx, cancel := context.WithCancel(t.Context())
		var got error
		f.run(ctx, "gone", shortClass, 0, func(_ string, err error) { got = err })
		cancel()
		synctest.Wait()
		if reasonOf(t, got) != ReasonCancelled || f.waiting() != 0 {
			t.Fatalf("error = %v, %d waiting", got, f.waiting())
		}
		holder.Release()
		f.acquire(t, "next", shortClass)
	})
}

func TestOverflowEvictsLongFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(1, 1)
		holder := f.acquire(t, "holder", shortClass)
		ctx, cancel := context.WithCancel(t.Context())
		refused := make(map[string]Reason)
		record := func(id string, err error) {
			if err != nil {
				refused[id] = reasonOf(t, err)
			}
		}
		big := func(c config.Class) config.Class { c.QueueLimit = serviceQueueLimit; return c }
		for i := range serviceQueueLimit {
			f.run(ctx, fmt.Sprint("long-", i), big(longClass), 0, record)
		}
		f.run(ctx, "short-1", big(shortClass), 0, record)
		f.run(ctx, "long-more", big(longClass), 0, record)
		last := fmt.Sprint("long-", serviceQueueLimit-1)
		if len(refused) != 2 || refused[last] != ReasonEvicted || refused["long-more"] != ReasonFull {
			t.Fatalf("refused = %v", refused)
		}
		cancel()
		synctest.Wait()
		holder.Release()
	})
}

// TestFreedSlotIsOfferedOnlyToQueueHeads bounds the calls of Choose for each freed slot,
// however many requests wait.
func TestFreedSlotIsOfferedOnlyToQueueHeads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(1, 1)
		holder := f.acquire(t, "holder", shortClass)
		const waiting = 200
		for i := range waiting {
			f.run(t.Context(), fmt.Sprint("short-", i), shortClass, 0, func(string, error) {})
		}
		before := f.chooser.calls
		holder.Release()
		synctest.Wait()
		if calls := f.chooser.calls - before; calls > 3*waiting || f.waiting() != 0 {
			t.Fatalf("%d calls of Choose for %d freed slots, %d requests still wait", calls, waiting, f.waiting())
		}
	})
}

// TestLongLimitAdaptsToShortRequests checks that the limit is cut while short requests
// wait, at most once in an interval and never below its minimum, and that it grows when it
// is reached.
func TestLongLimitAdaptsToShortRequests(t *testing.T) {
	now := time.Unix(0, 0)
	l := newLongLimit(now)
	if !l.allows(initialLongLimit-1, now) || l.allows(initialLongLimit, now) {
		t.Fatalf("a new limit does not allow exactly %d", initialLongLimit)
	}
	for range 20 {
		l.recordShortWait(5, now)
	}
	if l.limit != 4 {
		t.Fatalf("limit after one interval = %v, want 4", l.limit)
	}
	for range 20 {
		now = now.Add(longCutInterval)
		l.recordShortWait(5, now)
	}
	if l.limit != minLongLimit || !l.allows(0, now) {
		t.Fatalf("limit = %v, want the minimum", l.limit)
	}
	for range 3 {
		now = now.Add(longGrowInterval)
		if !l.allows(int(l.limit), now) {
			t.Fatalf("limit %v: one more is not allowed when an increase is due", l.limit)
		}
		l.recordStart(int(l.limit), now)
	}
	if l.limit != minLongLimit+3 {
		t.Fatalf("limit after three increases = %v", l.limit)
	}
}

// TestRequestWithoutSlotKeepsLongLimit: long requests that wait, are refused or give up while
// no target has a free slot must not raise the limit of long requests in flight.
func TestRequestWithoutSlotKeepsLongLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(initialLongLimit, 1)
		var held []route.Choice
		for i := range initialLongLimit {
			held = append(held, f.acquire(t, fmt.Sprint("held", i), longClass))
		}
		for i := range 20 {
			time.Sleep(longGrowInterval)
			ctx, cancel := context.WithTimeout(t.Context(), longGrowInterval)
			if _, err := f.Acquire(ctx, f.info(fmt.Sprint("late", i), longClass, time.Minute), f.snap, nil); err == nil {
				t.Fatal("a request got a slot though none is free")
			}
			cancel()
		}
		if limit := f.queue(f.service.Name).longLimit.limit; limit != initialLongLimit {
			t.Errorf("limit %v after requests without a slot, want %d", limit, initialLongLimit)
		}
		for _, choice := range held {
			choice.Release()
		}
	})
}

// TestLongLimitGrowsWithGrants: while slots are free and no short request waits, the limit
// must grow with the long requests that start, directly and from the queue.
func TestLongLimitGrowsWithGrants(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(4*initialLongLimit, 1)
		granted := 0
		for i := range initialLongLimit + 5 {
			f.run(t.Context(), fmt.Sprint(i), longClass, time.Minute, func(_ string, err error) {
				if err == nil {
					granted++
				}
			})
			time.Sleep(longGrowInterval)
			synctest.Wait()
		}
		if granted < initialLongLimit+4 {
			t.Errorf("%d requests got a slot", granted)
		}
		if limit := f.queue(f.service.Name).longLimit.limit; limit <= initialLongLimit {
			t.Errorf("limit %v after %d grants", limit, granted)
		}
		time.Sleep(2 * time.Minute)
	})
}

func TestRetryAfterIsRandomised(t *testing.T) {
	at := func(v int64) func(int64) int64 { return func(n int64) int64 { return min(v, n-1) } }
	if lo, hi := retryAfter(false, at(0)), retryAfter(false, at(99)); lo != retryAfterMin || hi != retryAfterShort {
		t.Errorf("short: %s to %s", lo, hi)
	}
	if lo, hi := retryAfter(true, at(0)), retryAfter(true, at(99)); lo != retryAfterMin || hi != retryAfterLong {
		t.Errorf("long: %s to %s", lo, hi)
	}
}
