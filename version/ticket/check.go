package ticket

import (
	"fmt"
	"math"
	"regexp"

	"github.com/cockroachdb/errors"

	"quetzalknot/version/config"
	"quetzalknot/version/state"
)

// Limits of a ticket.
const (
	// MaxNumber is the largest ticket number. JSON decoders that use float64 represent
	// it exactly.
	MaxNumber = 1<<53 - 1
	// MaxObjects is the maximum number of objects in one ticket.
	MaxObjects = 2000

	maxOperatorBytes = 128
	maxNoteBytes     = 4096
	maxProblems      = 100
)

// Problem is one invalid field of a ticket.
type Problem struct {
	// Field is the path of the field, such as service[0].target[2].addr.
	Field string `json:"field"`
	// Value is the invalid value.
	Value string `json:"value"`
	// Allowed describes the allowed values.
	Allowed string `json:"allowed"`
}

// String returns a one-line description for operators.
func (p Problem) String() string {
	return fmt.Sprintf("%s = %q: %s", p.Field, p.Value, p.Allowed)
}

// CheckError reports the problems of a ticket.
type CheckError struct {
	Problems []Problem
}

// Error implements the error interface.
func (e *CheckError) Error() string {
	text := "ticket rejected"
	for _, p := range e.Problems {
		text += "; " + p.String()
	}
	return text
}

// Region is a region and its failure domains.
type Region struct {
	Name           string
	FailureDomains []string
}

// CheckContext holds the topology and configuration against which a ticket's references
// are checked. References into a zero field are not checked.
type CheckContext struct {
	// Regions are the known regions.
	Regions []Region
	// InForce is the configuration that the ticket would change.
	InForce *state.Snapshot
}

// checker collects the problems of a ticket.
type checker struct {
	problems []Problem
	env      CheckContext
	// services holds the services that exist once the ticket is in force; nil if unknown.
	services map[string]*config.Service
}

func (c *checker) require(ok bool, field string, value any, allowed string) {
	if !ok && len(c.problems) < maxProblems {
		c.problems = append(c.problems, Problem{Field: field, Value: fmt.Sprint(value), Allowed: allowed})
	}
}

// Check checks the ticket without its references to other objects. It returns nil or a
// CheckError that lists the problems.
func (t *Ticket) Check() error { return t.CheckAgainst(CheckContext{}) }

// CheckAgainst checks the ticket and its references to the topology and to the
// configuration in force. It returns nil or a CheckError that lists the problems.
func (t *Ticket) CheckAgainst(env CheckContext) error {
	c := &checker{env: env, services: t.servicesAfter(env.InForce)}
	c.header(t)
	for i := range t.Services {
		c.service(indexed("service", i), &t.Services[i])
	}
	for i := range t.Placements {
		c.placement(indexed("placement", i), &t.Placements[i])
	}
	for i := range t.Shifts {
		c.shift(indexed("shift", i), &t.Shifts[i])
	}
	for i := range t.Leaving {
		c.leaving(indexed("leaving", i), &t.Leaving[i])
	}
	for i := range t.Blocks {
		c.block(indexed("block", i), &t.Blocks[i])
	}
	for i := range t.BlockTables {
		c.blockTable(indexed("block_table", i), &t.BlockTables[i])
	}
	for i := range t.Remove {
		c.remove(indexed("remove", i), t.Remove[i])
	}
	c.duplicates(t)
	if len(c.problems) > 0 {
		return errors.WithStack(&CheckError{Problems: c.problems})
	}
	return nil
}

// servicesAfter returns the services that exist after the ticket is applied to the
// configuration in force, or nil if that configuration is unknown.
func (t *Ticket) servicesAfter(inForce *state.Snapshot) map[string]*config.Service {
	if inForce == nil {
		return nil
	}
	services := make(map[string]*config.Service, len(inForce.Services)+len(t.Services))
	for name, s := range inForce.Services {
		services[name] = s
	}
	for _, k := range t.Remove {
		if k.Kind == state.KindService {
			delete(services, k.Name)
		}
	}
	for i := range t.Services {
		services[t.Services[i].Name] = &t.Services[i]
	}
	return services
}

