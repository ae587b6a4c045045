// Package placement compares policies that choose the target of a request in a
// discrete-event simulation, with emulated targets, no sockets and a simulated clock,
// so that a comparison takes seconds. The same file and seed always give the same
// results.
//
// file.go reads an experiment, target.go emulates a target with cached objects, a
// queue, random run times and slowdowns, policy.go has the policies, and run.go
// processes the events in order of their time.
package placement

import (
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"
)

// File is an experiment definition in TOML.
type File struct {
	Name     string   `toml:"name"`
	Seed     uint64   `toml:"seed"`
	Seconds  float64  `toml:"seconds"`
	Policies []string `toml:"policies"`
	// HostsPerRegion is the number of hosts in each region.
	HostsPerRegion int `toml:"hosts_per_region"`
	// RegionOneWayMS is the one-way latency between two regions, in milliseconds.
	RegionOneWayMS float64      `toml:"region_ms"`
	Regions        []Region     `toml:"region"`
	Target         TargetSpec   `toml:"target"`
	Kinds          []Kind       `toml:"kind"`
	Slow           []SlowPeriod `toml:"slow"`
}

// Region is a region with its targets and callers.
type Region struct {
	Name    string `toml:"name"`
	Targets int    `toml:"targets"`
	// CallerWeight is the weight of the region's share of all requests.
	CallerWeight float64 `toml:"callers"`
}

// TargetSpec describes all targets of an experiment.
type TargetSpec struct {
	Slots int `toml:"slots"`
	// Queue is the number of requests that may wait; further ones are shed.
	Queue int `toml:"queue"`
	// CachedRunFactor is the cached run time of a request as a fraction of the uncached one.
	CachedRunFactor float64 `toml:"warm"`
	// CacheSize is the number of objects that a target caches.
	CacheSize int `toml:"objects"`
	// Noise is the sigma of the log-normal distribution of run times.
	Noise float64 `toml:"noise"`
}

// Kind describes requests with the same run time, latency objective and value.
type Kind struct {
	Name        string  `toml:"name"`
	PerSecond   float64 `toml:"per_second"`
	RunMS       float64 `toml:"run_ms"`
	ObjectiveMS float64 `toml:"objective_ms"`
	// Objects is the number of objects that requests refer to; Zipf is the exponent
	// of the distribution of requests over them, above 1.
	Objects uint64  `toml:"objects"`
	Zipf    float64 `toml:"zipf"`
	// Value is the value of a request that is served within its objective. 0 means 1.
	Value float64 `toml:"worth"`
}

// SlowPeriod is a period in which run times at a share of the targets are multiplied by a
// factor.
type SlowPeriod struct {
	AtSeconds  float64 `toml:"at_seconds"`
	ForSeconds float64 `toml:"for_seconds"`
	Share      float64 `toml:"share"`
	Factor     float64 `toml:"times"`
}

// lateValueShare is the share of its value that a request earns when it misses its
// latency objective.
const lateValueShare = 0.2

// Load reads and validates an experiment file.
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
