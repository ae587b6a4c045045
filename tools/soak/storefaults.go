package soak

import (
	"context"
	"net/http"
	"sync"
	"time"

	"quetzalknot/platform/standin"
)

// storeTables are the tables that hosts read; a silence covers the first or all of them.
var storeTables = []string{operatorTable, reportTable, "hosts"}

const (
	// The store is away for minAway and up to awayRange more before it is restored, from a copy
	// of an age of minDepth and up to depthRange more.
	minAway    = 200 * time.Millisecond
	awayRange  = 2 * time.Second
	minDepth   = 500 * time.Millisecond
	depthRange = 7 * time.Second
	// lostChangeRange is the time within which a change is acknowledged before the store is away.
	lostChangeRange = time.Second
	// rewriteRange is the time within which what a restore has lost is written again.
	rewriteRange = 1500 * time.Millisecond
	// silenceLead is the time from a change to a silence, within which hosts read the change
	// and do not call again yet.
	silenceLead = 200 * time.Millisecond
)

func (in *injector) injectStoreFault(ctx context.Context, f Fault) {
	i := f.Victim % len(in.hosts)
	h := in.hosts[i]
	in.checker.states.begin(i)
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
	in.checker.states.end(i, stateSettleTime)
}

// restoreStore takes the store away and brings it back from an older copy, in some cases just
// after a change was acknowledged. What was lost is written again, in some cases followed by
// another change.
func (in *injector) restoreStore(ctx context.Context, f Fault) {
	if f.Variant%3 != 0 { // just acknowledged when it is lost
		in.publishNextState()
		sleep(ctx, f.upTo(lostChangeRange, 0))
	}
	for i := range in.hosts {
		in.checker.states.begin(i)
	}
	in.writing.Lock()
	older := in.copies.before(time.Now().Add(-minDepth - f.upTo(depthRange, 1)))
	in.setAway(true, f.Variant)
	sleep(ctx, minAway+f.upTo(awayRange, 2))
	in.restore(older)
	in.setAway(false, f.Variant)
	in.writing.Unlock()
	for i := range in.hosts {
		in.checker.states.end(i, changeBound)
	}
	in.rewrite(ctx, f)
	if f.Variant%2 == 0 {
		in.publishNextState()
	}
}

// setAway makes the store unreachable for all hosts, or ends that: it refuses calls, or
// nothing reaches it.
func (in *injector) setAway(away bool, variant int) {
	var faults standin.StoreFaults
	if away && variant%2 == 0 {
		faults.Refuse = http.StatusServiceUnavailable
	}
	silent := away && variant%2 == 1
	for _, h := range in.hosts {
		h.endpoint.SetFaults(faults)
		h.storeProxy.setFault(proxyFault{dropToUpstream: silent, dropToClient: silent})
		if !away {
			h.storeProxy.reset()
		}
	}
}

// rewrite makes the operator and each target write again what a restore has lost, each after
// a time of its own.
func (in *injector) rewrite(ctx context.Context, f Fault) {
	var writes sync.WaitGroup
	defer writes.Wait()
	writes.Go(func() {
		sleep(ctx, f.upTo(rewriteRange, 3))
		in.rewriteState()
	})
	for i, t := range in.targets {
		writes.Go(func() {
			sleep(ctx, f.upTo(rewriteRange, 4+i))
			in.rewriteReport(t.ID)
		})
	}
}

// silenceStore makes the store leave calls of one or all hosts unanswered. The desired state
// changes before and after the silence.
func (in *injector) silenceStore(ctx context.Context, f Fault) {
	victims := in.hosts
	if f.Variant%2 == 0 {
		i := f.Victim % len(in.hosts)
		victims = in.hosts[i : i+1]
	}
	tables := storeTables
	if f.Variant%3 == 0 {
		tables = storeTables[:1]
	}
	in.publishNextState()
	sleep(ctx, silenceLead)
	for _, h := range victims {
		in.checker.states.begin(h.index)
		in.count(in.silences, h.index, 1)
		h.endpoint.Silence(tables...)
	}
	sleep(ctx, f.Duration)
	for _, h := range victims {
		if in.count(in.silences, h.index, -1) == 0 {
			h.endpoint.Silence()
		}
		in.checker.states.end(h.index, changeBound)
	}
	in.publishNextState()
}
