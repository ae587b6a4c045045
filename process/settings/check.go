package settings

import (
	"fmt"
	"net/netip"
	"net/url"
)

// Problem is one bad value of a settings file.
type Problem struct {
	// Key is the dotted path of the key, such as listen.api.
	Key   string
	Value string
	// Allowed says what is allowed.
	Allowed string
}

// Error lists the problems of a settings file.
type Error struct {
	Problems []Problem
}

// Error implements the error interface.
func (e *Error) Error() string {
	text := ""
	for i, p := range e.Problems {
		if i > 0 {
			text += "; "
		}
		text += fmt.Sprintf("%s = %q: %s", p.Key, p.Value, p.Allowed)
	}
	return text
}

// problems collects bad values.
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
	p.require(h.Name != "", "host.name", h.Name, "the host's name")
}

func (l *Listen) applyDefaults() {}

func (l *Listen) check(p *problems) {
	p.addr("listen.api", l.API)
	p.addr("listen.forward", l.Forward)
	p.addr("listen.peer", l.Peer)
}

func (r *Roles) applyDefaults() {
	if *r == (Roles{}) {
		*r = Roles{Lookup: true, Forward: true, Watch: true}
	}
}

func (r *Roles) check(*problems) {}

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
	for _, r := range t.Regions {
		p.require(r.Name != "", "topology.region.name", r.Name, "a region's name")
	}
}
