package settings

import (
	"fmt"
	"net/netip"
	"net/url"
	"slices"
	"strings"
)

// Problem is one invalid value in a settings file.
type Problem struct {
	// Line is the line of the key, counted from 1. It is that of the enclosing table if
	// the file does not have the key, and 0 if the file has neither.
	Line int
	// Key is the dotted path of the key, such as listen.api.
	Key   string
	Value string
	// Allowed describes the allowed values.
	Allowed string
}

// Error lists all problems of a settings file.
type Error struct {
	// File is empty when the settings did not come from a file.
	File     string
	Problems []Problem
}

// Error implements the error interface. It returns one line for each problem.
func (e *Error) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = fmt.Sprintf("%s:%d: %s = %q: %s", e.File, p.Line, p.Key, p.Value, p.Allowed)
	}
	return strings.Join(lines, "\n")
}

// problems collects invalid values.
type problems struct{ list []Problem }

func (p *problems) require(ok bool, key string, value any, allowed string) {
	if !ok {
		p.list = append(p.list, Problem{Key: key, Value: fmt.Sprint(value), Allowed: allowed})
	}
}

func (p *problems) addr(key, value string) {
	_, err := netip.ParseAddrPort(value)
	p.require(err == nil, key, value, "an IP address and port, such as 127.0.0.1:8080")
}

func (p *problems) err() error {
	if len(p.list) == 0 {
		return nil
	}
	return &Error{Problems: p.list}
}

func (h *Host) applyDefaults() {}

func (h *Host) check(p *problems) {
	p.require(h.Name != "", "host.name", h.Name, "the host's name, unique among the entry hosts")
	p.require(h.Region != "", "host.region", h.Region, "the region of the host")
	p.require(h.FailureDomain != "", "host.failure_domain", h.FailureDomain, "the failure domain of the host")
}

func (l *Listen) applyDefaults() {}

func (l *Listen) check(p *problems) {
	p.addr("listen.api", l.API)
	p.addr("listen.forward", l.Forward)
	p.addr("listen.peer", l.Peer)
	p.require(distinct(l.Forward, l.API), "listen.forward", l.Forward, "an address other than listen.api")
	p.require(distinct(l.Peer, l.API) && distinct(l.Peer, l.Forward), "listen.peer", l.Peer, "an address other than listen.api and listen.forward")
}

// distinct reports whether a process can listen on both addresses at once. With port 0
// the operating system picks a free port.
func distinct(a, b string) bool { return a != b || strings.HasSuffix(a, ":0") }

func (r *Roles) applyDefaults() {
	if *r == (Roles{}) {
		*r = Roles{Lookup: true, Forward: true, Watch: true}
	}
}

func (r *Roles) check(p *problems) {
	p.require(r.Watch || !r.Forward, "roles.forward", r.Forward, "false, or watch = true: a host that forwards watches its targets")
}

func (f *Platform) applyDefaults() {}

func (f *Platform) check(p *problems) {
	if f.URL == "" {
		return
	}
	u, err := url.Parse(f.URL)
	ok := err == nil && u.Scheme == "http"
	if ok {
		_, err = netip.ParseAddrPort(u.Host)
	}
	p.require(ok && err == nil, "platform.url", f.URL, "http:// with an IP address and port")
}

func (t *Topology) applyDefaults() {}

func (t *Topology) check(p *problems) {
	regions, domains := make(map[string]bool), make(map[string]bool)
	for i, r := range t.Regions {
		prefix := fmt.Sprintf("topology.region[%d]", i)
		p.require(r.Name != "" && !regions[r.Name], prefix+".name", r.Name, "a name that no other region has")
		regions[r.Name] = true
		p.require(len(r.FailureDomains) > 0, prefix+".failure_domains", r.FailureDomains, "one failure domain or more")
		for _, d := range r.FailureDomains {
			p.require(d != "" && !domains[d], prefix+".failure_domains", d, "names that no other failure domain has")
			domains[d] = true
		}
	}
}

// checkTopologyMembership checks that the region and failure domain of the host are in
// the topology, if one is given.
func (s *Settings) checkTopologyMembership(p *problems) {
	if len(s.Topology.Regions) == 0 {
		return
	}
	var names []string
	for _, r := range s.Topology.Regions {
		if r.Name != s.Host.Region {
			names = append(names, r.Name)
			continue
		}
		known := slices.Contains(r.FailureDomains, s.Host.FailureDomain)
		p.require(known, "host.failure_domain", s.Host.FailureDomain, "one of "+strings.Join(r.FailureDomains, ", "))
		return
	}
	p.require(false, "host.region", s.Host.Region, "one of "+strings.Join(names, ", "))
}
