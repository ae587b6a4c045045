package soak

import (
	"context"
	"net/http"
	"sync"
	"syscall"
	"time"

	"quetzalknot/platform/standin"
)

// misbehaviours are those of targets that break.
var misbehaviours = []standin.Behaviour{
	standin.Shed, standin.Foreign, standin.Extra, standin.Truncated, standin.Reset, standin.Garbage, standin.Fails, standin.Unsigned,
}

// slowRun is how long requests run on a slow target.
const slowRun = 700 * time.Millisecond

// injector brings faults about. A host has at most one fault of its process at a time,
// and at least one host is left alone.
type injector struct {
	*site
	checks *checks

	mu     sync.Mutex
	busy   map[int]bool
	counts map[Kind]int
}

// claim reserves a host for a fault of its process.
func (in *injector) claim(victim int) (int, bool) {
	in.mu.Lock()
	defer in.mu.Unlock()
	i := victim % len(in.hosts)
	if in.busy[i] || len(in.busy)+1 >= len(in.hosts) {
		return 0, false
	}
	in.busy[i] = true
	return i, true
}

func (in *injector) release(i int) {
	in.mu.Lock()
	defer in.mu.Unlock()
	delete(in.busy, i)
}

// inject brings one fault about, waits for its end and heals it.
func (in *injector) inject(ctx context.Context, f Fault) {
	in.mu.Lock()
	in.counts[f.Kind]++
	in.mu.Unlock()
	switch f.Kind {
	case KillHost, PauseHost, StopHost, ReloadHost:
		in.harmProcess(ctx, f)
	case TargetBreaks, TargetSlow, TargetLeaves:
		in.harmTarget(ctx, f)
	case PowerLoss:
		in.losePower(ctx, f)
	case WayDelay, WayReset, WayOneWay, WaySilent:
		in.harmWay(ctx, f)
	case NewState:
		in.checks.expectVersion(in.newState())
	default:
		in.harmStore(ctx, f)
	}
}

func (in *injector) harmProcess(ctx context.Context, f Fault) {
	i, ok := in.claim(f.Victim)
	if !ok {
		return
	}
	defer in.release(i)
	h := in.hosts[i]
	in.checks.disturb(i)
	switch f.Kind {
	case PauseHost:
		h.signal(syscall.SIGSTOP)
		pause(ctx, f.For)
		h.signal(syscall.SIGCONT)
	case ReloadHost:
		h.signal(syscall.SIGHUP)
	case KillHost:
		h.signal(syscall.SIGKILL)
		_ = h.wait() // it was killed
		pause(ctx, f.For)
		in.checks.failed(in.start(h))
	case StopHost:
		in.checks.stop(i, true)
		h.signal(syscall.SIGTERM)
		if err := h.wait(); err != nil {
			in.checks.broken("%s ended with %v after SIGTERM", h.name, err)
		}
		in.checks.stop(i, false)
		in.checks.failed(in.start(h))
	}
	in.checks.disturb(i)
}

// losePower kills up to half of the hosts at once and starts them again.
func (in *injector) losePower(ctx context.Context, f Fault) {
	var lost []int
	for n := range len(in.hosts) / 2 {
		if i, ok := in.claim(f.Victim + n); ok {
			lost = append(lost, i)
		}
	}
	for _, i := range lost {
		in.checks.disturb(i)
		in.hosts[i].signal(syscall.SIGKILL)
	}
	for _, i := range lost {
		_ = in.hosts[i].wait() // it was killed
	}
	pause(ctx, f.For)
	for _, i := range lost {
		in.checks.failed(in.start(in.hosts[i]))
		in.checks.disturb(i)
		in.release(i)
	}
}

// harmWay harms the connections of all hosts to a target.
func (in *injector) harmWay(ctx context.Context, f Fault) {
	way := in.ways[f.Victim%len(in.ways)]
	switch f.Kind {
	case WayDelay:
		way.set(harm{delay: 200 * time.Millisecond})
	case WayReset:
		way.reset()
	case WayOneWay:
		way.set(harm{dropUp: f.Variant%2 == 0, dropDown: f.Variant%2 == 1})
	case WaySilent:
		way.set(harm{dropUp: true, dropDown: true})
	}
	pause(ctx, f.For)
	way.set(harm{})
	way.reset()
}

func (in *injector) harmTarget(ctx context.Context, f Fault) {
	i := f.Victim % len(in.targets)
	t := in.targets[i]
	switch f.Kind {
	case TargetBreaks:
		t.Behave(misbehaviours[f.Variant%len(misbehaviours)], 0)
		pause(ctx, f.For)
		t.Behave(standin.Good, 0)
	case TargetSlow:
		t.Behave(standin.Good, slowRun)
		pause(ctx, f.For)
		t.Behave(standin.Good, 0)
	case TargetLeaves:
		in.report(i, "draining")
		pause(ctx, f.For)
		in.report(i, "ready")
	}
}

func (in *injector) harmStore(ctx context.Context, f Fault) {
	i := f.Victim % len(in.hosts)
	h := in.hosts[i]
	in.checks.disturb(i)
	switch f.Kind {
	case StoreRefuse:
		status := []int{http.StatusServiceUnavailable, http.StatusTooManyRequests}[f.Variant%2]
		h.door.SetFaults(standin.StoreFaults{Refuse: status})
	case StoreSlow:
		h.door.SetFaults(standin.StoreFaults{Slow: f.For / 4})
	case StoreLose:
		h.door.SetFaults(standin.StoreFaults{LoseAnswers: true})
	case StoreForget:
		in.store.Compact()
	case LinkDelay:
		h.link.set(harm{delay: 200 * time.Millisecond})
	case LinkReset:
		h.link.reset()
	case LinkOneWay:
		h.link.set(harm{dropUp: f.Variant%2 == 0, dropDown: f.Variant%2 == 1})
	case LinkSilent:
		h.link.set(harm{dropUp: true, dropDown: true})
	}
	pause(ctx, f.For)
	h.door.SetFaults(standin.StoreFaults{})
	h.link.set(harm{})
	h.link.reset()
	in.checks.disturb(i)
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
