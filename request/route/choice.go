package route

import (
	"sync"

	"quetzalknot/process/health"
)

// OnDone returns the choice with f called once before its slot is given back.
func (c Choice) OnDone(f func()) Choice {
	once := sync.OnceFunc(f)
	return c.WithOutcome(func(o health.Outcome) health.Outcome {
		once()
		return o
	})
}

// WithOutcome returns the choice with its outcome passed through f first.
func (c Choice) WithOutcome(f func(health.Outcome) health.Outcome) Choice {
	done := c.Done
	c.Done = func(o health.Outcome) { done(f(o)) }
	c.Release = func() { c.Done(health.Outcome{Cancelled: true}) }
	return c
}
