package fleet

import "time"

// Check is a liveness check that is due.
type Check struct {
	Target  *Target
	ID      string
	Addr    string
	Service string
}

// Due returns the checks that are due, and marks them as under way. Only targets that
// are down or may be cold are checked; the others are judged by their answers.
func (f *Fleet) Due(now time.Time) []Check {
	f.Lock()
	defer f.Unlock()
	var due []Check
	for _, t := range f.targets {
		if t.probing || t.Leaving || !(t.down || t.unconfirmed) || now.Before(t.probeAt) {
			continue
		}
		t.probing = true
		due = append(due, Check{Target: t, ID: t.ID, Addr: t.Addr, Service: t.Service})
	}
	return due
}

// Health is the answer to a liveness check.
type Health struct {
	// Reachable says that the target answered at all, by the expected identity.
	Reachable bool
	// Healthy says that it takes requests.
	Healthy bool
	// Cold is how much longer it stays cold.
	Cold time.Duration
	Load *Load
}

// Checked takes in the result of a check.
func (f *Fleet) Checked(c Check, h Health, now time.Time) {
	f.Lock()
	defer f.Unlock()
	t := c.Target
	t.probing = false
	if h.Load != nil {
		if h.Load.Slots > 0 && h.Load.Slots != t.Slots {
			f.generation++
		}
		t.report(*h.Load, now)
	}
	if !h.Reachable || !h.Healthy {
		t.probeAt = now.Add(t.probePause)
		t.probePause = min(probeMost, 2*t.probePause)
		return
	}
	t.down, t.unconfirmed = false, false
	t.coldUntil = now.Add(h.Cold)
	t.fails = 0
	f.logState(t, now)
}
