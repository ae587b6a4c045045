package admit

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"sync"
	"testing"
	"time"

	"quetzalknot/version/config"
)

// loadMix is the offered load of short and long requests, each as a share of all slots.
type loadMix struct {
	short, long float64
}

const (
	benchShortRun = 10 * time.Millisecond
	benchLongRun  = 400 * time.Millisecond
	benchLength   = 3 * time.Second
)

// offerLoad starts requests of one class at random times, independent of the completion
// of earlier ones (an open load), and returns their sorted times from arrival to
// completion.
func offerLoad(f *fixture, c config.Class, load float64, run time.Duration, rnd *rand.Rand) []time.Duration {
	if load == 0 {
		return nil
	}
	slots := len(f.service.Targets) * f.service.Targets[0].Slots
	perSecond := load * float64(slots) / run.Seconds()
	var mu sync.Mutex
	var times []time.Duration
	var group sync.WaitGroup
	arrival, end := time.Now(), time.Now().Add(benchLength)
	for n := 0; arrival.Before(end); n++ {
		time.Sleep(time.Until(arrival))
		at, hold := arrival, time.Duration(float64(run)*(0.5+rnd.Float64()))
		group.Go(func() {
			choice, err := f.Acquire(f.ctx, f.info(fmt.Sprint(c.Name, n), c, time.Minute), f.snap, nil)
			if err != nil {
				return
			}
			time.Sleep(hold)
			choice.Release()
			mu.Lock()
			defer mu.Unlock()
			times = append(times, time.Since(at))
		})
		arrival = arrival.Add(time.Duration(rnd.ExpFloat64() / perSecond * float64(time.Second)))
	}
	group.Wait()
	sort.Slice(times, func(i, j int) bool { return times[i] < times[j] })
	return times
}

func quantile(times []time.Duration, q float64) float64 {
	return float64(times[int(q*float64(len(times)-1))].Microseconds()) / 1000
}

// BenchmarkHeadOfLineBlocking reports percentiles of short requests, in milliseconds from
// arrival to completion, without and with long requests, at the sizes of current services.
func BenchmarkHeadOfLineBlocking(b *testing.B) {
	for _, size := range [][2]int{{20, 6}, {14, 6}, {12, 3}} {
		for _, m := range []loadMix{{0.6, 0}, {0.6, 0.2}, {0.6, 0.5}, {0.85, 0}, {0.85, 0.5}} {
			b.Run(fmt.Sprintf("targets=%dx%d/short=%.2f/long=%.2f", size[0], size[1], m.short, m.long), func(b *testing.B) {
				for range b.N {
					f := newFixture(size[0], size[1])
					f.ctx = b.Context()
					done := make(chan []time.Duration)
					go func() { done <- offerLoad(f, longClass, m.long, benchLongRun, rand.New(rand.NewPCG(1, 2))) }()
					short := offerLoad(f, shortClass, m.short, benchShortRun, rand.New(rand.NewPCG(3, 4)))
					long := <-done
					b.ReportMetric(quantile(short, 0.5), "short-p50-ms")
					b.ReportMetric(quantile(short, 0.99), "short-p99-ms")
					b.ReportMetric(quantile(short, 0.999), "short-p999-ms")
					b.ReportMetric(float64(len(long)), "long-done")
				}
			})
		}
	}
}
