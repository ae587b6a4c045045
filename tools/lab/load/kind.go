// Package load sends open-loop load to entry hosts and checks what became of
// each request.
//
// Arrivals follow a schedule that does not wait for answers, and latency counts
// from the scheduled moment, so that a stall cannot hide the requests behind it.
package load

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"time"
)

// Kind describes requests that have the same shape.
type Kind struct {
	// Name appears in reports and starts each request id.
	Name    string `toml:"name"`
	Service string `toml:"service"`
	// Method defaults to GET.
	Method string `toml:"method"`
	Path   string `toml:"path"`
	// RatePerSecond is the mean rate of Poisson arrivals over all regions.
	RatePerSecond float64 `toml:"rate_per_second"`
	// RunMS is the median run time at a target, in milliseconds; RunSigma is the
	// standard deviation of its logarithm.
	RunMS    float64 `toml:"run_ms"`
	RunSigma float64 `toml:"run_sigma"`
	// Long marks long work for the targets' records.
	Long bool `toml:"long"`
	// BodyBytes and AnswerBytes are the sizes of the bodies. An AnswerBytes of 0
	// asks for the short answer that names the request.
	BodyBytes   int `toml:"body_bytes"`
	AnswerBytes int `toml:"answer_bytes"`
	// TimeoutMS is the deadline that callers state, in milliseconds. 0 means none.
	TimeoutMS int `toml:"timeout_ms"`
	// Keyed gives each request an idempotency key.
	Keyed bool `toml:"keyed"`
	// Region limits the callers to one region. Empty means all, evenly.
	Region string `toml:"region"`
}

// shot is one scheduled request.
type shot struct {
	kind *Kind
	seq  int
	at   time.Duration
	// runMS is the run time that the request asks for, in milliseconds.
	runMS float64
	// region is where the caller stands; client is its address within the block.
	region int
	client int
	// fixedID and fixedKey are set for planned requests.
	fixedID  string
	fixedKey string
}

// id returns the request id in a run.
func (s *shot) id(runID string) string {
	if s.fixedID != "" {
		return s.fixedID
	}
	return fmt.Sprintf("%s-%s-%d", runID, s.kind.Name, s.seq)
}

// clientsPerRegion is how many caller addresses each region has.
const clientsPerRegion = 32

// schedule draws all requests of a kind for the duration.
func schedule(k *Kind, regions []string, seed uint64, duration time.Duration) []shot {
	rnd := rand.New(rand.NewPCG(seed, hashName(k.Name)))
	var shots []shot
	at := 0.0
	for seq := 0; ; seq++ {
		at += rnd.ExpFloat64() / k.RatePerSecond
		if at >= duration.Seconds() {
			return shots
		}
		shots = append(shots, shot{
			kind: k, seq: seq, at: time.Duration(at * float64(time.Second)),
			runMS:  k.RunMS * math.Exp(k.RunSigma*rnd.NormFloat64()),
			region: regionOf(k, regions, rnd), client: 1 + rnd.IntN(clientsPerRegion),
		})
	}
}

func regionOf(k *Kind, regions []string, rnd *rand.Rand) int {
	for i, r := range regions {
		if r == k.Region {
			return i
		}
	}
	return rnd.IntN(len(regions))
}

func (k *Kind) method() string {
	if k.Method == "" {
		return http.MethodGet
	}
	return k.Method
}

// idempotent reports whether running a request twice does no harm.
func (k *Kind) idempotent() bool { return k.method() == http.MethodGet || k.method() == http.MethodPut }
