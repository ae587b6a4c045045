// Package drain stops a host without cutting a request: the host leaves the
// look-ups, goes on serving callers that still have an old look-up answer, lets
// everything in flight end, and only then closes.
package drain

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"quetzalknot/process/eventlog"
)

var (
	evLeaving  = eventlog.Define(1301, zerolog.InfoLevel, "host leaves the look-ups")
	evClosing  = eventlog.Define(1302, zerolog.InfoLevel, "host takes no more requests")
	evFinished = eventlog.Define(1303, zerolog.InfoLevel, "last request finished")
	evCut      = eventlog.Define(1304, zerolog.ErrorLevel, "requests were cut")
)

var (
	// ErrLimit reports that the hard limit ended a stop.
	ErrLimit = errors.New("the stop took longer than its limit")
	// ErrCut reports that requests in flight were cut.
	ErrCut = errors.New("requests in flight were cut")
)

// progressInterval is the time between two log lines of a stop that waits.
const progressInterval = 5 * time.Second

var evWaiting = eventlog.Define(1305, zerolog.InfoLevel, "waiting for requests in flight")

// Steps are what a stop consists of.
type Steps struct {
	// Leave makes the host leave the look-ups of all hosts, as far as they can be reached.
	Leave func(ctx context.Context)
	// LookupWait is how long callers may use look-up answers that name this host.
	LookupWait time.Duration
	// Close stops taking requests and returns when all have ended, or with ctx's error.
	Close func(ctx context.Context) error
	// Cut ends every request that is in flight.
	Cut func()
	// InFlight returns how many requests are in flight.
	InFlight func() int64
	// Limit bounds the whole stop.
	Limit time.Duration
}

// Run carries out a planned stop. The end of ctx skips the waiting and cuts what
// is in flight, as does the limit. It returns an error that is ErrCut when
// requests were cut.
func Run(ctx context.Context, log zerolog.Logger, s Steps) error {
	started := time.Now()
	ctx, cancel := context.WithTimeoutCause(ctx, s.Limit, ErrLimit)
	defer cancel()
	evLeaving.Log(log).Int64("in_flight", s.InFlight()).Dur("wait_ms", s.LookupWait).Send()
	s.Leave(ctx)
	wait(ctx, s.LookupWait)
	evClosing.Log(log).Int64("in_flight", s.InFlight()).Send()
	waiting := time.AfterFunc(progressInterval, func() {
		evWaiting.Log(log).Int64("in_flight", s.InFlight()).Send()
	})
	defer waiting.Stop()
	err := s.Close(ctx)
	if err == nil {
		evFinished.Log(log).Dur("took_ms", time.Since(started)).Send()
		return nil
	}
	left := s.InFlight()
	if ctx.Err() != nil {
		err = context.Cause(ctx)
	}
	s.Cut()
	evCut.Log(log).Int64("requests", left).Err(err).Send()
	if left == 0 {
		return nil
	}
	return errors.Mark(errors.Wrapf(err, "%d requests in flight were cut", left), ErrCut)
}

func wait(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
