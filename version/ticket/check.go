package ticket

import (
	"fmt"
	"math"
	"regexp"

	"github.com/cockroachdb/errors"

	"quetzalknot/version/config"
	"quetzalknot/version/state"
)

// Bounds of a ticket.
const (
	// MaxNumber is the largest ticket number; JSON readers keep it exactly.
	MaxNumber = 1<<53 - 1
	// MaxObjects is how many objects one ticket may touch.
	MaxObjects = 2000

	maxOperatorBytes = 128
	maxNoteBytes     = 4096
	maxProblems      = 100
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

// Region is a region and its failure domains.
type Region struct {
	Name           string
	FailureDomains []string
}

// Surroundings are what a ticket's references are checked against. What is zero
// is not checked.
type Surroundings struct {
	// Regions are the known regions.
	Regions []Region
	// InForce is the configuration that the ticket would change.
	InForce *state.Snapshot
}

// checker collects problems.
type checker struct {
	problems []Problem
	around   Surroundings
	// services holds the services that exist once the ticket is in force.
	services map[string]*config.Service
}

func (c *checker) require(ok bool, field string, value any, allowed string) {
	if !ok && len(c.problems) < maxProblems {
		c.problems = append(c.problems, Problem{Field: field, Value: fmt.Sprint(value), Allowed: allowed})
	}
}

// Check checks all that the ticket alone tells. It returns a CheckError that
// lists every problem, or nil.
func (t *Ticket) Check() error { return t.CheckAgainst(Surroundings{}) }

// CheckAgainst checks the ticket and its references into the surroundings. It
// returns a CheckError that lists every problem, or nil.
func (t *Ticket) CheckAgainst(around Surroundings) error {
	c := &checker{around: around, services: t.servicesAfter(around.InForce)}
	c.header(t)
	for i := range t.Services {
		c.service(at("service", i), &t.Services[i])
	}
	for i := range t.Placements {
		c.placement(at("placement", i), &t.Placements[i])
	}
	for i := range t.Shifts {
		c.shift(at("shift", i), &t.Shifts[i])
	}
	for i := range t.Leaving {
		c.leaving(at("leaving", i), &t.Leaving[i])
	}
	for i := range t.Blocks {
		c.block(at("block", i), &t.Blocks[i])
	}
	for i := range t.BlockTables {
		c.blockTable(at("block_table", i), &t.BlockTables[i])
	}
	for i := range t.Remove {
		c.remove(at("remove", i), t.Remove[i])
	}
	c.repeated(t)
	if len(c.problems) > 0 {
		return errors.WithStack(&CheckError{Problems: c.problems})
	}
	return nil
}

// servicesAfter returns the services of the state in force with the ticket's on
// top, or nil when the state in force is not known.
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

// repeated finds objects that the ticket states more than once.
func (c *checker) repeated(t *Ticket) {
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
		c.knownTarget(field, l)
	default:
		c.require(false, field+".kind", l.Kind, `"target" or "host"`)
	}
}

func (c *checker) knownTarget(field string, l *config.Leaving) {
	if !c.knownService(field+".service", l.Service) || c.services == nil {
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
	c.knownService(field+".service", p.Service)
	c.share(field+".spill_share", p.SpillShare)
	c.require(len(p.Regions) > 0, field+".regions", "", "one region or more")
	seen := make(map[string]bool)
	for i, r := range p.Regions {
		c.region(at(field+".regions", i), r)
		c.require(!seen[r], at(field+".regions", i), r, "each region once")
		seen[r] = true
	}
}

func (c *checker) shift(field string, s *config.Shift) {
	c.name(field+".name", s.Name)
	c.knownService(field+".service", s.Service)
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

// namePattern is what names of services, targets, classes, shifts and hosts look like.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9]([A-Za-z0-9._-]{0,61}[A-Za-z0-9])?$`)

func (c *checker) name(field, v string) {
	c.require(namePattern.MatchString(v), field, v, "1 to 63 letters, digits, dots, dashes or underscores")
}

// knownService checks a reference to a service and reports whether it holds.
func (c *checker) knownService(field, v string) bool {
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
	if len(c.around.Regions) == 0 || c.findRegion(v) != nil {
		return
	}
	c.require(false, field, v, "a region of the topology")
}

func (c *checker) findRegion(name string) *Region {
	for i := range c.around.Regions {
		if c.around.Regions[i].Name == name {
			return &c.around.Regions[i]
		}
	}
	return nil
}

func at(field string, i int) string { return fmt.Sprintf("%s[%d]", field, i) }
