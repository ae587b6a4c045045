package soak

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"quetzalknot/platform/standin"
)

const (
	// changeBound is the time from an acknowledgement within which a desired state must be in
	// force and a target that leaves must get its last new request.
	changeBound = 2500 * time.Millisecond
	// versionPause is the time between two checks of the state in force on a host.
	versionPause = 100 * time.Millisecond
	// maxUnserved is the number of checks in a row in which a host may turn down the route of
	// the newest state while it serves other routes.
	maxUnserved = 10
)

// versionMonitor checks which desired state is in force on a host.
type versionMonitor struct {
	checker *checker
	host    *host
	conn    *standin.Caller
	probes  int

	// served is the newest version whose route the process of the generation has served, and
	// reported the newest one of a violation.
	generation, served, reported int
	// unserved counts the checks since the newest route was last not turned down.
	unserved int
}

// stateView is what the operator knows about the newest desired state.
type stateView struct {
	generation, version int
	ackedAt             time.Time
}

// run checks the host until ctx ends.
func (m *versionMonitor) run(ctx context.Context) {
	for ctx.Err() == nil {
		m.check()
		sleep(ctx, versionPause)
	}
	m.disconnect()
}

func (m *versionMonitor) view() stateView {
	version, ackedAt := m.checker.cluster.newest()
	return stateView{generation: m.host.currentGeneration(), version: version, ackedAt: ackedAt}
}

// check sends requests on the routes of the two newest versions. Only a state older than the
// newest one denies the newest route, or serves the one before it.
func (m *versionMonitor) check() {
	start, before := time.Now(), m.view()
	newest := m.probe(versionPath(before.version))
	previous := m.probe(versionPath(before.version - 1))
	after := m.view()
	if after.generation != before.generation {
		return
	}
	if m.generation != before.generation {
		m.generation, m.served, m.reported, m.unserved = before.generation, 0, 0, 0
	}
	if after.version == before.version && (newest == http.StatusNotFound || previous == http.StatusOK) {
		m.checkOlder(start, before, after)
	}
	if newest == http.StatusOK {
		m.served = before.version
	}
	m.checkServed(before.version, newest, m.isDue(start, before, after))
}

// checkOlder is called when an older state than the newest one is in force.
func (m *versionMonitor) checkOlder(start time.Time, before, after stateView) {
	switch {
	case m.reported >= before.version:
		return
	case m.served >= before.version:
		m.checker.recordViolation("%s reverted from version %d to an older one", m.host.name, before.version)
	case m.isDue(start, before, after):
		m.checker.recordViolation("version %d is not in force on %s %v after it was acknowledged; %s",
			before.version, m.host.name, rounded(start.Sub(before.ackedAt)), m.checker.stalls.describe(m.host.index, before.ackedAt))
	default:
		return
	}
	m.reported = before.version
}

// isDue reports whether the newest state must have been in force at the start of a check.
func (m *versionMonitor) isDue(start time.Time, before, after stateView) bool {
	return !before.ackedAt.IsZero() && before.ackedAt.Equal(after.ackedAt) && start.Sub(before.ackedAt) > changeBound &&
		m.checker.states.settledAt(m.host.index, start)
}

// checkServed counts the checks in which the newest route is turned down though it must be in
// force and another route is served.
func (m *versionMonitor) checkServed(version, newest int, due bool) {
	if !due || newest != http.StatusServiceUnavailable || m.probe("/search/1") != http.StatusOK {
		m.unserved = 0
		return
	}
	if m.unserved++; m.unserved == maxUnserved {
		m.checker.recordViolation("%s turns down the route of version %d", m.host.name, version)
	}
}

// probe returns the response status of a request, or 0 if there is no response. It reuses its
// connection for as long as that is open.
func (m *versionMonitor) probe(path string) int {
	if m.conn == nil {
		conn, err := standin.Dial(m.host.entry, time.Second)
		if err != nil {
			return 0
		}
		m.conn = conn
	}
	m.probes++
	call := standin.Call{ID: requestID(m.host.index, "probe", m.probes), Method: http.MethodGet, Path: path, Timeout: callerTimeout}
	response, err := m.conn.Send(call, requestTimeout)
	if err != nil || response.Closes {
		m.disconnect()
	}
	if err != nil {
		return 0
	}
	return response.Status
}

func (m *versionMonitor) disconnect() {
	if m.conn != nil {
		m.conn.Close()
		m.conn = nil
	}
}

// versionPath returns a path on the route that only the desired state of a version has.
func versionPath(version int) string { return fmt.Sprintf("/v%d/x", version) }
