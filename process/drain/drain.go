// Package drain shuts a host down without aborting requests: the host is removed from
// look-up answers, goes on serving callers that still have an older look-up answer, waits
// for the requests in flight, and only then closes.
//
// drain.go runs the steps of a shutdown, ending.go makes requests end at its end.
package drain

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"quetzalknot/process/eventlog"
)

var (
	evLeaving  = eventlog.Define(1301, zerolog.InfoLevel, "removing host from look-up answers")
	evClosing  = eventlog.Define(1302, zerolog.InfoLevel, "host stopped accepting requests")
	evFinished = eventlog.Define(1303, zerolog.InfoLevel, "last request finished")
	evAborted  = eventlog.Define(1304, zerolog.ErrorLevel, "requests in flight aborted")
)

var (
	// ErrTimeLimit reports that a shutdown reached its time limit.
	ErrTimeLimit = errors.New("shutdown exceeded its time limit")
	// ErrAborted reports that requests in flight were aborted.
	ErrAborted = errors.New("requests in flight were aborted")
)

const (
	// endTime is how long requests have to end after End, before they are aborted.
	endTime = 150 * time.Millisecond
	// endPoll is the time between two checks whether they have.
	endPoll = 5 * time.Millisecond
)

// progressLogDelay is how long a shutdown waits for requests before it logs, once, how many
// are still in flight.
const progressLogDelay = 5 * time.Second

var evWaiting = eventlog.Define(1305, zerolog.InfoLevel, "waiting for requests in flight")

// Steps holds the actions and limits of a shutdown.
type Steps struct {
	// Leave removes the host from the look-up answers of all hosts that can be reached.
	Leave func(ctx context.Context)
	// LookupWait is how long callers may still use look-up answers that name this host.
	LookupWait time.Duration
	// Close stops accepting requests and returns when all have ended, or with ctx's error.
	Close func(ctx context.Context) error
	// End makes every request in flight end with a final response.
	End func()
	// Abort aborts every request in flight.
	Abort func()
	// InFlight returns the number of requests in flight.
	InFlight func() int64
	// Limit bounds the duration of the whole shutdown.
	Limit time.Duration
}

// Run carries out a planned shutdown. Shortly before the limit it stops waiting, ends the requests in
// flight and aborts those that have not ended at once. When ctx ends, it aborts all of them. If there
// were any, it returns an error that matches both ErrAborted and the cause; otherwise it returns nil.
func Run(ctx context.Context, log zerolog.Logger, s Steps) error {
	started := time.Now()
	ctx, cancel := context.WithTimeoutCause(ctx, s.Limit-min(endTime, s.Limit/2), ErrTimeLimit)
	defer cancel()
	evLeaving.Log(log).Int64("in_flight", s.InFlight()).Dur("wait_ms", s.LookupWait).Send()
	s.Leave(ctx)
	waitFor(ctx, s.LookupWait)
	evClosing.Log(log).Int64("in_flight", s.InFlight()).Send()
	progress := time.AfterFunc(progressLogDelay, func() {
		evWaiting.Log(log).Int64("in_flight", s.InFlight()).Send()
	})
	defer progress.Stop()
	err := s.Close(ctx)
	if err == nil {
		evFinished.Log(log).Dur("took_ms", time.Since(started)).Send()
		return nil
	}
	remaining := s.InFlight()
	if ctx.Err() != nil {
		err = context.Cause(ctx)
	}
	if errors.Is(err, ErrTimeLimit) {
		s.endRequests()
	}
	s.Abort()
	evAborted.Log(log).Int64("requests", remaining).Err(err).Send()
	if remaining == 0 {
		return nil
	}
	return errors.Mark(errors.Wrapf(err, "%d requests in flight were aborted", remaining), ErrAborted)
}

// endRequests ends the requests in flight and waits until they have, for endTime at most.
func (s Steps) endRequests() {
	s.End()
	for end := time.Now().Add(endTime); s.InFlight() > 0 && time.Now().Before(end); {
		time.Sleep(endPoll)
	}
}

// waitFor waits for d or the end of ctx.
func waitFor(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
