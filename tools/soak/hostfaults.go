package soak

import (
	"context"
	"net"
	"syscall"
	"time"
)

const (
	// stateSettleTime is the time after a disturbance of a single host within which the newest
	// desired state must be in force there again.
	stateSettleTime = 5 * time.Second
	// readyPoll is the time between two readiness checks of a host that starts.
	readyPoll = 50 * time.Millisecond
	// listenTimeout limits the wait until a host that starts handles signals.
	listenTimeout = 2 * time.Second
	// signalRange is the time within which a stopping host gets further signals.
	signalRange = 1500 * time.Millisecond
	// stoppedPause is how long a stopping host is paused.
	stoppedPause = 300 * time.Millisecond
	// maxReloads is the largest number of reloads in one fault.
	maxReloads = 3
)

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

// startHost starts a host's process. The host counts as disturbed until it is ready or ends;
// the disturbance must have begun.
func (in *injector) startHost(ctx context.Context, i int) {
	h := in.hosts[i]
	in.checker.recordError(in.launch(h))
	generation := h.currentGeneration()
	in.starts.Go(func() {
		for ctx.Err() == nil && h.isRunning(generation) && !h.isReady() {
			sleep(ctx, readyPoll)
		}
		in.checker.processes.end(i, 0)
		in.checker.states.end(i, changeBound)
	})
}

// disturbProcess records that a fault of a host's process begins.
func (in *injector) disturbProcess(i int) {
	in.checker.processes.begin(i)
	in.checker.states.begin(i)
}

// startAll starts all hosts.
func (in *injector) startAll(ctx context.Context) {
	for i := range in.hosts {
		in.disturbProcess(i)
		in.startHost(ctx, i)
	}
}

// reloadHost sends one or several reload signals to a host, whatever it is doing.
func (in *injector) reloadHost(ctx context.Context, f Fault) {
	h := in.hosts[f.Victim%len(in.hosts)]
	for n := range 1 + f.Variant%maxReloads {
		if h.awaitListening(ctx) {
			h.signal(syscall.SIGHUP)
		}
		sleep(ctx, f.upTo(signalRange, n))
	}
}

// awaitListening waits until the host's process listens, from which on it handles signals.
func (h *host) awaitListening(ctx context.Context) bool {
	for deadline := time.Now().Add(listenTimeout); ctx.Err() == nil && time.Now().Before(deadline); sleep(ctx, readyPoll) {
		if conn, err := net.Dial("tcp", h.ready); err == nil {
			_ = conn.Close()
			return true
		}
	}
	return false
}

func (in *injector) injectHostFault(ctx context.Context, f Fault) {
	i, ok := in.reserveHost(f.Victim)
	if !ok {
		return
	}
	defer in.releaseHost(i)
	switch f.Kind {
	case PauseHost:
		in.pauseHost(ctx, i, f.Duration)
	case KillHost:
		for n := range 1 + f.Variant%2 {
			in.killHosts(ctx, []int{i}, f.Duration)
			sleep(ctx, f.upTo(signalRange, n)) // a second kill hits a host that starts
		}
	case StopHost:
		in.stopHost(ctx, i, f)
	}
}

func (in *injector) pauseHost(ctx context.Context, i int, d time.Duration) {
	in.disturbProcess(i)
	in.hosts[i].signal(syscall.SIGSTOP)
	sleep(ctx, d)
	in.hosts[i].signal(syscall.SIGCONT)
	in.checker.processes.end(i, requestTimeout)
	in.checker.states.end(i, stateSettleTime)
}

// stopHost stops a host and starts it again. Some hosts get further signals while they stop.
func (in *injector) stopHost(ctx context.Context, i int, f Fault) {
	h := in.hosts[i]
	if !h.awaitListening(ctx) {
		return
	}
	in.checker.states.begin(i)
	in.checker.setStopping(i, true)
	h.signal(syscall.SIGTERM)
	signalCtx, cancel := context.WithCancel(ctx)
	go h.signalStopping(signalCtx, f)
	err := h.wait()
	cancel()
	if err != nil {
		in.checker.recordViolation("%s ended with %v after SIGTERM", h.name, err)
	}
	in.checker.processes.begin(i)
	in.checker.setStopping(i, false)
	in.startHost(ctx, i)
}

// signalStopping sends further signals to a host that stops; the variant says which.
func (h *host) signalStopping(ctx context.Context, f Fault) {
	signals := [][]syscall.Signal{{}, {syscall.SIGHUP}, {syscall.SIGTERM}, {syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP}, {syscall.SIGSTOP}}
	for n, sig := range signals[f.Variant%len(signals)] {
		sleep(ctx, f.upTo(signalRange, n))
		if ctx.Err() != nil {
			return
		}
		h.signal(sig)
		if sig == syscall.SIGSTOP {
			sleep(ctx, stoppedPause)
			h.signal(syscall.SIGCONT)
		}
	}
}

// killHosts kills hosts at the same time and starts them again.
func (in *injector) killHosts(ctx context.Context, victims []int, d time.Duration) {
	for _, i := range victims {
		in.disturbProcess(i)
		in.hosts[i].signal(syscall.SIGKILL)
	}
	for _, i := range victims {
		_ = in.hosts[i].wait() // the error is that of SIGKILL
	}
	sleep(ctx, d)
	for _, i := range victims {
		in.startHost(ctx, i)
	}
}

// injectPowerLoss kills up to half of the hosts at the same time.
func (in *injector) injectPowerLoss(ctx context.Context, f Fault) {
	var victims []int
	for n := range len(in.hosts) / 2 {
		if i, ok := in.reserveHost(f.Victim + n); ok {
			victims = append(victims, i)
			defer in.releaseHost(i)
		}
	}
	in.killHosts(ctx, victims, f.Duration)
}
