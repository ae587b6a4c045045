package ticket

import (
	"fmt"
	"net/http"
	"net/netip"
	"regexp"
	"slices"
	"strings"

	"quetzalknot/version/config"
	"quetzalknot/version/state"
)

// Limits of the objects of a ticket.
const (
	maxTargets     = 2000
	maxClasses     = 64
	maxSlots       = 10_000
	maxConnections = 100_000
	maxQueue       = 100_000
	maxEntries     = 8
	maxTimeoutMS   = 60 * 60 * 1000
	maxObjectKey   = 512
)

var (
	methodPattern = regexp.MustCompile(`^[A-Z]{1,20}$`)
	headerPattern = regexp.MustCompile(`^[A-Za-z0-9-]{1,64}$`)
	sha256Pattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
	objectPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._/-]*$`)
)

func (c *checker) service(field string, s *config.Service) {
	c.name(field+".name", s.Name)
	known := s.Policy == "" || slices.Contains(config.Policies(), s.Policy)
	c.require(known, field+".policy", s.Policy, "one of "+strings.Join(config.Policies(), ", "))
	c.milliseconds(field+".timeout_ms", s.TimeoutMS)
	c.path(field+".health_path", s.HealthPath)
	c.path(field+".load_path", s.LoadPath)
	c.shed(field+".shed", s.Shed)
	c.share(field+".retry_share", s.RetryShare)
	c.share(field+".hedge_share", s.HedgeShare)
	c.require(len(s.Targets) <= maxTargets, field+".target", len(s.Targets), fmt.Sprintf("at most %d targets", maxTargets))
	c.require(len(s.Classes) <= maxClasses, field+".class", len(s.Classes), fmt.Sprintf("at most %d classes", maxClasses))
	names := make(map[string]bool)
	addrs := make(map[string]bool)
	for i := range s.Targets {
		c.target(indexed(field+".target", i), &s.Targets[i], names, addrs)
	}
	classes := make(map[string]bool)
	for i := range s.Classes {
		c.class(indexed(field+".class", i), &s.Classes[i], classes)
	}
}

func (c *checker) target(field string, t *config.Target, names, addrs map[string]bool) {
	c.name(field+".name", t.Name)
	c.require(!names[t.Name], field+".name", t.Name, "a name that no other target of the service has")
	names[t.Name] = true
	addr, err := netip.ParseAddrPort(t.Addr)
	usable := err == nil && addr.Port() != 0 && !addr.Addr().IsUnspecified()
	c.require(usable, field+".addr", t.Addr, "an IP address and port, such as 192.0.2.1:9000")
	c.require(!addrs[t.Addr], field+".addr", t.Addr, "an address that no other target of the service has")
	addrs[t.Addr] = true
	c.location(field, t.Region, t.FailureDomain)
	c.number(field+".slots", t.Slots, 1, maxSlots)
	c.number(field+".connections", t.Connections, 0, maxConnections)
}

// location checks a region and a failure domain of that region.
func (c *checker) location(field, region, domain string) {
	c.region(field+".region", region)
	c.name(field+".failure_domain", domain)
	known := c.findRegion(region)
	if known == nil {
		return
	}
	c.require(slices.Contains(known.FailureDomains, domain), field+".failure_domain", domain, "a failure domain of region "+region)
}

func (c *checker) class(field string, cl *config.Class, names map[string]bool) {
	c.name(field+".name", cl.Name)
	c.require(!names[cl.Name], field+".name", cl.Name, "a name that no other class of the service has")
	names[cl.Name] = true
	c.path(field+".path_prefix", cl.PathPrefix)
	for i, m := range cl.Methods {
		c.require(methodPattern.MatchString(m), indexed(field+".methods", i), m, "an HTTP method in capital letters")
	}
	c.share(field+".slot_share", cl.SlotShare)
	c.share(field+".target_share", cl.TargetShare)
	c.number(field+".queue_limit", cl.QueueLimit, 0, maxQueue)
	c.milliseconds(field+".timeout_ms", cl.TimeoutMS)
	c.milliseconds(field+".expected_ms", cl.ExpectedMS)
	c.require(cl.TimeoutMS == 0 || cl.ExpectedMS <= cl.TimeoutMS, field+".expected_ms", cl.ExpectedMS, "at most timeout_ms")
}

// shed requires a header in addition to the status, since the status alone does not
// prove that the target did not run the request.
func (c *checker) shed(field string, s config.ShedResponse) {
	if s.Status == 0 {
		c.require(s.Header == "", field+".header", s.Header, "nothing without a status")
		return
	}
	c.number(field+".status", s.Status, http.StatusBadRequest, 599)
	c.require(headerPattern.MatchString(s.Header), field+".header", s.Header, "the name of the header that marks a shed answer")
}

func (c *checker) block(field string, b *config.Block) {
	p, err := netip.ParsePrefix(b.Prefix)
	ok := err == nil && p.Masked() == p && p.String() == b.Prefix && !p.Addr().Is4In6()
	allowed := "an address prefix such as 192.0.2.0/24"
	if err == nil {
		allowed = "the prefix in canonical form, here " + p.Masked().String()
	}
	c.require(ok, field+".prefix", b.Prefix, allowed)
	c.region(field+".region", b.Region)
	c.require(len(b.Entries) <= maxEntries, field+".entries", len(b.Entries), fmt.Sprintf("at most %d hosts", maxEntries))
	seen := make(map[string]bool)
	for i, e := range b.Entries {
		c.name(indexed(field+".entries", i), e)
		c.require(!seen[e], indexed(field+".entries", i), e, "each host once")
		seen[e] = true
	}
}

// blockTableName is the only allowed name of a block table, so that there is at most one.
const blockTableName = "clients"

func (c *checker) blockTable(field string, b *config.BlockTable) {
	c.require(b.Name == blockTableName, field+".name", b.Name, `"`+blockTableName+`", since there is one table`)
	c.storedObject(field, b.Object, b.SHA256)
	for i, d := range b.Deltas {
		c.storedObject(indexed(field+".delta", i), d.Object, d.SHA256)
	}
}

func (c *checker) storedObject(field, object, sum string) {
	usable := len(object) <= maxObjectKey && objectPattern.MatchString(object) && !strings.Contains(object, "..")
	c.require(usable, field+".object", object, "a key of the object store")
	c.require(sha256Pattern.MatchString(sum), field+".sha256", sum, "64 hexadecimal digits in lower case")
}

func (c *checker) remove(field string, k state.Key) {
	switch k.Kind {
	case state.KindService, state.KindPlacement, state.KindShift, state.KindBlockTable:
		c.name(field+".name", k.Name)
	case state.KindLeaving:
		c.leavingKey(field+".name", k.Name)
	case state.KindBlock:
		_, err := netip.ParsePrefix(k.Name)
		c.require(err == nil, field+".name", k.Name, "an address prefix such as 192.0.2.0/24")
	default:
		c.require(false, field+".kind", k.Kind, "service, placement, shift, leaving, block or block-table")
	}
}

func (c *checker) leavingKey(field, name string) {
	parts := strings.Split(name, "/")
	ok := len(parts) == 2 && parts[0] == string(config.LeavingHost) ||
		len(parts) == 3 && parts[0] == string(config.LeavingTarget)
	for _, p := range parts {
		ok = ok && namePattern.MatchString(p)
	}
	c.require(ok, field, name, "host/NAME or target/SERVICE/NAME")
}

func (c *checker) path(field, v string) {
	c.require(v == "" || strings.HasPrefix(v, "/"), field, v, "a path that begins with /")
}

func (c *checker) milliseconds(field string, v int) { c.number(field, v, 0, maxTimeoutMS) }

func (c *checker) number(field string, v, least, most int) {
	c.require(v >= least && v <= most, field, v, fmt.Sprintf("a number from %d to %d", least, most))
}
