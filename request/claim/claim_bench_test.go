package claim

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"quetzalknot/platform"
	"quetzalknot/platform/memory"
	"quetzalknot/process/metrics"
)

// remoteTable is a table service with a one-way delay of 35 ms.
type remoteTable struct {
	platform.Table
	commits atomic.Int64
}

const oneWayDelay = 35 * time.Millisecond

// Commit implements platform.Table.
func (t *remoteTable) Commit(ctx context.Context, c []platform.Condition, w []platform.Write) (int64, error) {
	t.commits.Add(1)
	time.Sleep(2 * oneWayDelay)
	return t.Table.Commit(ctx, c, w)
}

// BenchmarkFindOwner measures the latency that finding the owner of a key adds to a
// request, for keys with a prefix and for keys that need a row, and the commit rate of
// one host.
func BenchmarkFindOwner(b *testing.B) {
	for _, hosts := range []int{7, 910} {
		for _, rate := range []int{2, 20} {
			b.Run(fmt.Sprintf("row/hosts=%d/keys_per_second=%d", hosts, rate), func(b *testing.B) { benchmarkRows(b, hosts, rate) })
		}
	}
	b.Run("prefix", func(b *testing.B) {
		c := newClaims(&remoteTable{Table: &memory.Table{}}, 7)
		key := Prefix(c.opts.Self(), time.Now()) + "01J"
		for b.Loop() {
			if _, err := c.FindOwner(b.Context(), "r", key); err != nil {
				b.Fatal(err)
			}
		}
	})
}

func newClaims(table platform.Table, hosts int) *Claims {
	return New(Options{
		Self: func() Owner { return Owner{Host: "h1", Incarnation: 5} }, Table: table, KeyLifetime: time.Hour,
		MaxKeys: 100_000, MaxResponseBytes: 1 << 20, Hosts: func() int { return hosts },
	}, metrics.NewSet(), zerolog.Nop())
}

func benchmarkRows(b *testing.B, hosts, rate int) {
	table := &remoteTable{Table: &memory.Table{}}
	c := newClaims(table, hosts)
	ctx, cancel := context.WithCancel(b.Context())
	defer cancel()
	go c.Run(ctx)
	var mu sync.Mutex
	var took []time.Duration
	var wg sync.WaitGroup
	start := time.Now()
	for i := 0; b.Loop(); i++ {
		wg.Go(func() {
			began := time.Now()
			if _, err := c.FindOwner(ctx, "r", fmt.Sprint("key-", i)); err != nil {
				b.Error(err)
			}
			mu.Lock()
			defer mu.Unlock()
			took = append(took, time.Since(began))
		})
		time.Sleep(time.Second / time.Duration(rate))
	}
	wg.Wait()
	slices.Sort(took)
	b.ReportMetric(float64(took[len(took)/2].Milliseconds()), "p50-ms")
	b.ReportMetric(float64(took[len(took)*99/100].Milliseconds()), "p99-ms")
	b.ReportMetric(float64(table.commits.Load())/time.Since(start).Seconds(), "commits/s")
}
