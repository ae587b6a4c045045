package soak

import (
	"context"
	"sync"
	"time"
)

// injector injects faults. At least one host has no process fault at any time.
type injector struct {
	*cluster
	checker *checker
	copies  copies
	// starts are the goroutines that wait for started hosts.
	starts sync.WaitGroup

	mu sync.Mutex
	// reserved are the hosts that have a process fault.
	reserved map[int]bool
	// away counts the faults that make each target leave, and silences those that make the
	// store silent for each host, by index.
	away, silences map[int]int
	counts         map[Kind]int
}

func newInjector(c *cluster) *injector {
	return &injector{
		cluster: c, checker: newChecker(c), reserved: make(map[int]bool), away: make(map[int]int),
		silences: make(map[int]int), counts: make(map[Kind]int),
	}
}

// inject starts one fault, waits for its duration and ends it.
func (in *injector) inject(ctx context.Context, f Fault) {
	in.mu.Lock()
	in.counts[f.Kind]++
	in.mu.Unlock()
	switch f.Kind {
	case ReloadHost:
		in.reloadHost(ctx, f)
	case KillHost, PauseHost, StopHost:
		in.injectHostFault(ctx, f)
	case PowerLoss:
		in.injectPowerLoss(ctx, f)
	case TargetMisbehaves, TargetSlow:
		in.injectTargetFault(ctx, f)
	case TargetDrains:
		in.leave(ctx, f, targetDraining)
	case TargetGone:
		in.leave(ctx, f, targetGone)
	case TargetSaysLeaving, TargetLimits, TargetPauses:
		in.injectNotice(ctx, f)
	case TargetLinkDelay, TargetLinkReset, TargetLinkOneWay, TargetLinkSilent:
		in.injectTargetLinkFault(ctx, f)
	case NewState:
		in.publishNextState()
	case StoreRestored:
		in.restoreStore(ctx, f)
	case StoreSilent:
		in.silenceStore(ctx, f)
	default:
		in.injectStoreFault(ctx, f)
	}
}

// count adds to the count of an index and returns the sum.
func (in *injector) count(counts map[int]int, i, added int) int {
	in.mu.Lock()
	defer in.mu.Unlock()
	counts[i] += added
	return counts[i]
}

// upTo returns a duration below a limit that depends on the fault's variant and on salt only.
func (f Fault) upTo(limit time.Duration, salt int) time.Duration {
	const multiplier = 2_654_435_761
	mixed := uint32(f.Variant+salt) * multiplier
	return time.Duration(float64(limit) * float64(mixed) / (1 << 32))
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
