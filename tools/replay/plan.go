// Package replay sends recorded traces to a whole deployment in one process, with
// faults and tickets at stated times, and compares the outcome with a stated one.
//
// plan.go reads a plan, run.go replays its trace, record.go records a new one.
package replay

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"

	"quetzalknot/request/trace"
	"quetzalknot/tools/lab/fleet"
	"quetzalknot/tools/lab/load"
	"quetzalknot/version/config"
)

// Plan is one replay with its stated outcome, in TOML.
type Plan struct {
	Name string `toml:"name"`
	// Deployment is the name of a fleet's deployment.
	Deployment string `toml:"deployment"`
	// Trace is a file beside the plan.
	Trace string `toml:"trace"`
	Steps []Step `toml:"step"`
	// Expect is the outcome. Whatever it says, no request may be lost, doubled,
	// crossed, cut, unanswered, or falsely told not-run.
	Expect Expect `toml:"expect"`
	// Record says how the trace was recorded.
	Record Record `toml:"record"`

	folder string
}

// Step is something that happens at a moment of the replay.
type Step struct {
	// AtMS is when it begins, in milliseconds; ForMS is how long a fault lasts.
	AtMS  int `toml:"at_ms"`
	ForMS int `toml:"for_ms"`
	// Fault is a fault of the fleet.
	Fault *fleet.Fault `toml:"fault"`
	// Leaving is submitted as a ticket.
	Leaving []config.Leaving `toml:"leaving"`
	// Restart stops a host gracefully and starts it again: its number from 1.
	Restart int `toml:"restart"`
}

// Expect bounds the outcome.
type Expect struct {
	// Sent is the exact number of requests.
	Sent int `toml:"sent"`
	// MinRan, MaxNotRun and MaxMayHaveRun bound the verdicts that callers were told.
	MinRan        int `toml:"min_ran"`
	MaxNotRun     int `toml:"max_not_run"`
	MaxMayHaveRun int `toml:"max_may_have_run"`
}

// Record describes the load that a trace is recorded from.
type Record struct {
	DurationMS int         `toml:"duration_ms"`
	Seed       uint64      `toml:"seed"`
	Kinds      []load.Kind `toml:"kind"`
	// ResendEvery makes each n-th request with a key be sent twice. 0 means none.
	ResendEvery int `toml:"resend_every"`
	// ResendAfterMS is the time between the two.
	ResendAfterMS int `toml:"resend_after_ms"`
}

// Load reads a plan.
func Load(path string) (*Plan, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	p := &Plan{folder: filepath.Dir(path)}
	if err := toml.NewDecoder(bytes.NewReader(data)).DisallowUnknownFields().Decode(p); err != nil {
		return nil, errors.Wrap(err, path)
	}
	for i := range p.Steps {
		if ft := p.Steps[i].Fault; ft != nil {
			if err := ft.Check(); err != nil {
				return nil, errors.Wrapf(err, "%s: step %d", path, i+1)
			}
		}
	}
	return p, nil
}

func (p *Plan) tracePath() string { return filepath.Join(p.folder, p.Trace) }

func (p *Plan) entries() ([]trace.Entry, error) {
	file, err := os.Open(p.tracePath())
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	entries, err := trace.Read(file)
	return entries, errors.Wrap(err, p.Trace)
}

// Outcome is what became of the requests of a replay.
type Outcome struct {
	Name string
	load.Result
	// Faults are the differences from the plan.
	Faults []string
}

// String returns one line with all counts.
func (o *Outcome) String() string {
	r := &o.Result
	return fmt.Sprintf("%s: sent=%d ran=%d not-run=%d may-have-run=%d lost=%d doubled=%d crossed=%d cut=%d unanswered=%d false-not-run=%d",
		o.Name, r.Sent, r.Ran, r.NotRun, r.MayHaveRun, r.Lost, r.Doubled, r.Crossed, r.Cut, r.Unanswered, r.FalseNotRun)
}

// compare notes each difference from the stated outcome.
func (o *Outcome) compare(e Expect) {
	o.require(o.Broken() == 0, "a promise was broken for %d requests", o.Broken())
	o.require(o.Sent == e.Sent, "%d requests were sent, stated %d", o.Sent, e.Sent)
	o.require(o.Ran >= e.MinRan, "%d ran, stated at least %d", o.Ran, e.MinRan)
	o.require(o.NotRun <= e.MaxNotRun, "%d not-run, stated at most %d", o.NotRun, e.MaxNotRun)
	o.require(o.MayHaveRun <= e.MaxMayHaveRun, "%d may-have-run, stated at most %d", o.MayHaveRun, e.MaxMayHaveRun)
}

func (o *Outcome) require(ok bool, format string, args ...any) {
	if !ok {
		o.Faults = append(o.Faults, fmt.Sprintf(format, args...))
	}
}

func milliseconds(n int) time.Duration { return time.Duration(n) * time.Millisecond }
