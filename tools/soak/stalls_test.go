package soak

import (
	"context"
	"net/http"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

func TestDelaysIncludeActionThatLasts(t *testing.T) {
	var d delays
	start := time.Now()
	d.measure(func() { time.Sleep(30 * time.Millisecond) })
	between := time.Now()
	d.measure(func() {})
	if all, later := d.longest(start), d.longest(between); all < 30*time.Millisecond || later >= 30*time.Millisecond {
		t.Errorf("longest of all %v, of the later ones %v", all, later)
	}
	d.measure(func() {
		time.Sleep(50 * time.Millisecond)
		if lasting := d.longest(time.Now()); lasting < 50*time.Millisecond {
			t.Errorf("an action that lasts counts as %v", lasting)
		}
	})
}

// TestViolationNamesStoppedProcess: a violation says that the host's process is stopped and its
// readiness check hangs, while the soak's own clock goes on.
func TestViolationNamesStoppedProcess(t *testing.T) {
	hangs := make(chan struct{})
	c := newFakeCluster(t, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		select {
		case <-hangs:
		case <-r.Context().Done():
		}
	}))
	defer close(hangs)
	process := exec.Command("sleep", "60")
	if err := process.Start(); err != nil {
		t.Fatal(err)
	}
	defer func() { _ = process.Process.Kill(); _ = process.Wait() }()
	if err := process.Process.Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	c.hosts[0].process, c.hosts[0].ready = process, c.hosts[0].entry
	checker := newChecker(c)
	ctx, cancel := context.WithCancel(t.Context())
	var monitor sync.WaitGroup
	monitor.Go(func() { checker.stalls.run(ctx) })
	start := time.Now()
	time.Sleep(4 * checkPause)
	hung := checker.stalls.hosts[0].readiness.longest(start)
	checker.recordDropped(0, 1, "0-1-1", start, 0)
	cancel()
	monitor.Wait()

	expectViolation(t, checker, "got no response")
	expectViolation(t, checker, "newest first: T T")
	if hung < 3*checkPause {
		t.Errorf("the readiness check that hangs counts as %v", hung)
	}
	if late := checker.stalls.clock.longest(start) - clockTick; late > checkPause || !strings.Contains(checker.violations[0], "clock was at most") {
		t.Errorf("the clock was %v late, violation %q", late, checker.violations[0])
	}
}

// TestDumpEndsHost: a host that leaves a request without a response ends by SIGQUIT, once, and
// counts as disturbed from then on.
func TestDumpEndsHost(t *testing.T) {
	c := newFakeCluster(t, new(fakeHost))
	process := exec.Command("sleep", "60")
	if err := process.Start(); err != nil {
		t.Fatal(err)
	}
	c.hosts[0].process = process
	checker := newChecker(c)
	checker.dump = true
	checker.recordDropped(0, 1, "0-1-1", time.Now(), 0)
	checker.recordDropped(0, 1, "0-1-2", time.Now(), 0)

	var status *exec.ExitError
	if err := c.hosts[0].wait(); !errors.As(err, &status) || status.Sys().(syscall.WaitStatus).Signal() != syscall.SIGQUIT {
		t.Errorf("the process ended with %v", err)
	}
	expectViolation(t, checker, "request 0-1-1 got no response")
}

// TestLongestReadinessOfUndisturbedHost: a readiness check counts only if its host was
// undisturbed all the time.
func TestLongestReadinessOfUndisturbedHost(t *testing.T) {
	checker := newChecker(newFakeCluster(t, new(fakeHost)))
	stalls, now := checker.stalls, time.Now()
	stalls.recordReadiness(0, now, 2*time.Second)
	stalls.recordReadiness(0, now, time.Second)
	checker.setStopping(0, true)
	stalls.recordReadiness(0, now, 3*time.Second)
	checker.setStopping(0, false)
	checker.processes.begin(0)
	stalls.recordReadiness(0, now, 4*time.Second)
	checker.processes.end(0, 0)
	stalls.recordReadiness(0, now, 5*time.Second)
	if got := stalls.summary(); !strings.Contains(got, "undisturbed host 2s") {
		t.Error(got)
	}
}

// TestStarvedThreadIsNamed: a thread that could run at several samples, and got no processor
// between them, is starved for the time between the first and the last of them.
func TestStarvedThreadIsNamed(t *testing.T) {
	start := time.Now()
	sample := func(pid int, after time.Duration, turns map[string]int) processSample {
		s := processSample{pid: pid, at: start.Add(after), states: "S", starved: make(map[string]starvedThread)}
		for thread, n := range turns {
			s.starved[thread] = starvedThread{turns: n, since: s.at}
		}
		return s
	}
	tests := []struct {
		name    string
		samples []processSample
		want    string
	}{
		{"got no processor", []processSample{
			sample(1, 0, map[string]int{"7": 3}), sample(1, time.Second, map[string]int{"7": 3, "8": 1}), sample(1, 2*time.Second, map[string]int{"7": 3}),
			sample(1, 3*time.Second, nil),
		}, "up to 2s;"},
		{"got one between", []processSample{
			sample(1, 0, map[string]int{"7": 3}), sample(1, time.Second, map[string]int{"7": 4}), sample(1, 2*time.Second, map[string]int{"7": 5}),
		}, "up to 0s;"},
		{"slept between", []processSample{
			sample(1, 0, map[string]int{"7": 3}), sample(1, time.Second, nil), sample(1, 2*time.Second, map[string]int{"7": 3}),
		}, "up to 0s;"},
		{"of an earlier process", []processSample{
			sample(1, 0, map[string]int{"7": 3}), sample(2, time.Second, map[string]int{"7": 3}),
		}, "up to 0s;"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var s samples
			for _, taken := range test.samples {
				s.add(taken)
			}
			if got := s.describe(start); !strings.Contains(got, test.want) {
				t.Errorf("%q does not contain %q", got, test.want)
			}
		})
	}
}
