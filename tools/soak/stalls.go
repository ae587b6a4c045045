package soak

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// stallMonitor measures what tells apart why a request has no response: the soak's process or
// the whole machine stands still, a host's process does, or only the request does.
type stallMonitor struct {
	clock delays
	hosts []*hostMonitor
	// isSettled reports whether a host's process has been undisturbed since a time.
	isSettled func(host int, since time.Time) bool

	mu sync.Mutex
	// slowest is the longest readiness check of an undisturbed host, and slowestText what was
	// measured meanwhile.
	slowest     time.Duration
	slowestText string
	// latest is the longest delay of the soak's own clock.
	latest time.Duration
}

// hostMonitor measures one host.
type hostMonitor struct {
	host *host
	// readiness are the times that the host's readiness check takes. It has an address of its
	// own and needs neither targets nor the store.
	readiness delays
	samples   samples
}

func newStallMonitor(hosts []*host, isSettled func(host int, since time.Time) bool) *stallMonitor {
	s := &stallMonitor{isSettled: isSettled}
	for _, h := range hosts {
		s.hosts = append(s.hosts, &hostMonitor{host: h})
	}
	return s
}

// run measures until ctx ends.
func (s *stallMonitor) run(ctx context.Context) {
	var loops sync.WaitGroup
	defer loops.Wait()
	loops.Go(func() { s.checkClock(ctx) })
	for i, m := range s.hosts {
		loops.Go(func() { s.checkHost(ctx, i) })
		loops.Go(func() { m.sample(ctx) })
	}
}

// checkClock measures the delays of the soak's own clock until ctx ends.
func (s *stallMonitor) checkClock(ctx context.Context) {
	for ctx.Err() == nil {
		took := s.clock.measure(func() { time.Sleep(clockTick) })
		s.mu.Lock()
		s.latest = max(s.latest, took-clockTick)
		s.mu.Unlock()
	}
}

// checkHost measures the readiness checks of a host until ctx ends.
func (s *stallMonitor) checkHost(ctx context.Context, host int) {
	m := s.hosts[host]
	for ; ctx.Err() == nil; sleep(ctx, checkPause) {
		start := time.Now()
		took := m.readiness.measure(func() { m.checkReadiness(ctx) })
		s.recordReadiness(host, start, took)
	}
}

// recordReadiness records the time of a readiness check if it is the longest of an undisturbed
// host.
func (s *stallMonitor) recordReadiness(host int, start time.Time, took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if took > s.slowest && s.isSettled(host, start) {
		s.slowest, s.slowestText = took, s.describe(host, start)
	}
}

// summary says what was measured in the whole run.
func (s *stallMonitor) summary() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fmt.Sprintf("the soak's clock was at most %v late; longest readiness check of an undisturbed host %v: %s",
		rounded(s.latest), rounded(s.slowest), s.slowestText)
}

// checkReadiness waits for a response of the host's readiness check, whatever it says.
func (m *hostMonitor) checkReadiness(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, maxCheckTime)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, m.host.readinessURL(), http.NoBody)
	if err != nil {
		return
	}
	if response, err := http.DefaultClient.Do(request); err == nil {
		_ = response.Body.Close()
	}
}

// sample takes samples of the host's process until ctx ends.
func (m *hostMonitor) sample(ctx context.Context) {
	for ; ctx.Err() == nil; sleep(ctx, checkPause) {
		if pid := m.host.pid(); pid != 0 {
			if sample, err := sampleProcess(pid); err == nil { // the process may have ended
				m.samples.add(sample)
			}
		}
	}
}

// describe says what was measured of the soak and of a host since a time.
func (s *stallMonitor) describe(host int, from time.Time) string {
	m := s.hosts[host]
	return fmt.Sprintf("since %s: the soak's clock was at most %v late, the readiness check of %s took at most %v; %s",
		from.Format("15:04:05.000"), rounded(max(0, s.clock.longest(from)-clockTick)), m.host.name,
		rounded(m.readiness.longest(from)), m.samples.describe(from))
}
