package entry

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"quetzalknot/platform/standin"
)

// TestRequestGoesEndToEnd sends a safe and an unsafe request through each of two hosts.
func TestRequestGoesEndToEnd(t *testing.T) {
	s := newCluster(t, 3, 2)
	for i, h := range s.hosts {
		for _, method := range []string{"GET", "POST"} {
			path := map[string]string{"GET": "/search/1", "POST": "/book/1"}[method]
			got := send(h.addr(), method, path, fmt.Sprint(method, i), "")
			if got.Status != 200 || got.Body != standin.Body || !got.Signed {
				t.Errorf("%s through host %d: %+v", method, i, got)
			}
		}
	}
	if got := send(s.hosts[0].addr(), "GET", "/nowhere/", "x", ""); got.Status != http.StatusNotFound {
		t.Errorf("a path without a route: %+v", got)
	}
}

// TestAnswersByBehaviour checks the final answer, and how often the request ran, for each
// faulty behaviour of a target and each kind of route.
func TestAnswersByBehaviour(t *testing.T) {
	for _, tc := range []struct {
		name         string
		behaviour    standin.Behaviour
		safe, unsafe int
		// runs is the most often that an unsafe request may run.
		runs int
	}{
		{"good", standin.Good, 200, 200, 1},
		{"shed", standin.Shed, 503, 503, 0},
		{"foreign", standin.Foreign, 502, 502, 1},
		{"extra", standin.Extra, 200, 200, 1},
		{"truncated", standin.Truncated, 502, 502, 1},
		{"unframed", standin.Unframed, 200, 200, 1},
		{"unsigned", standin.Unsigned, 502, 502, 1},
		{"reset", standin.Reset, 502, 502, 1},
		{"silent", standin.Silent, 504, 504, 1},
		{"garbage", standin.Garbage, 502, 502, 1},
		{"fails", standin.Fails, 500, 500, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			s := newCluster(t, 2, 1)
			for _, target := range s.targets {
				target.Behave(tc.behaviour, 0)
			}
			for i := range 3 {
				got := send(s.hosts[0].addr(), "GET", "/search/1", fmt.Sprint("safe", i), "")
				if got.Status != tc.safe || (got.Status == 200 && got.Body != standin.Body) {
					t.Errorf("safe: %+v, want status %d", got, tc.safe)
				}
				id := fmt.Sprint("unsafe", i)
				got = send(s.hosts[0].addr(), "POST", "/book/1", id, "a booking")
				if got.Status != tc.unsafe || (got.Status == 200 && got.Body != standin.Body) {
					t.Errorf("unsafe: %+v, want status %d", got, tc.unsafe)
				}
				if got.Status == 503 && !got.ComeBack {
					t.Error("the answer to a request that was not run has no Retry-After header")
				}
				if runs := s.targets[0].Ran(id) + s.targets[1].Ran(id); runs > 1 || (got.Status == 503 && runs > 0) {
					t.Errorf("unsafe request with status %d ran %d times", got.Status, runs)
				}
			}
		})
	}
}

// TestOneBadTargetIsPassedOver checks that safe requests are served by the other target
// when one of two misbehaves.
func TestOneBadTargetIsPassedOver(t *testing.T) {
	for _, behaviour := range []standin.Behaviour{standin.Shed, standin.Foreign, standin.Truncated, standin.Reset, standin.Garbage} {
		s := newCluster(t, 2, 1)
		s.targets[0].Behave(behaviour, 0)
		for i := range 5 {
			got := send(s.hosts[0].addr(), "GET", "/search/1", fmt.Sprint(i), "")
			if got.Status != 200 || got.Body != standin.Body {
				t.Errorf("behaviour %d: %+v", behaviour, got)
			}
		}
	}
}

