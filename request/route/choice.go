package route

import (
	"sync"

	"quetzalknot/process/health"
)

// WithOnDone returns a copy of the choice that calls f once before its slot is released.
func (c Choice) WithOnDone(f func()) Choice {
	once := sync.OnceFunc(f)
	return c.WithOutcome(func(o health.Outcome) health.Outcome {
		once()
		return o
	})
}

// WithOutcome returns a copy of the choice that passes its outcome through f.
func (c Choice) WithOutcome(f func(health.Outcome) health.Outcome) Choice {
	done := c.Done
	c.Done = func(o health.Outcome) { done(f(o)) }
	c.Release = func() { c.Done(health.Outcome{Cancelled: true}) }
	return c
}