func (c *checker) header(t *Ticket) {
	c.require(t.Number > 0 && t.Number <= MaxNumber, "number", t.Number, fmt.Sprintf("a number from 1 to %d", uint64(MaxNumber)))
	c.require(t.Operator != "" && len(t.Operator) <= maxOperatorBytes, "operator", t.Operator,
		fmt.Sprintf("the operator's name, at most %d bytes", maxOperatorBytes))
	c.require(len(t.Note) <= maxNoteBytes, "note", len(t.Note), fmt.Sprintf("at most %d bytes", maxNoteBytes))
	n := len(t.keys())
	c.require(n > 0 && n <= MaxObjects, "ticket", n, fmt.Sprintf("1 to %d objects in one ticket", MaxObjects))
}

// duplicates reports objects that occur more than once in the ticket.
func (c *checker) duplicates(t *Ticket) {
	seen := make(map[state.Key]string)
	for _, f := range t.keys() {
		if first, ok := seen[f.key]; ok {
			c.require(false, f.field, f.key, "an object once in a ticket; "+first+" states it too")
		}
		seen[f.key] = f.field
	}
}

func (c *checker) leaving(field string, l *config.Leaving) {
	c.name(field+".name", l.Name)
	switch l.Kind {
	case config.LeavingHost:
		c.require(l.Service == "", field+".service", l.Service, "nothing, since a host has no service")
	case config.LeavingTarget:
		c.targetRef(field, l)
	default:
		c.require(false, field+".kind", l.Kind, `"target" or "host"`)
	}
}

func (c *checker) targetRef(field string, l *config.Leaving) {
	if !c.serviceRef(field+".service", l.Service) || c.services == nil {
		return
	}
	for _, target := range c.services[l.Service].Targets {
		if target.Name == l.Name {
			return
		}
	}
	c.require(false, field+".name", l.Name, "a target of service "+l.Service)
}

func (c *checker) placement(field string, p *config.Placement) {
	c.serviceRef(field+".service", p.Service)
	c.share(field+".spill_share", p.SpillShare)
	c.require(len(p.Regions) > 0, field+".regions", "", "one region or more")
	seen := make(map[string]bool)
	for i, r := range p.Regions {
		c.region(indexed(field+".regions", i), r)
		c.require(!seen[r], indexed(field+".regions", i), r, "each region once")
		seen[r] = true
	}
}

func (c *checker) shift(field string, s *config.Shift) {
	c.name(field+".name", s.Name)
	c.serviceRef(field+".service", s.Service)
	c.region(field+".from", s.From)
	c.region(field+".to", s.To)
	c.require(s.From != s.To, field+".to", s.To, "a region other than from")
	c.share(field+".share", s.Share)
	c.share(field+".cap", s.Cap)
	c.require(s.Share <= s.Cap, field+".share", s.Share, "at most the cap")
	finite := s.RatePerSecond >= 0 && !math.IsInf(s.RatePerSecond, 0)
	c.require(finite, field+".rate_per_second", s.RatePerSecond, "0 or more")
	c.require(s.End.IsZero() || s.End.After(s.Start), field+".end", s.End, "a time after start")
}

func (c *checker) share(field string, v float64) {
	c.require(v >= 0 && v <= 1, field, v, "a share from 0 to 1")
}

// namePattern matches names of services, targets, classes, shifts and hosts.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9]([A-Za-z0-9._-]{0,61}[A-Za-z0-9])?$`)

func (c *checker) name(field, v string) {
	c.require(namePattern.MatchString(v), field, v, "1 to 63 letters, digits, dots, dashes or underscores")
}

// serviceRef checks a reference to a service and reports whether it is valid.
func (c *checker) serviceRef(field, v string) bool {
	if !namePattern.MatchString(v) {
		c.name(field, v)
		return false
	}
	if c.services != nil && c.services[v] == nil {
		c.require(false, field, v, "a service in force or in this ticket")
		return false
	}
	return true
}

func (c *checker) region(field, v string) {
	c.name(field, v)
	if len(c.env.Regions) == 0 || c.findRegion(v) != nil {
		return
	}
	c.require(false, field, v, "a region of the topology")
}

func (c *checker) findRegion(name string) *Region {
	for i := range c.env.Regions {
		if c.env.Regions[i].Name == name {
			return &c.env.Regions[i]
		}
	}
	return nil
}

func indexed(field string, i int) string { return fmt.Sprintf("%s[%d]", field, i) }