// TestLeavingTargetGetsNothing checks that hosts stop sending requests to targets that
// drain, are evacuated or are removed, once the store says so.
func TestLeavingTargetGetsNothing(t *testing.T) {
	s := newCluster(t, 2, 2)
	s.store.PutTarget("i-0", s.targets[0].Report("bokun", "no-gler", "draining", 2))
	s.waitForOnlyTarget(1)
	s.store.Evacuate("au-fjord")
	s.store.PutTarget("i-2", s.addTarget("i-2").Report("bokun", "au-fjord", "ready", 2))
	s.store.RemoveTarget("i-1")
	s.eventually("no target is left", func() bool {
		return send(s.hosts[0].addr(), "POST", "/book/1", "none", "").Status == 503
	})
}

// waitForOnlyTarget waits until all hosts send requests only to the target at index.
func (s *cluster) waitForOnlyTarget(index int) {
	s.t.Helper()
	n := 0
	s.eventually("only one target is used", func() bool {
		before := s.targets[1-index].Runs()
		for _, h := range s.hosts {
			for range 4 {
				n++
				send(h.addr(), "GET", "/search/1", fmt.Sprint("only", n), "")
			}
		}
		return s.targets[1-index].Runs() == before
	})
}

// TestNewDesiredStateWithTheStoreRefusingOneHost checks that a host whose calls the store
// refuses receives a new desired state and new target reports from its partner.
func TestNewDesiredStateWithTheStoreRefusingOneHost(t *testing.T) {
	s := newCluster(t, 2, 2)
	s.eventually("the hosts know each other", func() bool {
		return len(s.hosts[0].group.Alive()) == 2 && len(s.hosts[1].group.Alive()) == 2
	})
	s.endpoints[1].SetFaults(standin.StoreFaults{Refuse: 503})
	s.store.PutState(standin.DesiredState(7, coldPerSecond))
	s.store.PutTarget("i-0", s.targets[0].Report("bokun", "no-gler", "draining", 2))
	for i, h := range s.hosts {
		s.eventually(fmt.Sprintf("version 7 is applied on host %d", i), func() bool { return h.config.Load().Version == 7 })
	}
	s.waitForOnlyTarget(1)
}

// TestStoreTroubles checks that a host keeps serving while the store refuses calls, and
// that it catches up after the store has compacted its history and recovered.
func TestStoreTroubles(t *testing.T) {
	s := newCluster(t, 2, 1)
	s.endpoints[0].SetFaults(standin.StoreFaults{Refuse: 503})
	s.store.PutState(standin.DesiredState(2, coldPerSecond))
	s.store.PutState(standin.DesiredState(3, coldPerSecond))
	s.store.Compact()
	if got := send(s.hosts[0].addr(), "GET", "/search/1", "down", ""); got.Status != 200 {
		t.Errorf("with the store down: %+v", got)
	}
	s.endpoints[0].SetFaults(standin.StoreFaults{})
	s.eventually("the newest version is applied", func() bool { return s.hosts[0].config.Load().Version == 3 })
}

// TestUnreadableRowsNameNoTarget checks that invalid target reports and an invalid desired
// state are ignored and do not affect valid ones.
func TestUnreadableRowsNameNoTarget(t *testing.T) {
	s := newCluster(t, 1, 1)
	for i, row := range standin.BadReports {
		s.store.PutTarget(fmt.Sprint("bad-", i), row)
	}
	s.store.PutState("{not a desired state")
	s.addTarget("i-9")
	s.eventually("the valid target is known", func() bool { return s.hosts[0].fleet.Size() == 2 })
	if got := send(s.hosts[0].addr(), "GET", "/search/1", "x", ""); got.Status != 200 {
		t.Errorf("with invalid rows in the store: %+v", got)
	}
	if v := s.hosts[0].config.Load().Version; v != 1 {
		t.Errorf("version %d applied after an invalid one", v)
	}
}

