package soak

import (
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"quetzalknot/platform/standin"
)

// fakeHost serves the route of one version, like a host with that state in force.
type fakeHost struct {
	version atomic.Int64
	unsure  atomic.Bool
}

func (f *fakeHost) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	own := versionPath(int(f.version.Load()))
	switch {
	case r.URL.Path == own && f.unsure.Load():
		w.WriteHeader(http.StatusServiceUnavailable)
	case r.URL.Path != own && strings.HasPrefix(r.URL.Path, "/v"):
		w.WriteHeader(http.StatusNotFound)
	}
}

// newFakeCluster returns a cluster of one host, which the fake serves, and one target.
func newFakeCluster(t *testing.T, fake http.Handler) *cluster {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: fake}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	c := &cluster{operator: newOperator(standin.NewStore())}
	c.hosts = []*host{{name: "front-0", entry: listener.Addr().String(), generation: 1}}
	c.publishNextState()
	return c
}

// acknowledgedBefore sets how long ago the newest state was acknowledged.
func (o *operator) acknowledgedBefore(d time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.ackedAt = time.Now().Add(-d)
}

func TestVersionMonitor(t *testing.T) {
	tests := []struct {
		name string
		// steps run one after another, with a check after each.
		steps []func(c *cluster, f *fakeHost, d *disturbances)
		want  string
	}{
		{"in force", []func(*cluster, *fakeHost, *disturbances){
			func(c *cluster, f *fakeHost, _ *disturbances) { f.version.Store(1); c.acknowledgedBefore(time.Minute) },
		}, ""},
		{"older within the bound", []func(*cluster, *fakeHost, *disturbances){
			func(c *cluster, f *fakeHost, _ *disturbances) { f.version.Store(1); c.publishNextState() },
		}, ""},
		{"older after the bound", []func(*cluster, *fakeHost, *disturbances){
			func(c *cluster, f *fakeHost, _ *disturbances) {
				f.version.Store(1)
				c.publishNextState()
				c.acknowledgedBefore(changeBound + time.Millisecond)
			},
		}, "version 2 is not in force"},
		{"older during a disturbance", []func(*cluster, *fakeHost, *disturbances){
			func(c *cluster, f *fakeHost, d *disturbances) {
				f.version.Store(1)
				c.publishNextState()
				c.acknowledgedBefore(time.Minute)
				d.begin(0)
			},
		}, ""},
		{"reverted, also during a disturbance and within the bound", []func(*cluster, *fakeHost, *disturbances){
			func(c *cluster, f *fakeHost, d *disturbances) { c.publishNextState(); f.version.Store(2); d.begin(0) },
			func(_ *cluster, f *fakeHost, _ *disturbances) { f.version.Store(1) },
		}, "reverted from version 2"},
		{"older in the next process within the bound", []func(*cluster, *fakeHost, *disturbances){
			func(c *cluster, f *fakeHost, _ *disturbances) { c.publishNextState(); f.version.Store(2) },
			func(c *cluster, f *fakeHost, _ *disturbances) { f.version.Store(1); c.hosts[0].generation++ },
		}, ""},
		{"older while the store has lost the newest", []func(*cluster, *fakeHost, *disturbances){
			func(c *cluster, f *fakeHost, _ *disturbances) {
				older := c.store.Snapshot()
				c.publishNextState()
				c.acknowledgedBefore(time.Minute)
				c.restore(older)
				f.version.Store(1)
			},
		}, ""},
		{"older after the bound from writing again", []func(*cluster, *fakeHost, *disturbances){
			func(c *cluster, f *fakeHost, _ *disturbances) {
				older := c.store.Snapshot()
				c.publishNextState()
				c.restore(older)
				c.rewriteState()
				c.acknowledgedBefore(time.Minute)
				f.version.Store(1)
			},
		}, "version 2 is not in force"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			fake := new(fakeHost)
			c := newFakeCluster(t, fake)
			m := &versionMonitor{checker: newChecker(c), host: c.hosts[0]}
			defer m.disconnect()
			for _, step := range test.steps {
				step(c, fake, m.checker.states)
				m.check()
				m.check()
			}
			expectViolation(t, m.checker, test.want)
		})
	}
}

