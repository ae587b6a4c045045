// Package replay sends the requests of recorded traces to a cluster in one process,
// injects faults and submits tickets at planned times, and compares the outcome with
// an expected one.
//
// plan.go reads a plan, run.go replays its trace, record.go records a new trace.
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
	"quetzalknot/tools/lab/cluster"
	"quetzalknot/tools/lab/load"
	"quetzalknot/version/config"
)

// Plan describes a replay and its expected outcome, in TOML.
type Plan struct {
	Name string `toml:"name"`
	// Deployment is the name of the deployment to start, skiptidagur or galleries.
	Deployment string `toml:"deployment"`
	// Trace is the name of the trace file, in the same folder as the plan.
	Trace string `toml:"trace"`
	Steps []Step `toml:"step"`
	// Expect is the expected outcome. In addition, the replay must have no guarantee
	// violations, as load.Result.Violations counts them.
	Expect Expect `toml:"expect"`
	// Record describes the load that the trace was recorded from.
	Record RecordedLoad `toml:"record"`

	folder string
}

// Step is an action at a planned time of the replay: a fault, a ticket or a restart.
type Step struct {
	// AtMS is the start, in milliseconds after the start of the replay; ForMS is the
	// duration of a fault.
	AtMS  int `toml:"at_ms"`
	ForMS int `toml:"for_ms"`
	// Fault is injected at the start and removed after ForMS.
	Fault *cluster.Fault `toml:"fault"`
	// Leaving lists hosts and targets that a ticket marks as leaving.
	Leaving []config.Leaving `toml:"leaving"`
	// Restart is the number of a host, counted from 1, that is stopped gracefully and
	// started again. 0 means none.
	Restart int `toml:"restart"`
}

// Expect limits the counts of an outcome.
type Expect struct {
	// Sent is the exact number of requests.
	Sent int `toml:"sent"`
	// MinRan, MaxNotRun and MaxMayHaveRun limit the verdicts that callers received.
	MinRan        int `toml:"min_ran"`
	MaxNotRun     int `toml:"max_not_run"`
	MaxMayHaveRun int `toml:"max_may_have_run"`
}

// RecordedLoad describes the load that a trace is recorded from.
type RecordedLoad struct {
	DurationMS int         `toml:"duration_ms"`
	Seed       uint64      `toml:"seed"`
	Kinds      []load.Kind `toml:"kind"`
	// ResendEvery makes callers send every n-th request with a key twice. 0 means none.
	ResendEvery int `toml:"resend_every"`
	// ResendAfterMS is the time between the two, in milliseconds.
	ResendAfterMS int `toml:"resend_after_ms"`
}

// Load reads and validates a plan.
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

func (p *Plan) readTrace() ([]trace.Entry, error) {
	file, err := os.Open(p.tracePath())
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	entries, err := trace.Read(file)
	return entries, errors.Wrap(err, p.Trace)
}

// Outcome counts the outcomes of all requests of a replay.
type Outcome struct {
	Name string
	load.Result
	// Differences lists the differences from the plan's expected outcome.
	Differences []string
}

// String returns one line with all counts.
func (o *Outcome) String() string {
	r := &o.Result
	return fmt.Sprintf("%s: sent=%d ran=%d not-run=%d may-have-run=%d lost=%d doubled=%d crossed=%d cut=%d unanswered=%d false-not-run=%d",
		o.Name, r.Sent, r.Ran, r.NotRun, r.MayHaveRun, r.Lost, r.RanTwice, r.Mismatched, r.Truncated, r.Unanswered, r.FalseNotRun)
}

// compare records each difference from the expected outcome.
func (o *Outcome) compare(e Expect) {
	o.check(o.Violations() == 0, "%d guarantee violations, want none", o.Violations())
	o.check(o.Sent == e.Sent, "%d requests were sent, want %d", o.Sent, e.Sent)
	o.check(o.Ran >= e.MinRan, "%d ran, want at least %d", o.Ran, e.MinRan)
	o.check(o.NotRun <= e.MaxNotRun, "%d not-run, want at most %d", o.NotRun, e.MaxNotRun)
	o.check(o.MayHaveRun <= e.MaxMayHaveRun, "%d may-have-run, want at most %d", o.MayHaveRun, e.MaxMayHaveRun)
}

// check appends the formatted difference unless ok is true.
func (o *Outcome) check(ok bool, format string, args ...any) {
	if !ok {
		o.Differences = append(o.Differences, fmt.Sprintf(format, args...))
	}
}

func milliseconds(n int) time.Duration { return time.Duration(n) * time.Millisecond }
