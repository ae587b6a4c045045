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
}

// hostMonitor measures one host.
type hostMonitor struct {
	host *host
	// readiness are the times that the host's readiness check takes. It has an address of its
	// own and needs neither targets nor the store.
	readiness delays
	samples   samples
}

func newStallMonitor(hosts []*host) *stallMonitor {
	s := new(stallMonitor)
	for _, h := range hosts {
		s.hosts = append(s.hosts, &hostMonitor{host: h})
	}
	return s
}

// run measures until ctx ends.
func (s *stallMonitor) run(ctx context.Context) {
	var loops sync.WaitGroup
	defer loops.Wait()
	loops.Go(func() { s.clock.repeat(ctx, 0, func() { time.Sleep(clockTick) }) })
	for _, m := range s.hosts {
		loops.Go(func() { m.readiness.repeat(ctx, checkPause, func() { m.checkReadiness(ctx) }) })
		loops.Go(func() { m.sample(ctx) })
	}
}

// checkReadiness waits for a response of the host's readiness check, whatever it says.
func (m *hostMonitor) checkReadiness(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, maxCheckTime)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+m.host.ready+"/-/readiness", http.NoBody)
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
