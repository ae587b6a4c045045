package experiment

import (
	"sync"
	"time"

	"quetzalknot/tools/lab/cluster"
)

// sampleInterval is the interval between samples of a segment.
const sampleInterval = 50 * time.Millisecond

// Sample is the load of all targets at one point in time.
type Sample struct {
	// AtSeconds is the time since the segment's start.
	AtSeconds float64 `json:"at_seconds"`
	// InFlight is the number of requests in flight at all targets.
	InFlight int `json:"in_flight"`
	// MaxSlotShare is the largest share of one target's slots in use.
	MaxSlotShare float64 `json:"busiest"`
}

// sampler records a sample at every interval until it is stopped.
type sampler struct {
	done    chan struct{}
	ended   sync.WaitGroup
	samples []Sample
}

func startSampler(c *cluster.Cluster) *sampler {
	s := &sampler{done: make(chan struct{})}
	s.ended.Go(func() { s.loop(c) })
	return s
}

func (s *sampler) loop(c *cluster.Cluster) {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	start := time.Now()
	for {
		select {
		case <-s.done:
			return
		case now := <-ticker.C:
			s.samples = append(s.samples, takeSample(c, now.Sub(start)))
		}
	}
}

func takeSample(c *cluster.Cluster, at time.Duration) Sample {
	sample := Sample{AtSeconds: at.Seconds()}
	for name, servers := range c.Targets {
		slots := float64(c.Service(name).Targets[0].Slots)
		for _, server := range servers {
			inFlight := server.InFlight()
			sample.InFlight += inFlight
			sample.MaxSlotShare = max(sample.MaxSlotShare, float64(inFlight)/slots)
		}
	}
	return sample
}

func (s *sampler) stop() []Sample {
	close(s.done)
	s.ended.Wait()
	return s.samples
}