// TestLateStateNamesPauses: a state that is not in force in time is reported with what was
// measured of the soak and the host since it was acknowledged.
func TestLateStateNamesPauses(t *testing.T) {
	fake := new(fakeHost)
	fake.version.Store(1)
	c := newFakeCluster(t, fake)
	c.publishNextState()
	c.acknowledgedBefore(time.Minute)
	m := &versionMonitor{checker: newChecker(c), host: c.hosts[0]}
	defer m.disconnect()
	m.check()
	expectViolation(t, m.checker, "version 2 is not in force")
	expectViolation(t, m.checker, "the soak's clock was at most")
}

// TestVersionMonitorExpectsService checks that a host may not turn down the newest route for long.
func TestVersionMonitorExpectsService(t *testing.T) {
	fake := new(fakeHost)
	fake.version.Store(1)
	fake.unsure.Store(true)
	c := newFakeCluster(t, fake)
	c.acknowledgedBefore(time.Minute)
	m := &versionMonitor{checker: newChecker(c), host: c.hosts[0]}
	defer m.disconnect()
	for range maxUnserved - 1 {
		m.check()
	}
	expectViolation(t, m.checker, "")
	m.check()
	expectViolation(t, m.checker, "turns down the route of version 1")
}

func TestCheckDeparture(t *testing.T) {
	c := newFakeCluster(t, new(fakeHost))
	text := func(int) string { return "{}" }
	c.reportTarget("i-0", false, text)
	before := c.store.Snapshot()
	checker := newChecker(c)
	leaveLongAgo := func() {
		c.reportTarget("i-0", true, nil)
		c.reports["i-0"].leftAt = time.Now().Add(-time.Minute)
	}

	checker.checkDeparture("i-0", "0-1-1") // it has not left
	c.reportTarget("i-0", true, text)
	checker.checkDeparture("i-0", "0-1-2") // within the bound
	leaveLongAgo()
	checker.states.begin(0)
	checker.checkDeparture("i-0", "0-1-3") // the host is disturbed
	checker.states.end(0, 0)
	c.restore(before)
	checker.checkDeparture("i-0", "0-1-4") // the store has lost that it left
	c.rewriteReport("i-0")
	checker.checkDeparture("i-0", "0-1-5") // within the bound of the second acknowledgement
	expectViolation(t, checker, "")
	leaveLongAgo()
	checker.checkDeparture("i-0", "0-1-6")
	checker.checkDeparture("i-0", "0-1-7") // the same departure, reported once
	expectViolation(t, checker, "request 0-1-6 reached i-0")
	expectViolation(t, checker, "the soak's clock was at most")
}

func TestRecordDropped(t *testing.T) {
	now := time.Now()
	tests := []struct {
		name       string
		prepare    func(*checker)
		generation int
		status     int
		want       string
	}{
		{"undisturbed", func(*checker) {}, 1, 0, "got no response"},
		{"incomplete response", func(*checker) {}, 1, http.StatusOK, ""},
		{"process is gone", func(*checker) {}, 0, 0, ""},
		{"fault lasts", func(c *checker) { c.processes.begin(0) }, 1, 0, ""},
		{"fault ended later", func(c *checker) { c.processes.begin(0); c.processes.end(0, 0) }, 1, 0, ""},
		{"stopping", func(c *checker) { c.setStopping(0, true) }, 1, 0, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := newChecker(newFakeCluster(t, new(fakeHost)))
			test.prepare(c)
			c.recordDropped(0, test.generation, "0-1-1", now, test.status)
			expectViolation(t, c, test.want)
		})
	}
}

