package ticket

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"quetzalknot/version/config"
)

// Problem is one fault of a ticket.
type Problem struct {
	// Field is the path of the field, such as service[0].target[2].addr.
	Field string `json:"field"`
	// Value is the offending value.
	Value string `json:"value"`
	// Allowed says what is allowed.
	Allowed string `json:"allowed"`
}

// String returns one line for operators.
func (p Problem) String() string {
	return fmt.Sprintf("%s = %q: %s", p.Field, p.Value, p.Allowed)
}

// CheckError reports every problem of a ticket.
type CheckError struct {
	Problems []Problem
}

// Error implements the error interface.
func (e *CheckError) Error() string {
	text := "ticket refused"
	for _, p := range e.Problems {
		text += "; " + p.String()
	}
	return text
}

// checker collects problems.
type checker struct{ problems []Problem }

func (c *checker) require(ok bool, field string, value any, allowed string) {
	if !ok {
		c.problems = append(c.problems, Problem{Field: field, Value: fmt.Sprint(value), Allowed: allowed})
	}
}

// Check returns a CheckError that lists every problem, or nil.
func (t *Ticket) Check() error {
	c := &checker{}
	c.require(t.Number > 0, "number", t.Number, "a number greater than 0")
	c.require(t.Operator != "", "operator", t.Operator, "the operator's name")
	for i := range t.Services {
		c.service(fmt.Sprintf("service[%d]", i), &t.Services[i])
	}
	for i, p := range t.Placements {
		field := fmt.Sprintf("placement[%d]", i)
		c.require(p.Service != "", field+".service", p.Service, "a service name")
		c.share(field+".spill_share", p.SpillShare)
	}
	for i, s := range t.Shifts {
		c.shift(fmt.Sprintf("shift[%d]", i), s)
	}
	for i, l := range t.Leaving {
		field := fmt.Sprintf("leaving[%d]", i)
		known := l.Kind == config.LeavingTarget || l.Kind == config.LeavingHost
		c.require(known, field+".kind", l.Kind, `"target" or "host"`)
		c.require(l.Name != "", field+".name", l.Name, "a name")
		c.require(l.Kind != config.LeavingTarget || l.Service != "", field+".service", l.Service, "the target's service")
	}
	for i, b := range t.Blocks {
		_, err := netip.ParsePrefix(b.Prefix)
		c.require(err == nil, fmt.Sprintf("block[%d].prefix", i), b.Prefix, "an address prefix such as 192.0.2.0/24")
	}
	if len(c.problems) > 0 {
		return errors.WithStack(&CheckError{Problems: c.problems})
	}
	return nil
}

func (c *checker) share(field string, v float64) {
	c.require(v >= 0 && v <= 1, field, v, "a share from 0 to 1")
}

func (c *checker) service(field string, s *config.Service) {
	c.require(s.Name != "", field+".name", s.Name, "a service name")
	known := s.Policy == "" || slices.Contains(config.Policies(), s.Policy)
	c.require(known, field+".policy", s.Policy, "one of "+strings.Join(config.Policies(), ", "))
	c.require(s.TimeoutMS >= 0, field+".timeout_ms", s.TimeoutMS, "milliseconds, 0 or more")
	c.require(s.MaxBodyBytes >= 0, field+".max_body_bytes", s.MaxBodyBytes, "bytes, 0 or more")
	c.shed(field+".shed", s.Shed)
	c.share(field+".retry_share", s.RetryShare)
	c.share(field+".hedge_share", s.HedgeShare)
	seen := make(map[string]bool)
	for i, t := range s.Targets {
		at := fmt.Sprintf("%s.target[%d]", field, i)
		c.require(t.Name != "" && !seen[t.Name], at+".name", t.Name, "a name that no other target of the service has")
		seen[t.Name] = true
		_, err := netip.ParseAddrPort(t.Addr)
		c.require(err == nil, at+".addr", t.Addr, "an IP address and port")
		c.require(t.Slots > 0, at+".slots", t.Slots, "1 or more")
	}
	for i, cl := range s.Classes {
		at := fmt.Sprintf("%s.class[%d]", field, i)
		c.require(cl.Name != "", at+".name", cl.Name, "a class name")
		c.require(cl.MaxBodyBytes >= 0, at+".max_body_bytes", cl.MaxBodyBytes, "bytes, 0 or more")
		c.share(at+".slot_share", cl.SlotShare)
		c.share(at+".target_share", cl.TargetShare)
	}
}

// shed requires both halves of the form, since a status alone proves nothing.
func (c *checker) shed(field string, f config.ShedForm) {
	if f == (config.ShedForm{}) {
		return
	}
	c.require(f.Status >= 400 && f.Status <= 599, field+".status", f.Status, "a status from 400 to 599")
	c.require(f.Header != "", field+".header", f.Header, "the name of a header that only a refusal has")
}

func (c *checker) shift(field string, s config.Shift) {
	c.require(s.Name != "", field+".name", s.Name, "a shift name")
	c.require(s.Service != "", field+".service", s.Service, "a service name")
	c.require(s.From != s.To && s.To != "", field+".to", s.To, "a region other than from")
	c.share(field+".share", s.Share)
	c.share(field+".cap", s.Cap)
	c.require(s.Share <= s.Cap, field+".share", s.Share, "at most the cap")
	c.require(s.RatePerSecond >= 0, field+".rate_per_second", s.RatePerSecond, "0 or more")
}
