package spread

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"quetzalknot/process/membership"
)

const (
	// indirectProbers is the number of members that are asked to probe an unresponsive one.
	indirectProbers = 3
	// probeTimeout bounds an indirect probe, which consists of two consecutive calls.
	probeTimeout = 2 * callTimeout
)

// probeIndirectly asks other members to reach one that did not respond, so that a
// broken link is not mistaken for a dead host. If none can reach it, the member is
// marked as suspected.
func (e *Engine) probeIndirectly(entry membership.Entry) {
	host := entry.Member.Host
	if host == "" || entry.Status != membership.Alive || !e.beginProbe(host) {
		return
	}
	defer e.endProbe(host)
	ctx, cancel := context.WithTimeout(e.baseCtx, probeTimeout)
	defer cancel()
	if e.reachableIndirectly(ctx, entry.Member) || e.baseCtx.Err() != nil {
		e.Metrics.Counter("spread.links_broken_total").Add(1)
		return
	}
	if e.Members.Suspect(entry) {
		evSuspect.Log(e.Log).Str("member", host).Uint64("incarnation", entry.Member.Incarnation).Send()
	}
}

func (e *Engine) beginProbe(host string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.probing[host] {
		return false
	}
	e.probing[host] = true
	return true
}

func (e *Engine) endProbe(host string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.probing, host)
}

// reachableIndirectly reports whether any of a few other members can reach suspect.
// It returns on the first success or when all probes have finished.
func (e *Engine) reachableIndirectly(ctx context.Context, suspect membership.Member) bool {
	ctx, cancel := context.WithCancel(ctx)
	var probes sync.WaitGroup
	defer probes.Wait()
	defer cancel()
	probers := e.chooseProbers(suspect)
	results := make(chan bool, len(probers))
	for _, prober := range probers {
		probes.Go(func() {
			args := ProbeArgs{Addr: suspect.PeerAddr, Host: suspect.Host}
			var reply ProbeReply
			err := e.Client.Call(ctx, prober.PeerAddr, serviceName+".Probe", &args, &reply)
			results <- err == nil && reply.Alive
		})
	}
	for range probers {
		if <-results {
			return true
		}
	}
	return false
}

// chooseProbers returns up to indirectProbers random live partners, since connections
// to partners are already open.
func (e *Engine) chooseProbers(suspect membership.Member) []membership.Member {
	var candidates []membership.Member
	for _, p := range e.currentPartners() {
		entry, _ := e.Members.Entry(p.Host)
		if p.Host != suspect.Host && entry.Status == membership.Alive {
			candidates = append(candidates, p)
		}
	}
	rand.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	return candidates[:min(indirectProbers, len(candidates))]
}

// Leave announces that this host accepts no new requests. It returns when at least half
// of the partners have received the announcement or ctx ends. The host continues to
// respond to other hosts until it stops.
func (e *Engine) Leave(ctx context.Context) {
	e.Members.SetLeaving()
	for {
		notified := 0
		partners := e.currentPartners()
		for _, p := range partners {
			callCtx, cancel := context.WithTimeout(ctx, callTimeout)
			if e.Exchange(callCtx, p.PeerAddr) == nil {
				notified++
			}
			cancel()
		}
		if notified*2 >= len(partners) || ctx.Err() != nil {
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(activeInterval):
		}
	}
}
