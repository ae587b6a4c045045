// Package load sends open-loop load to entry hosts and checks the outcome of
// each request.
//
// Arrivals follow a schedule that does not wait for responses. Latency is measured
// from the scheduled time, so that a stall counts for every request that it delays
// (no coordinated omission).
package load

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"time"
)

// Kind describes a group of requests with the same method, path, size and run time.
type Kind struct {
	// Name appears in reports and is part of each request id.
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
	// Long marks requests as long; targets count them separately in their records.
	Long bool `toml:"long"`
	// BodyBytes is the size of the request body.
	BodyBytes int `toml:"body_bytes"`
	// ResponseBytes is the size of the response body. If it is 0, the target sends a
	// short response that contains the request id.
	ResponseBytes int `toml:"answer_bytes"`
	// TimeoutMS is the timeout that callers send with a request, in milliseconds. 0 means none.
	TimeoutMS int `toml:"timeout_ms"`
	// Keyed adds an idempotency key to each request.
	Keyed bool `toml:"keyed"`
	// Region is the region of all callers. If empty, callers are spread evenly over all regions.
	Region string `toml:"region"`
}

// scheduledRequest is one request with its scheduled time.
type scheduledRequest struct {
	kind *Kind
	seq  int
	at   time.Duration
	// runMS is the run time that the request asks for, in milliseconds.
	runMS float64
	// region is the index of the caller's region; client is the caller's number
	// within the region's address block.
	region int
	client int
	// fixedID and fixedKey are set only for planned requests.
	fixedID  string
	fixedKey string
}

// id returns the request id. It is unique within a run, except that the resends of a
// planned request share the id of the first one.
func (s *scheduledRequest) id(runID string) string {
	if s.fixedID != "" {
		return s.fixedID
	}
	return fmt.Sprintf("%s-%s-%d", runID, s.kind.Name, s.seq)
}

// clientsPerRegion is the number of caller addresses in each region.
const clientsPerRegion = 32

// schedule generates all requests of a kind for the duration, with Poisson arrivals.
func schedule(k *Kind, regions []string, seed uint64, duration time.Duration) []scheduledRequest {
	rnd := rand.New(rand.NewPCG(seed, hashName(k.Name)))
	var requests []scheduledRequest
	at := 0.0
	for seq := 0; ; seq++ {
		at += rnd.ExpFloat64() / k.RatePerSecond
		if at >= duration.Seconds() {
			return requests
		}
		requests = append(requests, scheduledRequest{
			kind: k, seq: seq, at: time.Duration(at * float64(time.Second)),
			runMS:  k.RunMS * math.Exp(k.RunSigma*rnd.NormFloat64()),
			region: pickRegion(k, regions, rnd), client: 1 + rnd.IntN(clientsPerRegion),
		})
	}
}

// pickRegion returns the index of the kind's region, or of a random one when the
// kind has none.
func pickRegion(k *Kind, regions []string, rnd *rand.Rand) int {
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

// idempotent reports whether the method allows a request to run more than once.
func (k *Kind) idempotent() bool { return k.method() == http.MethodGet || k.method() == http.MethodPut }
