package soak

import (
	"sync"
	"time"
)

const (
	// clockTick is the time between two checks of the soak's own clock.
	clockTick = 20 * time.Millisecond
	// checkPause is the time between two checks of a host's readiness and process.
	checkPause = 250 * time.Millisecond
	// maxCheckTime limits a check of a host's readiness. It is above requestTimeout, so that a
	// host that stands still that long is seen.
	maxCheckTime = 5 * time.Second
	// checkMemory is how long the results of checks are kept.
	checkMemory = 15 * time.Second
)

// delays records how long the repetitions of an action take. It is safe for concurrent use.
type delays struct {
	mu sync.Mutex
	// begun is the start of the action that lasts; zero if none does.
	begun time.Time
	// ended are the actions that ended within checkMemory, oldest first.
	ended []timeSpan
}

type timeSpan struct{ from, to time.Time }

// measure runs the action, and records and returns its time.
func (d *delays) measure(action func()) time.Duration {
	start := time.Now()
	d.mu.Lock()
	d.begun = start
	d.mu.Unlock()
	action()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.begun = time.Time{}
	end := time.Now()
	d.ended = append(d.ended, timeSpan{start, end})
	for start.Sub(d.ended[0].to) > checkMemory {
		d.ended = d.ended[1:]
	}
	return end.Sub(start)
}

// longest returns the longest time of an action that lasted after from, also of one that
// still lasts.
func (d *delays) longest(from time.Time) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	var longest time.Duration
	if !d.begun.IsZero() {
		longest = time.Since(d.begun)
	}
	for _, span := range d.ended {
		if span.to.After(from) {
			longest = max(longest, span.to.Sub(span.from))
		}
	}
	return longest
}
