package soak

import (
	"context"
	"sync"
	"time"

	"quetzalknot/platform/standin"
)

const (
	// copyInterval is the time between two copies of the store, and maxCopyAge the age up to
	// which they are kept.
	copyInterval = 100 * time.Millisecond
	maxCopyAge   = 10 * time.Second
)

// copies are the recent copies of a store, oldest first. It is safe for concurrent use.
type copies struct {
	mu    sync.Mutex
	taken []timedCopy
}

type timedCopy struct {
	at   time.Time
	copy *standin.Copy
}

// take takes copies of the store until ctx ends.
func (c *copies) take(ctx context.Context, store *standin.Store) {
	for ctx.Err() == nil {
		c.add(time.Now(), store.Snapshot())
		sleep(ctx, copyInterval)
	}
}

func (c *copies) add(at time.Time, taken *standin.Copy) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.taken = append(c.taken, timedCopy{at: at, copy: taken})
	for len(c.taken) > 1 && at.Sub(c.taken[0].at) > maxCopyAge {
		c.taken = c.taken[1:]
	}
}

// before returns the newest copy that is at least as old as at, or else the oldest one. There
// must be a copy.
func (c *copies) before(at time.Time) *standin.Copy {
	c.mu.Lock()
	defer c.mu.Unlock()
	found := c.taken[0]
	for _, t := range c.taken {
		if !t.at.After(at) {
			found = t
		}
	}
	return found.copy
}
