package settings

import "fmt"

// Links configures the network links between regions, whose capacity this host shares
// with the other entry hosts.
type Links struct {
	// MinHosts is the smallest number of hosts among which the capacity of a link is
	// divided. Default 1.
	MinHosts int `toml:"min_hosts"`
	// Pairs lists the links. Traffic between regions that are not listed is not paced.
	Pairs []LinkPair `toml:"pair"`
}

// LinkPair is the link between two regions.
type LinkPair struct {
	A string `toml:"a"`
	B string `toml:"b"`
	// BitsPerSecond is the capacity of the link in each direction.
	BitsPerSecond int64 `toml:"bits_per_second"`
}

func (l *Links) applyDefaults() {
	if l.MinHosts == 0 {
		l.MinHosts = 1
	}
}

func (l *Links) check(p *problems) {
	p.require(l.MinHosts > 0, "links.min_hosts", l.MinHosts, "1 or more")
	seen := make(map[LinkPair]bool)
	for i, pair := range l.Pairs {
		prefix := fmt.Sprintf("links.pair[%d]", i)
		p.require(pair.A != "", prefix+".a", pair.A, "a region")
		p.require(pair.B != "" && pair.B != pair.A, prefix+".b", pair.B, "a region other than a")
		p.require(pair.BitsPerSecond > 0, prefix+".bits_per_second", pair.BitsPerSecond, "1 or more")
		undirected := LinkPair{A: min(pair.A, pair.B), B: max(pair.A, pair.B)}
		p.require(!seen[undirected], prefix+".b", pair.B, "a pair that is not listed yet")
		seen[undirected] = true
	}
}
