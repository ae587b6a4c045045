package drain

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
)

// fakeHost is a host whose last request ends at a given time.
type fakeHost struct {
	started time.Time
	ends    time.Duration
	calls   []string
	closed  time.Duration
}

func (h *fakeHost) steps(limit time.Duration) Steps {
	return Steps{
		LookupWait: 2 * time.Second, Limit: limit,
		Leave: func(context.Context) { h.calls = append(h.calls, "leave") },
		Close: func(ctx context.Context) error {
			h.calls = append(h.calls, "close")
			h.closed = time.Since(h.started)
			select {
			case <-time.After(h.ends - h.closed):
				return nil
			case <-ctx.Done():
				return ctx.Err()
			}
		},
		End:   func() { h.calls = append(h.calls, "end") },
		Abort: func() { h.calls = append(h.calls, "cut") },
		InFlight: func() int64 {
			if time.Since(h.started) < h.ends {
				return 3
			}
			return 0
		},
	}
}

// TestRun checks the order and times of the steps of a shutdown, and its error, on a fake
// clock.
func TestRun(t *testing.T) {
	cases := []struct {
		name string
		// ends is when the last request ends, secondSignal when a second signal arrives (0
		// for none).
		ends, secondSignal time.Duration
		limit              time.Duration
		calls              []string
		closed             time.Duration
		cause              error
	}{
		{name: "idle", limit: time.Minute, calls: []string{"leave", "close"}, closed: 2 * time.Second},
		{name: "upload of 40 s", ends: 40 * time.Second, limit: time.Minute, calls: []string{"leave", "close"}, closed: 2 * time.Second},
		{name: "limit", ends: time.Hour, limit: time.Minute, calls: []string{"leave", "close", "end", "cut"}, closed: 2 * time.Second, cause: ErrTimeLimit},
		{name: "second signal while waiting", ends: time.Hour, secondSignal: time.Second, limit: time.Minute, calls: []string{"leave", "close", "cut"}, closed: time.Second, cause: context.Canceled},
		{name: "second signal while finishing", ends: time.Hour, secondSignal: 9 * time.Second, limit: time.Minute, calls: []string{"leave", "close", "cut"}, closed: 2 * time.Second, cause: context.Canceled},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := &fakeHost{started: time.Now(), ends: tc.ends}
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				if tc.secondSignal > 0 {
					time.AfterFunc(tc.secondSignal, cancel)
				}
				err := Run(ctx, zerolog.Nop(), h.steps(tc.limit))
				if !slices.Equal(h.calls, tc.calls) || h.closed != tc.closed {
					t.Errorf("got %v, closed after %v; want %v after %v", h.calls, h.closed, tc.calls, tc.closed)
				}
				if took := time.Since(h.started); took > tc.limit {
					t.Errorf("the shutdown took %v, more than its limit", took)
				}
				if tc.cause == nil && err != nil {
					t.Error(err)
				}
				if tc.cause != nil && (!errors.Is(err, tc.cause) || !errors.Is(err, ErrAborted)) {
					t.Errorf("got %v, want %v and ErrAborted", err, tc.cause)
				}
			})
		})
	}
}
