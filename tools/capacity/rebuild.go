package capacity

import (
	"context"
	"crypto/sha256"
	"net/netip"
	"runtime"
	"runtime/debug"
	"runtime/metrics"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"quetzalknot/version/lookup"
)

// RebuildCost is the cost of a full rebuild of the block table on a host that handles look-ups.
type RebuildCost struct {
	Blocks int
	// Before, Peak and After are the memory of the Go runtime in bytes. They exclude
	// the stored table, which a host reads in parts.
	Before, Peak, After int64
	// Load is the wall time of the rebuild.
	Load time.Duration
	// Idle and During are the look-up times without and during the rebuild.
	Idle, During LookupTimes
}

// LookupTimes summarises the times of single look-ups. OverLimit counts those above
// lookupTimeLimit.
type LookupTimes struct {
	Lookups   int64
	P9999     time.Duration
	Max       time.Duration
	OverLimit int64
}

const (
	// lookupTimeLimit is the longest look-up time that a rebuild may cause.
	lookupTimeLimit = time.Millisecond
	// maxLookupTime is the largest look-up time that the histogram holds.
	maxLookupTime = 10 * time.Second
	// lookupPause is the time between two bursts of look-ups.
	lookupPause = 200 * time.Microsecond
	// lookupBurst is the number of look-ups in a burst.
	lookupBurst = 20
)

// MeasureRebuild loads a table of the full size, then loads a second one while look-ups
// continue, and replaces the first with it.
func MeasureRebuild(ctx context.Context, full int) (*RebuildCost, error) {
	blocks := Blocks(full, 1)
	clients := ClientAddrs(blocks, clientCount, 1)
	table, err := buildTable(blocks)
	if err != nil {
		return nil, err
	}
	data, err := lookup.Encode(table)
	if err != nil {
		return nil, err
	}
	blocks, table = nil, nil
	sum := lookup.Sum(sha256.Sum256(data))
	out := &RebuildCost{Blocks: full}
	debug.FreeOSMemory()
	baseline := runtimeMemory()
	var inForce atomic.Pointer[lookup.View]
	first, err := loadView(ctx, data, sum, 1)
	if err != nil {
		return nil, err
	}
	inForce.Store(first)
	first = nil
	debug.FreeOSMemory()
	out.Before = runtimeMemory() - baseline
	idleStart := time.Now()
	out.Idle = timeLookups(&inForce, clients, func() bool { return time.Since(idleStart) < 500*time.Millisecond })
	done := make(chan struct{})
	var peak atomic.Int64
	go func() {
		defer close(done)
		start := time.Now()
		var next *lookup.View
		if next, err = loadView(ctx, data, sum, 2); err == nil {
			inForce.Store(next)
		}
		runtime.GC()
		out.Load = time.Since(start)
	}()
	go samplePeak(done, &peak)
	out.During = timeLookups(&inForce, clients, func() bool {
		select {
		case <-done:
			return false
		default:
			return true
		}
	})
	out.Peak = peak.Load() - baseline
	debug.FreeOSMemory()
	out.After = runtimeMemory() - baseline
	runtime.KeepAlive(data)
	runtime.KeepAlive(inForce.Load())
	return out, err
}

func loadView(ctx context.Context, data []byte, sum lookup.Sum, version uint64) (*lookup.View, error) {
	snap, err := lookup.NewLoader(sum).Read(ctx, bytesObject(data))
	if err != nil {
		return nil, err
	}
	in := inputsOf(snap.Table, 910)
	in.Version = version
	return lookup.NewView(in), nil
}

// samplePeak stores the largest memory use in peak until done is closed.
func samplePeak(done <-chan struct{}, peak *atomic.Int64) {
	for {
		peak.Store(max(peak.Load(), runtimeMemory()))
		select {
		case <-done:
			return
		case <-time.After(2 * time.Millisecond):
		}
	}
}

// runtimeMemory returns the memory of the Go runtime in bytes, without the part that it
// has returned to the operating system.
func runtimeMemory() int64 {
	samples := []metrics.Sample{{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"}}
	metrics.Read(samples)
	return int64(samples[0].Value.Uint64() - samples[1].Value.Uint64())
}

func timeLookups(inForce *atomic.Pointer[lookup.View], clients []netip.Addr, more func() bool) LookupTimes {
	h := hdrhistogram.New(1, maxLookupTime.Nanoseconds(), 3)
	var out LookupTimes
	for i := 0; more(); {
		for range lookupBurst {
			client := clients[i%len(clients)]
			start := time.Now()
			inForce.Load().ChooseHosts("bokun", client, lookup.CallerKey(client, ""))
			took := time.Since(start)
			_ = h.RecordValue(took.Nanoseconds()) // larger values do not occur
			if took > lookupTimeLimit {
				out.OverLimit++
			}
			i++
		}
		time.Sleep(lookupPause)
	}
	out.Lookups = h.TotalCount()
	out.P9999 = time.Duration(h.ValueAtQuantile(99.99))
	out.Max = time.Duration(h.Max())
	return out
}
