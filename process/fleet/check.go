package fleet

import "time"

// Check is a health check to be made.
type Check struct {
	Target  *Target
	ID      string
	Addr    string
	Service string
}

// DueChecks returns the health checks that are due and marks them as running. Only targets
// that are down or may be cold are checked; for the others the outcomes of requests are
// enough. To a target that names a limit a check is a request like others, and one
// that asks for a pause is not checked in it.
func (f *Fleet) DueChecks(now time.Time) []Check {
	f.Lock()
	defer f.Unlock()
	var due []Check
	for _, t := range f.targets {
		if t.checking || t.Leaving || t.notices.paused(now) || !(t.down || t.maybeCold) || now.Before(t.nextCheckAt) {
			continue
		}
		if t.notices.limit.named {
			if !f.allows(t, f.limitQuota(t), now) {
				continue
			}
			t.rememberSend(f.longestWindow(t), now)
		}
		t.checking = true
		due = append(due, Check{Target: t, ID: t.ID, Addr: t.Addr, Service: t.Service})
	}
	return due
}

// Health is the result of a health check.
type Health struct {
	// Reachable says that the target responded, with the expected identity.
	Reachable bool
	// Healthy says that the target accepts requests.
	Healthy bool
	// ColdRemaining is the remaining duration of the target's cold start.
	ColdRemaining time.Duration
	Load          *Load
	// Notice is what the target said of itself, if it is Reachable.
	Notice Notice
}

// RecordCheck records the result of a health check. A failed check doubles the delay before
// the next one, up to maxCheckDelay.
func (f *Fleet) RecordCheck(c Check, h Health, now time.Time) {
	f.Lock()
	defer f.Unlock()
	t := c.Target
	t.checking = false
	if h.Load != nil {
		if h.Load.Slots > 0 && h.Load.Slots != t.Slots {
			f.generation++
		}
		t.applyLoadReport(*h.Load, now)
	}
	if h.Reachable {
		f.applyNotice(t, h.Notice, time.Time{}, now) // only responses to requests end a limit
	}
	if !h.Reachable || !h.Healthy {
		t.nextCheckAt = now.Add(t.checkDelay)
		t.checkDelay = min(maxCheckDelay, 2*t.checkDelay)
		return
	}
	t.down, t.maybeCold = false, false
	t.coldUntil = now.Add(h.ColdRemaining)
	t.failureRate = 0
	f.logState(t, now)
}
