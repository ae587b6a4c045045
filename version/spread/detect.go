package spread

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"quetzalknot/process/membership"
)

const (
	// helpers is how many members are asked to reach one that did not answer.
	helpers = 3
	// probeTimeout bounds the question to a helper, which asks in turn.
	probeTimeout = 2 * callTimeout
)

// lookInto asks other members to reach one that did not answer, so that a broken
// link is not taken for a dead host, and suspects it when none can.
func (e *Engine) lookInto(entry membership.Entry) {
	host := entry.Member.Host
	if host == "" || entry.Status != membership.Alive || !e.startLooking(host) {
		return
	}
	defer e.endLooking(host)
	ctx, cancel := context.WithTimeout(e.stopped, probeTimeout)
	defer cancel()
	if e.reachableByOthers(ctx, entry.Member) || e.stopped.Err() != nil {
		e.Metrics.Counter("spread.links_broken_total").Add(1)
		return
	}
	if e.Members.Suspect(entry) {
		evSuspect.Log(e.Log).Str("member", host).Uint64("incarnation", entry.Member.Incarnation).Send()
	}
}

func (e *Engine) startLooking(host string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.suspecting[host] {
		return false
	}
	e.suspecting[host] = true
	return true
}

func (e *Engine) endLooking(host string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.suspecting, host)
}

// reachableByOthers reports whether one of a few members reaches the silent one.
// It returns when all that were asked have answered or the first has said yes.
func (e *Engine) reachableByOthers(ctx context.Context, silent membership.Member) bool {
	ctx, cancel := context.WithCancel(ctx)
	var asking sync.WaitGroup
	defer asking.Wait()
	defer cancel()
	asked := e.chooseHelpers(silent)
	answers := make(chan bool, len(asked))
	for _, helper := range asked {
		asking.Go(func() {
			args := ProbeArgs{Addr: silent.PeerAddr, Host: silent.Host}
			var reply ProbeReply
			err := e.Caller.Call(ctx, helper.PeerAddr, serviceName+".Probe", &args, &reply)
			answers <- err == nil && reply.Alive
		})
	}
	for range asked {
		if <-answers {
			return true
		}
	}
	return false
}

// chooseHelpers returns a few members, first partners, which are connected already.
func (e *Engine) chooseHelpers(silent membership.Member) []membership.Member {
	var candidates []membership.Member
	for _, p := range e.currentPartners() {
		entry, _ := e.Members.Entry(p.Host)
		if p.Host != silent.Host && entry.Status == membership.Alive {
			candidates = append(candidates, p)
		}
	}
	rand.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	return candidates[:min(helpers, len(candidates))]
}

// Leave tells the other hosts that this one takes no new work, and returns when
// most partners have heard it or ctx ends. The host still answers until it stops.
func (e *Engine) Leave(ctx context.Context) {
	e.Members.SetLeaving()
	for {
		told := 0
		partners := e.currentPartners()
		for _, p := range partners {
			callCtx, cancel := context.WithTimeout(ctx, callTimeout)
			if e.Exchange(callCtx, p.PeerAddr) == nil {
				told++
			}
			cancel()
		}
		if told*2 >= len(partners) || ctx.Err() != nil {
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(busyInterval):
		}
	}
}
