package settings

// Peer configures how hosts discover and authenticate each other.
type Peer struct {
	// Cert, Key and CA are PEM files. If they are set, connections between hosts use
	// mutual TLS with certificates signed by the CA, and the files are reloaded when they
	// change. If none is set, connections are not encrypted, which is meant only for
	// hosts on a single machine.
	Cert string `toml:"cert"`
	Key  string `toml:"key"`
	CA   string `toml:"ca"`
	// Seeds lists peer addresses of a few other hosts in several failure domains, which
	// are used to join while the platform is unavailable.
	Seeds []string `toml:"seeds"`
}

func (s *Peer) applyDefaults() {}

func (s *Peer) check(p *problems) {
	given := s.Cert != "" || s.Key != "" || s.CA != ""
	p.require(!given || s.Cert != "", "peer.cert", s.Cert, "a PEM file, since key or ca is given")
	p.require(!given || s.Key != "", "peer.key", s.Key, "a PEM file, since cert or ca is given")
	p.require(!given || s.CA != "", "peer.ca", s.CA, "a PEM file, since cert or key is given")
	for _, seed := range s.Seeds {
		p.addr("peer.seeds", seed)
	}
}
