package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"time"
)

// Options configure a run.
type Options struct {
	// Program is the path of quetzald. If Other names another build of it, each start of a host
	// runs one of the two; which one depends on the seed.
	Program, Other string
	Seed           uint64
	// FaultTime is the time during which faults are injected.
	FaultTime time.Duration
	Hosts     int
	// Targets is the number of targets, and Callers the number of callers per host.
	Targets, Callers int
	// Keep keeps the folder with settings and logs after the run.
	Keep bool
	// Dump makes a host that leaves a request without a response end with all its goroutines
	// in its log (SIGQUIT). It is not started again.
	Dump bool
}

// Sizes of a large run, in which each target and each caller is part of the soak's own process.
const (
	LargeHosts   = 36
	LargeTargets = 300
	LargeCallers = 2
)

// Result holds the counts and the violations of a run.
type Result struct {
	// Faults is the number of faults of each type, including process faults that were
	// skipped because reserveHost returned false.
	Faults map[Kind]int
	// Sent counts requests. Served counts responses with status 200, Refused those with 503,
	// which means that the request was not run, and Failed those with another status, except
	// 400 and 404, which are violations. Dropped counts requests that received no complete
	// response in time.
	Sent, Served, Refused, Failed, Dropped int64
	// SentAgain counts requests that a host had not read, since they were behind a response
	// that closed the connection.
	SentAgain int64
	// RecoveredShare is the share of requests that were served in the last seconds of the run,
	// after the last fault.
	RecoveredShare float64
	// Violations describes the violations of guarantees, the first maxViolations of them.
	Violations []string
	// Stalls says how long the soak's own clock and undisturbed hosts stood still at most.
	Stalls string
	Folder string
}

const (
	// warmUpTime is the time before the first fault, and coolDownTime the time after the last.
	warmUpTime   = 2 * time.Second
	coolDownTime = 8 * time.Second
	// recoveryTime is the last part of coolDownTime, in which requests must be served again.
	recoveryTime = 3 * time.Second
	// minRecovered is the least share of requests that must be served in recoveryTime.
	minRecovered  = 0.95
	maxViolations = 20
)

// Run injects the faults of a seed and checks the guarantees. It stops everything that it
// started before it returns, also if ctx is cancelled.
func Run(ctx context.Context, opts Options) (Result, error) {
	folder, err := os.MkdirTemp("", "soak-")
	if err != nil {
		return Result{}, err
	}
	if !opts.Keep {
		defer func() { _ = os.RemoveAll(folder) }()
	}
	c, err := newCluster(builds{program: opts.Program, other: opts.Other, seed: opts.Seed}, folder, opts.Hosts, opts.Targets)
	in := newInjector(c)
	in.checker.dump = opts.Dump
	defer in.starts.Wait()
	defer c.close()
	if err != nil {
		return Result{}, err
	}
	background := in.startBackground(ctx)
	in.startAll(ctx)
	sleep(ctx, warmUpTime)
	stopCallers := in.startCallers(ctx, opts)
	injectPlan(ctx, in, Plan(opts.Seed, opts.FaultTime))
	sleep(ctx, coolDownTime-recoveryTime)
	sent, served := in.checker.sent.Load(), in.checker.served.Load()
	sleep(ctx, recoveryTime)
	recovered := float64(in.checker.served.Load()-served) / float64(max(1, in.checker.sent.Load()-sent))
	stopCallers()
	background()
	in.checkEnd(ctx, recovered)
	return in.result(recovered, folder), in.checker.harnessErr
}

// startBackground starts to take copies of the store and to measure the hosts. The returned
// function ends that.
func (in *injector) startBackground(ctx context.Context) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	in.copies.add(time.Now(), in.store.Snapshot())
	var loops sync.WaitGroup
	loops.Go(func() { in.copies.take(ctx, in.store) })
	loops.Go(func() { in.checker.stalls.run(ctx) })
	return func() {
		cancel()
		loops.Wait()
	}
}

// startCallers starts the callers of each host, the last of which is mostly idle, and the
// checks of the state in force. The returned function ends them.
func (in *injector) startCallers(ctx context.Context, opts Options) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	var callers sync.WaitGroup
	for i, h := range in.hosts {
		for caller := range opts.Callers {
			pause := func() time.Duration { return requestPause }
			idle := caller == opts.Callers-1 && caller > 0
			if idle {
				r := rand.New(rand.NewPCG(opts.Seed, uint64(i)))
				pause = func() time.Duration { return rangeOf(r, maxIdle) }
			}
			if !idle && isPipelined(opts.Seed, i, caller) {
				callers.Go(func() { in.checker.sendPipelined(ctx, opts.Seed, i, caller) })
				continue
			}
			callers.Go(func() { in.checker.sendRequests(ctx, i, fmt.Sprint(caller), pause) })
		}
		monitor := &versionMonitor{checker: in.checker, host: h}
		callers.Go(func() { monitor.run(ctx) })
	}
	return func() {
		cancel()
		callers.Wait()
	}
}

// checkEnd checks what must hold after the last fault.
func (in *injector) checkEnd(ctx context.Context, recovered float64) {
	if ctx.Err() != nil {
		return
	}
	in.checker.checkExecutions()
	in.checker.checkReady()
	if recovered < minRecovered {
		in.checker.recordViolation("only %.2f of the requests are served after the last fault", recovered)
	}
}

func injectPlan(ctx context.Context, in *injector, plan []Fault) {
	var faults sync.WaitGroup
	start := time.Now()
	for _, f := range plan {
		sleep(ctx, time.Until(start.Add(f.At)))
		if ctx.Err() != nil {
			break
		}
		faults.Go(func() { in.inject(ctx, f) })
	}
	faults.Wait()
}

func (in *injector) result(recovered float64, folder string) Result {
	c := in.checker
	return Result{
		Faults: in.counts, Sent: c.sent.Load(), Served: c.served.Load(), Refused: c.notRun.Load(),
		Failed: c.failed.Load(), Dropped: c.dropped.Load(), SentAgain: c.sentAgain.Load(), RecoveredShare: recovered,
		Violations: c.violations[:min(maxViolations, len(c.violations))], Stalls: c.stalls.summary(), Folder: folder,
	}
}
