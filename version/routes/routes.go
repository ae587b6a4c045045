// Package routes holds one version of the operators' desired state as it is used to
// route requests. A Config is immutable once it is made.
package routes

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Config is one version of the desired state.
type Config struct {
	Version  uint64
	Routes   []*Route
	Services map[string]*Service
	Limits   Limits

	byHost map[string][]*Route
}

// Route says where the requests of a host name and path prefix may run.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Idempotent requests may run more than once.
	Idempotent bool
	// Kind is the route's kind as operators write it, for logs and figures.
	Kind string
	// Timeout bounds how long a caller is kept waiting. Zero means no bound.
	Timeout time.Duration
	// Objective is the time within which an answer has its full worth.
	Objective time.Duration
	// Priority is the rank among routes; 0 is the most urgent.
	Priority int
	// Urgent says that no other route of the same services has a better rank.
	Urgent bool
	// Attempts is how many targets one request may be sent to, at least 1.
	Attempts int
	// Affinity says that targets serve objects faster that they served lately.
	Affinity bool
	// HomeRegions are the only regions whose targets may serve the route; empty means all.
	HomeRegions []string
	// Shares are the services that requests are divided among by weight.
	Shares []Share
}

// Share is a service's part of a route's requests.
type Share struct {
	Service string
	Weight  float64
}

// Service describes the targets of one service.
type Service struct {
	Name string
	// HealthPath is the path of the liveness check.
	HealthPath string
	// Connections is how many connections a target accepts from all hosts together.
	Connections int
	// ColdStart is how long a target stays cold after its start.
	ColdStart time.Duration
	// ColdPerSecond is how many requests a second a cold target bears.
	ColdPerSecond float64
}

// Limits bound what callers may send.
type Limits struct {
	HeaderBytes, BodyBytes     int64
	HeaderTimeout, IdleTimeout time.Duration
}

// Complete checks a Config and prepares it for use. It returns an error that names the
// faulty route.
func (c *Config) Complete() error {
	c.byHost = make(map[string][]*Route)
	for _, r := range c.Routes {
		if err := c.check(r); err != nil {
			return errors.Wrapf(err, "route %q", r.Name)
		}
		host := strings.ToLower(r.Host)
		c.byHost[host] = append(c.byHost[host], r)
	}
	c.markUrgent()
	for _, list := range c.byHost {
		slices.SortFunc(list, func(a, b *Route) int {
			return cmp.Or(cmp.Compare(len(b.Prefix), len(a.Prefix)), cmp.Compare(a.Name, b.Name))
		})
	}
	return nil
}

// markUrgent finds the routes with the best rank at their services.
func (c *Config) markUrgent() {
	best := make(map[string]int)
	for _, r := range c.Routes {
		for _, s := range r.Shares {
			if rank, ok := best[s.Service]; !ok || r.Priority < rank {
				best[s.Service] = r.Priority
			}
		}
	}
	for _, r := range c.Routes {
		r.Urgent = r.Priority <= best[r.Shares[0].Service]
	}
}

func (c *Config) check(r *Route) error {
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		return errors.Newf("prefix %q does not begin and end with a slash", r.Prefix)
	}
	if len(r.Shares) == 0 {
		return errors.New("names no service")
	}
	total := 0.0
	for _, s := range r.Shares {
		if c.Services[s.Service] == nil {
			return errors.Newf("service %q is unknown", s.Service)
		}
		if s.Weight < 0 {
			return errors.Newf("weight %v of service %q is negative", s.Weight, s.Service)
		}
		total += s.Weight
	}
	if total <= 0 {
		return errors.New("the weights sum up to nothing")
	}
	r.Attempts = max(1, r.Attempts)
	return nil
}

// Match returns the route with the longest prefix of a path, or nil.
func (c *Config) Match(host, path string) *Route {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	for _, r := range c.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// AllowsRegion reports whether targets of a region may serve the route.
func (r *Route) AllowsRegion(region string) bool {
	return len(r.HomeRegions) == 0 || slices.Contains(r.HomeRegions, region)
}

// Pick returns the service for a point in [0, 1) of the weights.
func (r *Route) Pick(point float64) string {
	total := 0.0
	for _, s := range r.Shares {
		total += s.Weight
	}
	point *= total
	for _, s := range r.Shares {
		if point < s.Weight {
			return s.Service
		}
		point -= s.Weight
	}
	return r.Shares[len(r.Shares)-1].Service
}
