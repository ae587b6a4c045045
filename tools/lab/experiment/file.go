// Package experiment runs the same load under several policies and variants,
// interleaved in one run, and collects the results of each.
package experiment

import (
	"bytes"
	"os"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"

	"quetzalknot/tools/lab/cluster"
	"quetzalknot/tools/lab/load"
)

// File is an experiment definition in TOML.
type File struct {
	Name string `toml:"name"`
	// Deployment is skiptidagur or galleries.
	Deployment string `toml:"deployment"`
	Seed       uint64 `toml:"seed"`
	// SegmentSeconds is how long each variant runs under each policy; latencies of
	// the first WarmupSeconds are excluded.
	SegmentSeconds float64 `toml:"segment_seconds"`
	WarmupSeconds  float64 `toml:"warmup_seconds"`
	// Repeats is the number of times that all variants and policies are run. Default 1.
	Repeats int `toml:"repeats"`
	// CallerAttempts is the maximum number of attempts of a caller for one request.
	// Default 1.
	CallerAttempts int      `toml:"caller_attempts"`
	Policies       []string `toml:"policies"`
	// Kinds are the kinds of requests that variants refer to by name.
	Kinds    []load.Kind `toml:"kind"`
	Variants []Variant   `toml:"variant"`
}

// Variant is a load together with the faults injected during it.
type Variant struct {
	Name string `toml:"name"`
	// Kinds are the names of the kinds of requests that are sent.
	Kinds []string `toml:"kinds"`
	// BaseVariant is the name of the base variant: the report divides this variant's p99
	// latency of the judged kind by that of the base variant.
	BaseVariant string `toml:"against"`
	// JudgedKind is the name of the kind whose p99 latency is compared.
	JudgedKind string `toml:"judged"`
	// MaxRatio is the largest ratio with which the variant meets its goal.
	MaxRatio float64 `toml:"bound"`
	Faults   []Fault `toml:"fault"`
	// HedgeShare limits hedged attempts as a share of first attempts; 0 means the default.
	HedgeShare float64 `toml:"hedge_share"`
}

// Fault is a fault injected during a segment.
type Fault struct {
	cluster.Fault
	// AtSeconds and UntilSeconds are the start and end, counted from the segment's
	// start. An UntilSeconds of 0 means until the segment's end.
	AtSeconds    float64 `toml:"at_seconds"`
	UntilSeconds float64 `toml:"until_seconds"`
}

// Load reads and validates an experiment file.
func Load(path string) (*File, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var f File
	if err := toml.NewDecoder(bytes.NewReader(data)).DisallowUnknownFields().Decode(&f); err != nil {
		return nil, errors.Wrap(err, path)
	}
	f.Repeats = max(1, f.Repeats)
	f.CallerAttempts = max(1, f.CallerAttempts)
	return &f, errors.Wrap(f.check(), path)
}

func (f *File) check() error {
	if _, err := cluster.DeploymentByName(f.Deployment); err != nil {
		return err
	}
	if f.SegmentSeconds <= f.WarmupSeconds || len(f.Policies) == 0 || len(f.Variants) == 0 {
		return errors.Newf("experiment %q: give policies, variants and segment_seconds above warmup_seconds", f.Name)
	}
	for _, v := range f.Variants {
		for _, name := range v.Kinds {
			if !slices.ContainsFunc(f.Kinds, func(k load.Kind) bool { return k.Name == name }) {
				return errors.Newf("variant %q: kind %q is not defined", v.Name, name)
			}
		}
		for _, fault := range v.Faults {
			if err := fault.Check(); err != nil {
				return errors.Wrapf(err, "variant %q", v.Name)
			}
		}
	}
	return nil
}

// kinds returns the kinds that the variant sends.
func (f *File) kinds(v *Variant) []load.Kind {
	var kinds []load.Kind
	for _, k := range f.Kinds {
		if slices.Contains(v.Kinds, k.Name) {
			kinds = append(kinds, k)
		}
	}
	return kinds
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Select keeps only the named policies and variants; an empty list keeps all.
func (f *File) Select(policies, variants []string) error {
	if len(policies) > 0 {
		f.Policies = policies
	}
	if len(variants) == 0 {
		return nil
	}
	f.Variants = slices.DeleteFunc(f.Variants, func(v Variant) bool { return !slices.Contains(variants, v.Name) })
	if len(f.Variants) != len(variants) {
		return errors.Newf("variants %q: not all of them are defined in experiment %q", variants, f.Name)
	}
	return nil
}
