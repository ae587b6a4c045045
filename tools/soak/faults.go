package soak

import (
	"context"
	"net/http"
	"sync"
	"syscall"
	"time"

	"quetzalknot/platform/standin"
)

// targetFaults are the behaviours of a target under the fault TargetMisbehaves.
var targetFaults = []standin.Behaviour{
	standin.Shed, standin.WrongID, standin.ExtraResponse, standin.Truncated, standin.Reset, standin.Garbage, standin.Fails, standin.Unstamped,
}

// slowRunTime is the run time of requests on a target under the fault TargetSlow.
const slowRunTime = 700 * time.Millisecond

// injector injects faults. A host has at most one process fault at a time (kill, pause, stop,
// reload or power loss), and at least one host has none.
type injector struct {
	*cluster
	checker *checker

	mu sync.Mutex
	// reserved are the hosts that have a process fault.
	reserved map[int]bool
	counts   map[Kind]int
}

// reserveHost reserves a host for a process fault. It returns false if the host has one or
// no other host would be left without one.
func (in *injector) reserveHost(victim int) (int, bool) {
	in.mu.Lock()
	defer in.mu.Unlock()
	i := victim % len(in.hosts)
	if in.reserved[i] || len(in.reserved)+1 >= len(in.hosts) {
		return 0, false
	}
	in.reserved[i] = true
	return i, true
}

func (in *injector) releaseHost(i int) {
	in.mu.Lock()
	defer in.mu.Unlock()
	delete(in.reserved, i)
}

// inject starts one fault, waits for its duration and ends it.
func (in *injector) inject(ctx context.Context, f Fault) {
	in.mu.Lock()
	in.counts[f.Kind]++
	in.mu.Unlock()
	switch f.Kind {
	case KillHost, PauseHost, StopHost, ReloadHost:
		in.injectHostFault(ctx, f)
	case TargetMisbehaves, TargetSlow, TargetDrains:
		in.injectTargetFault(ctx, f)
	case PowerLoss:
		in.injectPowerLoss(ctx, f)
	case TargetLinkDelay, TargetLinkReset, TargetLinkOneWay, TargetLinkSilent:
		in.injectTargetLinkFault(ctx, f)
	case NewState:
		in.checker.expectVersion(ctx, in.publishNextState())
	default:
		in.injectStoreFault(ctx, f)
	}
}

func (in *injector) injectHostFault(ctx context.Context, f Fault) {
	i, ok := in.reserveHost(f.Victim)
	if !ok {
		return
	}
	defer in.releaseHost(i)
	h := in.hosts[i]
	in.checker.markDisturbed(i)
	switch f.Kind {
	case PauseHost:
		h.signal(syscall.SIGSTOP)
		sleep(ctx, f.Duration)
		h.signal(syscall.SIGCONT)
	case ReloadHost:
		h.signal(syscall.SIGHUP)
	case KillHost:
		h.signal(syscall.SIGKILL)
		_ = h.wait() // the error is that of SIGKILL
		sleep(ctx, f.Duration)
		in.checker.recordError(in.start(h))
	case StopHost:
		in.checker.setStopping(i, true)
		h.signal(syscall.SIGTERM)
		if err := h.wait(); err != nil {
			in.checker.recordViolation("%s ended with %v after SIGTERM", h.name, err)
		}
		in.checker.setStopping(i, false)
		in.checker.recordError(in.start(h))
	}
	in.checker.markDisturbed(i)
}

// injectPowerLoss kills up to half of the hosts at the same time and restarts them.
func (in *injector) injectPowerLoss(ctx context.Context, f Fault) {
	var killed []int
	for n := range len(in.hosts) / 2 {
		if i, ok := in.reserveHost(f.Victim + n); ok {
			killed = append(killed, i)
		}
	}
	for _, i := range killed {
		in.checker.markDisturbed(i)
		in.hosts[i].signal(syscall.SIGKILL)
	}
	for _, i := range killed {
		_ = in.hosts[i].wait() // the error is that of SIGKILL
	}
	sleep(ctx, f.Duration)
	for _, i := range killed {
		in.checker.recordError(in.start(in.hosts[i]))
		in.checker.markDisturbed(i)
		in.releaseHost(i)
	}
}

// injectTargetLinkFault disturbs the connections of all hosts to one target.
func (in *injector) injectTargetLinkFault(ctx context.Context, f Fault) {
	targetProxy := in.targetProxies[f.Victim%len(in.targetProxies)]
	switch f.Kind {
	case TargetLinkDelay:
		targetProxy.setFault(proxyFault{delay: 200 * time.Millisecond})
	case TargetLinkReset:
		targetProxy.reset()
	case TargetLinkOneWay:
		targetProxy.setFault(proxyFault{dropToUpstream: f.Variant%2 == 0, dropToClient: f.Variant%2 == 1})
	case TargetLinkSilent:
		targetProxy.setFault(proxyFault{dropToUpstream: true, dropToClient: true})
	}
	sleep(ctx, f.Duration)
	targetProxy.setFault(proxyFault{})
	targetProxy.reset()
}

func (in *injector) injectTargetFault(ctx context.Context, f Fault) {
	i := f.Victim % len(in.targets)
	t := in.targets[i]
	switch f.Kind {
	case TargetMisbehaves:
		t.SetBehaviour(targetFaults[f.Variant%len(targetFaults)], 0)
		sleep(ctx, f.Duration)
		t.SetBehaviour(standin.Good, 0)
	case TargetSlow:
		t.SetBehaviour(standin.Good, slowRunTime)
		sleep(ctx, f.Duration)
		t.SetBehaviour(standin.Good, 0)
	case TargetDrains:
		in.reportTarget(i, "draining")
		sleep(ctx, f.Duration)
		in.reportTarget(i, "ready")
	}
}

func (in *injector) injectStoreFault(ctx context.Context, f Fault) {
	i := f.Victim % len(in.hosts)
	h := in.hosts[i]
	in.checker.markDisturbed(i)
	switch f.Kind {
	case StoreError:
		status := []int{http.StatusServiceUnavailable, http.StatusTooManyRequests}[f.Variant%2]
		h.endpoint.SetFaults(standin.StoreFaults{Refuse: status})
	case StoreSlow:
		h.endpoint.SetFaults(standin.StoreFaults{Slow: f.Duration / 4})
	case StoreLoseResponses:
		h.endpoint.SetFaults(standin.StoreFaults{LoseResponses: true})
	case StoreCompact:
		in.store.Compact()
	case StoreLinkDelay:
		h.storeProxy.setFault(proxyFault{delay: 200 * time.Millisecond})
	case StoreLinkReset:
		h.storeProxy.reset()
	case StoreLinkOneWay:
		h.storeProxy.setFault(proxyFault{dropToUpstream: f.Variant%2 == 0, dropToClient: f.Variant%2 == 1})
	case StoreLinkSilent:
		h.storeProxy.setFault(proxyFault{dropToUpstream: true, dropToClient: true})
	}
	sleep(ctx, f.Duration)
	h.endpoint.SetFaults(standin.StoreFaults{})
	h.storeProxy.setFault(proxyFault{})
	h.storeProxy.reset()
	in.checker.markDisturbed(i)
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
