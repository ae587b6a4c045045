package settings

// Peer says how hosts find and trust each other.
type Peer struct {
	// Cert, Key and CA are PEM files. With them every connection between hosts is
	// TLS with certificates of both sides, signed by the CA; the files are read
	// again when they change. With none, connections are in the clear: for one
	// machine only.
	Cert string `toml:"cert"`
	Key  string `toml:"key"`
	CA   string `toml:"ca"`
	// Seeds are peer addresses of a few other hosts, in several failure domains,
	// for a start while the platform is down.
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
