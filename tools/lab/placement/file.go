// Package placement compares policies that choose the target of a request, against
// emulated targets, without sockets and on an emulated clock, so that a policy can be
// judged in seconds. The same file and seed always give the same figures.
//
// file.go reads an experiment, target.go emulates a target that has warm objects, a
// queue, noise and disturbances, policy.go has the policies, run.go lets time pass.
package placement

import (
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"
)

// File is an experiment.
type File struct {
	Name     string   `toml:"name"`
	Seed     uint64   `toml:"seed"`
	Seconds  float64  `toml:"seconds"`
	Policies []string `toml:"policies"`
	// HostsPerRegion is how many hosts each region has.
	HostsPerRegion int `toml:"hosts_per_region"`
	// RegionMS is the way between two regions, there, in milliseconds.
	RegionMS float64  `toml:"region_ms"`
	Regions  []Region `toml:"region"`
	Target   Target   `toml:"target"`
	Kinds    []Kind   `toml:"kind"`
	Slow     []Slow   `toml:"slow"`
}

// Region is a place with targets and callers.
type Region struct {
	Name    string `toml:"name"`
	Targets int    `toml:"targets"`
	// Callers is the region's share of the requests, against those of the others.
	Callers float64 `toml:"callers"`
}

// Target says how targets are.
type Target struct {
	Slots int `toml:"slots"`
	// Queue is how many requests wait; more are shed.
	Queue int `toml:"queue"`
	// Warm is the part of the run time that a warm object needs, and Objects how many
	// objects stay warm.
	Warm    float64 `toml:"warm"`
	Objects int     `toml:"objects"`
	// Noise is the spread of run times (the sigma of a log-normal distribution).
	Noise float64 `toml:"noise"`
}

// Kind is a kind of requests.
type Kind struct {
	Name        string  `toml:"name"`
	PerSecond   float64 `toml:"per_second"`
	RunMS       float64 `toml:"run_ms"`
	ObjectiveMS float64 `toml:"objective_ms"`
	// Objects is how many objects the requests concern; Zipf is how unevenly (above 1).
	Objects uint64  `toml:"objects"`
	Zipf    float64 `toml:"zipf"`
	Worth   float64 `toml:"worth"`
}

// Slow is a time in which a share of the targets takes longer.
type Slow struct {
	AtSeconds  float64 `toml:"at_seconds"`
	ForSeconds float64 `toml:"for_seconds"`
	Share      float64 `toml:"share"`
	Times      float64 `toml:"times"`
}

// lateWorth is the part of its worth that a late answer has.
const lateWorth = 0.2

// Load reads and checks an experiment.
func Load(path string) (*File, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	f := new(File)
	if err := toml.Unmarshal(data, f); err != nil {
		return nil, errors.Wrap(err, path)
	}
	return f, errors.Wrap(f.check(), path)
}

func (f *File) check() error {
	switch {
	case f.Seconds <= 0:
		return errors.Newf("seconds is %v, not above 0", f.Seconds)
	case f.HostsPerRegion <= 0:
		return errors.Newf("hosts_per_region is %d, not above 0", f.HostsPerRegion)
	case len(f.Regions) == 0 || len(f.Kinds) == 0:
		return errors.New("an experiment needs regions and kinds")
	case f.Target.Slots <= 0:
		return errors.Newf("target.slots is %d, not above 0", f.Target.Slots)
	}
	for _, k := range f.Kinds {
		if k.PerSecond <= 0 || k.RunMS <= 0 || k.ObjectiveMS <= 0 || k.Objects == 0 || k.Zipf <= 1 {
			return errors.Newf("kind %q: per_second, run_ms, objective_ms and objects must be above 0, zipf above 1", k.Name)
		}
	}
	for _, name := range f.Policies {
		if policies[name] == nil {
			return errors.Newf("policy %q is unknown", name)
		}
	}
	return nil
}

func millis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
