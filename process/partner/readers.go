package partner

import (
	"context"
	"time"
)

const (
	// freshFor is how long a partner's word holds that it reads the store.
	freshFor = 1500 * time.Millisecond
	// troubledFor is how long a partner's word holds that the store failed it.
	troubledFor = 3 * time.Second
)

// Reads reports whether this host is one of the few of its region that read the store
// for the others: those that carry requests while little is asked for. The others learn
// from them by beats, and read the store themselves while no partner is fresh.
func (g *Group) Reads() bool { return g.readers()[g.opts.Self.Name] }

// readers returns the names of the hosts of this region that read the store.
func (g *Group) readers() map[string]bool {
	names := make(map[string]bool)
	addBase(names, inRegion(g.Alive(), g.opts.Self.Region))
	return names
}

// Tell beats at once to the partners of the region that do not read the store, because
// this host has read changes.
func (g *Group) Tell(ctx context.Context) {
	readers := g.readers()
	g.callEach(ctx, func(m Member) bool { return m.Region == g.opts.Self.Region && !readers[m.Name] })
}

// Fresh reports whether a partner has said lately that it reads the store.
func (g *Group) Fresh(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.freshAt.IsZero() && now.Sub(g.freshAt) < freshFor
}

// Troubled reports whether the store has failed partners lately, and none reads it
// without trouble.
func (g *Group) Troubled(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	sound := !g.soundAt.IsZero() && now.Sub(g.soundAt) < freshFor
	return !sound && !g.troubledAt.IsZero() && now.Sub(g.troubledAt) < troubledFor
}

// noteReading takes in what a partner knows of the store. The lock must be held.
func (g *Group) noteReading(b *Beat, now time.Time) {
	if b.Fresh {
		g.freshAt = now
	}
	if b.Fresh && !b.Troubled {
		g.soundAt = now
	}
	if b.Troubled {
		g.troubledAt = now
	}
}