// TestPlannedStopCutsNothing checks that a host which is stopped completes the requests in
// flight, serves late ones and tells their callers to close the connection, and leaves the
// directory and the store.
func TestPlannedStopCutsNothing(t *testing.T) {
	s := newCluster(t, 2, 2)
	for _, target := range s.targets {
		target.Behave(standin.Good, 300*time.Millisecond)
	}
	var callers sync.WaitGroup
	for i := range 8 {
		callers.Go(func() {
			got := send(s.hosts[0].addr(), "POST", "/book/1", fmt.Sprint("stop", i), "a booking")
			if got.Status != 200 {
				t.Errorf("during the stop: %+v", got)
			}
		})
	}
	s.eventually("requests are in flight", func() bool { return s.hosts[0].handler.InFlight() == 8 })
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		s.hosts[0].Stop(t.Context())
	}()
	s.eventually("the host is not ready", func() bool { return !s.hosts[0].ready() })
	if got := send(s.hosts[0].addr(), "POST", "/book/1", "late", ""); got.Status != 200 || !got.Closes {
		t.Errorf("on a leaving host: %+v", got)
	}
	callers.Wait()
	<-stopped
	s.eventually("the directory of the other host omits it", func() bool {
		return len(s.resolve(s.hosts[1])) == 1
	})
	if s.store.HasHost("front-0") {
		t.Error("the row of the stopped host is still in the store")
	}
}

// TestDirectoryLeavesTheDeadOut checks that the directory omits a host that has crashed.
func TestDirectoryLeavesTheDeadOut(t *testing.T) {
	s := newCluster(t, 1, 2)
	s.eventually("both hosts are named", func() bool { return len(s.resolve(s.hosts[0])) == 2 })
	s.hosts[1].close()
	s.eventually("the dead host is omitted", func() bool { return len(s.resolve(s.hosts[0])) == 1 })
}

// resolve queries a host's directory.
func (s *cluster) resolve(h *Host) []string {
	s.t.Helper()
	addrs, err := standin.Resolve(h.settings.Load().Listen.Directory, "nordur", "no-gler")
	if err != nil {
		s.t.Fatal(err)
	}
	return addrs
}

// TestRequestThatCrashesTargetsIsStopped checks that a request which crashes its target is
// quarantined after three crashes, counted over all hosts.
func TestRequestThatCrashesTargetsIsStopped(t *testing.T) {
	s := newCluster(t, 6, 2)
	s.eventually("the hosts know each other", func() bool { return len(s.hosts[0].group.Alive()) == 2 })
	for _, target := range s.targets {
		target.Behave(standin.Crash, 0)
	}
	crashed := func() int {
		n := 0
		for _, target := range s.targets {
			if target.Crashed() {
				n++
			}
		}
		return n
	}
	for i := range 8 {
		before := crashed()
		got := send(s.hosts[i%2].addr(), "POST", "/book/1", fmt.Sprint("crash", i), "a bad booking")
		if got.Status == 200 {
			t.Errorf("attempt %d: %+v", i, got)
		}
		if crashed() > before {
			time.Sleep(1500 * time.Millisecond) // until the next heartbeat has carried the crash count to the other host
		}
	}
	if n := crashed(); n != 3 {
		t.Errorf("%d targets crashed, want 3", n)
	}
}

// TestForgottenIdleConnections covers targets that reset an idle connection when the next
// request arrives on it. Safe requests must be served on another connection or by another
// target, unsafe ones must run at most once, and a request that may have run must not be
// answered as not run.
func TestForgottenIdleConnections(t *testing.T) {
	s := newCluster(t, 2, 1)
	for _, target := range s.targets {
		target.Behave(standin.Forgets, 0)
	}
	unsafe := 0
	for i := range 40 {
		if got := send(s.hosts[0].addr(), "GET", "/search/1", fmt.Sprint("safe", i), ""); got.Status != 200 && got.Status != 502 {
			t.Errorf("safe: %+v", got)
		}
		id := fmt.Sprint("unsafe", i)
		got := send(s.hosts[0].addr(), "POST", "/book/1", id, "a booking")
		runs := s.targets[0].Ran(id) + s.targets[1].Ran(id)
		if runs > 1 || (got.Status == 200 && runs != 1) || (got.Status == 503 && runs > 0) {
			t.Errorf("unsafe request with status %d ran %d times", got.Status, runs)
		}
		if got.Status == 200 {
			unsafe++
		}
	}
	if unsafe == 0 {
		t.Error("no unsafe request was served")
	}
}