func TestRewriteRestoresWhatWasLost(t *testing.T) {
	o := newOperator(standin.NewStore())
	text := func(int) string { return `{"state":"ready"}` }
	o.publishNextState()
	o.reportTarget("stays", false, text)
	o.reportTarget("goes", false, text)
	older := o.store.Snapshot()
	o.publishNextState()
	o.reportTarget("goes", true, nil)
	o.reportTarget("comes", false, text)
	o.restore(older)
	if _, ackedAt := o.newest(); !ackedAt.IsZero() || !o.leftAt("goes").IsZero() {
		t.Error("what the store lost counts as acknowledged")
	}

	o.rewriteState()
	for _, id := range []string{"stays", "goes", "comes"} {
		o.rewriteReport(id)
	}
	if version, ackedAt := o.newest(); version != 2 || ackedAt.IsZero() || o.leftAt("goes").IsZero() {
		t.Error("what was written again does not count as acknowledged")
	}
	row, _ := o.store.Get(operatorTable, stateKey)
	_, goes := o.store.Get(reportTable, "goes")
	_, comes := o.store.Get(reportTable, "comes")
	if string(row.Value) != standin.DesiredState(2, coldRatePerSecond) || goes || !comes {
		t.Errorf("written again: state %s, goes %v, comes %v", row.Value, goes, comes)
	}
	written := o.store.Version()
	o.rewriteState()
	o.rewriteReport("goes")
	if o.store.Version() != written {
		t.Error("what the store holds was written again")
	}
}

func TestCopiesBefore(t *testing.T) {
	store := standin.NewStore()
	start := time.Now()
	var c copies
	for second := range 15 {
		store.Put("t", "k", "v")
		c.add(start.Add(time.Duration(second)*time.Second), store.Snapshot())
	}
	for age, version := range map[time.Duration]uint64{0: 15, 1500 * time.Millisecond: 13, time.Minute: 5} {
		if got := c.before(start.Add(14*time.Second - age)).Version(); got != version {
			t.Errorf("the copy of an age of %v has version %d, want %d", age, got, version)
		}
	}
}

// expectViolation checks that there is one violation that contains a text; "" means none.
func expectViolation(t *testing.T, c *checker, want string) {
	t.Helper()
	if want == "" && len(c.violations) == 0 {
		return
	}
	if want == "" || len(c.violations) != 1 || !strings.Contains(c.violations[0], want) {
		t.Errorf("violations %q, want one of %q", c.violations, want)
	}
}

func TestCheckExecutions(t *testing.T) {
	target, err := standin.NewTarget("i-0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(target.Close)
	c := newFakeCluster(t, new(fakeHost))
	c.targets = []*standin.Target{target}
	c.reportTarget("i-0", false, func(int) string { return "{}" })
	checker := newChecker(c)
	for id, runs := range map[string]int{"0-1-once": 1, "0-1-twice": 2, "0-2-twice": 2, "0-2-thrice": 3} {
		for range runs {
			run(t, target, id)
		}
	}
	checker.maxRuns = map[string]int{"0-1-once": 1, "0-2-twice": maxAttempts}
	checker.checkExecutions()
	expectViolation(t, checker, "")
	for id, maxRuns := range map[string]int{"0-1-twice": 1, "0-2-thrice": maxAttempts} {
		checker.violations, checker.maxRuns = nil, map[string]int{id: maxRuns}
		checker.checkExecutions()
		expectViolation(t, checker, "request "+id+" ran")
	}
	checker.violations, checker.maxRuns = nil, map[string]int{"0-2-twice": maxAttempts}
	checker.reportedNotRun["0-2-twice"] = true
	checker.checkExecutions()
	expectViolation(t, checker, "reported as not run")
}

// run makes a target run a request.
func run(t *testing.T, target *standin.Target, id string) {
	t.Helper()
	request, err := http.NewRequest(http.MethodGet, "http://"+target.Addr()+"/", http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Request-Identifier", id)
	request.Header.Set("Expected-Instance", target.ID)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
}
