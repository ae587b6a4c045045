package partner

import (
	"context"
	"time"

	"quetzalknot/process/mirror"
)

// pullNewer starts a pull of each table of which the sender of a heartbeat has a newer
// revision.
func (g *Group) pullNewer(h *Heartbeat) {
	if !g.mayPullFrom(h.From) {
		return
	}
	if !g.HasTables() {
		g.startSnapshotPull(h)
		return
	}
	for _, name := range g.opts.Tables {
		own := g.opts.Mirror.Position(name)
		if !own.Lacks(h.position(name)) {
			continue
		}
		if h.onlyAdvanced(name, own) {
			g.opts.Apply(mirror.Delta{Table: name, Era: own.Era, UpTo: h.Positions[name]})
			continue
		}
		if g.startPull(name, h) {
			go g.pullTable(h.From, name, own)
		}
	}
}

// startPull marks a table as being pulled, since a heartbeat names a newer revision. It returns false when it already is;
// the heartbeat is then looked at again when that pull ends.
func (g *Group) startPull(name string, h *Heartbeat) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.pullsRunning[name] {
		g.pullsWaiting[name] = h
		return false
	}
	g.pullsRunning[name] = true
	return true
}

// pullDelay is how long a host that reads the store waits before it pulls, because the
// store's change feed usually brings the same records.
const pullDelay = 250 * time.Millisecond

// pullTable fetches and applies the records of a table that are newer than own, unless the
// store's change feed brought newer ones meanwhile.
func (g *Group) pullTable(from Member, name string, own mirror.Position) {
	defer g.endPull(name)
	if g.opts.StoreStatus().Reachable {
		time.Sleep(pullDelay)
	}
	if own.Lacks(g.opts.Mirror.Position(name)) {
		return
	}
	g.pullDelta(from, name, own)
}

// endPull records that a pull has ended, and looks at the last heartbeat that came meanwhile and named a newer revision.
func (g *Group) endPull(name string) {
	g.mu.Lock()
	g.pullsRunning[name] = false
	waiting := g.pullsWaiting[name]
	delete(g.pullsWaiting, name)
	g.mu.Unlock()
	if waiting != nil {
		g.pullNewer(waiting)
	}
}

// pullDelta fetches and applies the records of a table that are newer than own.
func (g *Group) pullDelta(from Member, name string, own mirror.Position) {
	g.opts.Metrics.Counter("partners.pulls").Add(1)
	started := g.opts.Now()
	delta, err := g.callPull(from, name, own)
	took := g.opts.Now().Sub(started)
	if err != nil {
		evPullFailed.Log(g.opts.Log).Str("member", from.Name).Str("table", name).Uint64("own_revision", own.Revision).
			Int64("took_ms", took.Milliseconds()).Err(err).Send()
		return
	}
	g.logSynchronised(from, delta, took)
	g.opts.Apply(delta)
}

// callPull fetches the records of a table that are newer than own: by one call, or in parts if they are large.
func (g *Group) callPull(from Member, name string, own mirror.Position) (mirror.Delta, error) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	request, reply := &PullRequest{Table: name, After: own.Revision, Era: own.Era, TakesLarge: true}, new(PullReply)
	if err := g.opts.Client.Call(ctx, from.Peer, serviceName+".Pull", request, reply); err != nil {
		return mirror.Delta{}, err
	}
	if reply.IsLarge {
		return g.pullLarge(from, name, own)
	}
	return reply.Delta, nil
}

// logSynchronised logs that a delta arrived from a partner, and how long that took.
func (g *Group) logSynchronised(from Member, d mirror.Delta, took time.Duration) {
	evSynchronised.Log(g.opts.Log).Str("member", from.Name).Str("table", d.Table).Uint64("revision", d.UpTo).
		Int("records", len(d.Records)).Int("bytes", d.Size()).Int64("took_ms", took.Milliseconds()).Send()
}
