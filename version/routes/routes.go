// Package routes holds one version of the operators' desired state in the form used to
// route requests. A Config is immutable after Prepare.
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

	// Workspaces are the customers whose requests are recognised by a key; AddWorkspace adds one. Those with a rate limit are
	// limited over all hosts together.
	Workspaces []*Workspace

	byHost map[string][]*Route
	// byKey holds the workspaces by their keys.
	byKey map[string]*Workspace
}

// Route defines which services and regions serve the requests of a host name and path
// prefix.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Idempotent requests may run more than once.
	Idempotent bool
	// Kind is the route's kind as operators write it, for logs and metrics.
	Kind string
	// Timeout is the maximum time until a caller gets a response. Zero means no limit.
	Timeout time.Duration
	// Objective is the latency objective: a response within this time has its full value.
	Objective time.Duration
	// Priority is the priority of the route; 0 is the highest.
	Priority int
	// TopPriority is true if no other route of its first service has a higher priority.
	TopPriority bool
	// Attempts is the maximum number of targets that a request is sent to, at least 1.
	Attempts int
	// Affinity is true if targets serve an object faster when they served it recently.
	Affinity bool
	// AllowAnonymous is true if requests need no key of a workspace.
	AllowAnonymous bool
	// HomeRegions are the regions whose targets may serve the route; empty means all.
	HomeRegions []string
	// Services are the services among which requests are divided by weight.
	Services []WeightedService
}

// WeightedService is a service that serves a route, with its weight.
type WeightedService struct {
	Service string
	Weight  float64
}

// Service holds the properties of the targets of one service.
type Service struct {
	Name string
	// HealthPath is the path of the health check.
	HealthPath string
	// Connections is the number of connections that a target accepts from all hosts together.
	Connections int
	// ColdStart is the time after its start for which a target is cold: it then tolerates
	// only a few requests.
	ColdStart time.Duration
	// ColdPerSecond is the number of requests per second that a cold target tolerates.
	ColdPerSecond float64
}

// Limits are the limits on requests and connections of callers.
type Limits struct {
	HeaderBytes, BodyBytes     int64
	HeaderTimeout, IdleTimeout time.Duration
}

// Prepare checks a Config and prepares it for use. An error names the invalid route.
func (c *Config) Prepare() error {
	c.byHost = make(map[string][]*Route)
	for _, r := range c.Routes {
		if err := c.check(r); err != nil {
			return errors.Wrapf(err, "route %q", r.Name)
		}
		host := hostName(r.Host)
		c.byHost[host] = append(c.byHost[host], r)
	}
	c.markTopPriority()
	for _, list := range c.byHost {
		slices.SortFunc(list, func(a, b *Route) int {
			return cmp.Or(cmp.Compare(len(b.Prefix), len(a.Prefix)), cmp.Compare(a.Name, b.Name))
		})
	}
	return nil
}

// markTopPriority sets TopPriority on the routes with the highest priority at their first
// service.
func (c *Config) markTopPriority() {
	best := make(map[string]int)
	for _, r := range c.Routes {
		for _, s := range r.Services {
			if highest, ok := best[s.Service]; !ok || r.Priority < highest {
				best[s.Service] = r.Priority
			}
		}
	}
	for _, r := range c.Routes {
		r.TopPriority = r.Priority <= best[r.Services[0].Service]
	}
}

func (c *Config) check(r *Route) error {
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		return errors.Newf("prefix %q does not begin and end with a slash", r.Prefix)
	}
	if len(r.Services) == 0 {
		return errors.New("names no service")
	}
	total := 0.0
	for _, s := range r.Services {
		if c.Services[s.Service] == nil {
			return errors.Newf("service %q is unknown", s.Service)
		}
		if s.Weight < 0 {
			return errors.Newf("weight %v of service %q is negative", s.Weight, s.Service)
		}
		total += s.Weight
	}
	if total <= 0 {
		return errors.New("the sum of the weights is zero")
	}
	r.Attempts = max(1, r.Attempts)
	return nil
}

// Match returns the route of a host name with the longest matching path prefix, or nil.
func (c *Config) Match(host, path string) *Route {
	for _, r := range c.byHost[hostName(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// HomeRegions returns the home regions of the routes of a host name, each once; none if no route has any.
func (c *Config) HomeRegions(host string) []string {
	var regions []string
	for _, r := range c.byHost[hostName(host)] {
		regions = append(regions, r.HomeRegions...)
	}
	slices.Sort(regions)
	return slices.Compact(regions)
}

// hostName returns a host name in lower case, without the port and without the dot that ends
// an absolute domain name. The colons within the brackets of an IPv6 address begin no port.
func hostName(host string) string {
	if port := strings.LastIndexByte(host, ':'); port > strings.LastIndexByte(host, ']') {
		host = host[:port]
	}
	return strings.ToLower(strings.TrimSuffix(host, "."))
}

// AllowsRegion reports whether targets of a region may serve the route.
func (r *Route) AllowsRegion(region string) bool {
	return len(r.HomeRegions) == 0 || slices.Contains(r.HomeRegions, region)
}

// PickService divides the interval [0, 1) among the services by weight and returns the one
// whose part contains point.
func (r *Route) PickService(point float64) string {
	total := 0.0
	for _, s := range r.Services {
		total += s.Weight
	}
	point *= total
	for _, s := range r.Services {
		if point < s.Weight {
			return s.Service
		}
		point -= s.Weight
	}
	return r.Services[len(r.Services)-1].Service
}
