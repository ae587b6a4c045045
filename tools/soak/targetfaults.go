package soak

import (
	"context"
	"time"

	"quetzalknot/platform/standin"
)

// targetFaults are the behaviours of a target under the fault TargetMisbehaves.
var targetFaults = []standin.Behaviour{
	standin.Shed, standin.WrongID, standin.ExtraResponse, standin.Truncated, standin.Reset, standin.Garbage, standin.Fails, standin.Unstamped,
}

// slowRunTime is the run time of requests on a target under the fault TargetSlow.
const slowRunTime = 700 * time.Millisecond

// injectTargetLinkFault disturbs the connections of all hosts to one target.
func (in *injector) injectTargetLinkFault(ctx context.Context, f Fault) {
	i := f.Victim % len(in.targetProxies)
	targetProxy := in.targetProxies[i]
	in.checker.notices.links.begin(i)
	defer in.checker.notices.links.end(i, noticeSettle)
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
	}
}

// absence is how long a target stays away at least, so that it is seen whether it still gets
// requests.
const absence = 4 * time.Second

// leave makes a target leave and come back. Several of these faults may overlap.
func (in *injector) leave(ctx context.Context, f Fault, state string) {
	i := f.Victim % len(in.targets)
	in.count(in.away, i, 1)
	in.setTargetState(i, state)
	sleep(ctx, absence+f.Duration/2)
	if in.count(in.away, i, -1) == 0 {
		in.setTargetState(i, targetReady)
	}
}
