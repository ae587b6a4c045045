package routes

import (
	"math"
	"strings"
	"testing"
)

func config(t *testing.T, list ...*Route) *Config {
	t.Helper()
	c := &Config{Version: 1, Routes: list, Services: map[string]*Service{"bokun": {Name: "bokun"}, "skjalasafn": {Name: "skjalasafn"}}}
	if err := c.Prepare(); err != nil {
		t.Fatal(err)
	}
	return c
}

func route(name, prefix string, priority int) *Route {
	return &Route{Name: name, Host: "Bokun.example", Prefix: prefix, Priority: priority, Services: []WeightedService{{"bokun", 1}}}
}

// TestLongestPrefixWins matches host names and paths against nested prefixes.
func TestLongestPrefixWins(t *testing.T) {
	c := config(t, route("short", "/a/", 1), route("long", "/a/b/", 2), route("root", "/", 3))
	for _, tc := range []struct{ host, path, want string }{
		{"bokun.example", "/a/x", "short"},
		{"BOKUN.example:80", "/a/b/x", "long"},
		{"bokun.example", "/a/b", "short"},
		{"bokun.example", "/ab", "root"},
		{"other.example", "/a/x", ""},
	} {
		got := ""
		if r := c.Match(tc.host, tc.path); r != nil {
			got = r.Name
		}
		if got != tc.want {
			t.Errorf("%s%s is routed to %q, want %q", tc.host, tc.path, got, tc.want)
		}
	}
}

// TestHostNamesAreCompared matches all forms of a host name that mean the same host.
func TestHostNamesAreCompared(t *testing.T) {
	address, name := route("address", "/a/", 1), route("name", "/a/", 1)
	address.Host, name.Host = "[2001:DB8::1]", "Bokun.example."
	c := config(t, address, name)
	for host, want := range map[string]string{
		"[2001:db8::1]": "address", "[2001:DB8::1]:80": "address", "[2001:db8::1]:": "address", "[2001:db8::2]": "", "[2001:db8::1": "",
		"bokun.example": "name", "BOKUN.Example:8080": "name", "bokun.example:": "name", "bokun.example.": "name", "bokun.example.:80": "name",
		"": "", ":80": "", ".": "", "bokun": "", "bokun.example..": "", "x.bokun.example": "",
	} {
		got := ""
		if r := c.Match(host, "/a/x"); r != nil {
			got = r.Name
		}
		if got != want {
			t.Errorf("host %q is routed to %q, want %q", host, got, want)
		}
	}
}

// TestInvalidRoutesAreRejected checks that the error describes what is invalid.
func TestInvalidRoutesAreRejected(t *testing.T) {
	for _, tc := range []struct {
		name string
		r    Route
		want string
	}{
		{"no slash at the end", Route{Prefix: "/a", Services: []WeightedService{{"bokun", 1}}}, "slash"},
		{"no service", Route{Prefix: "/"}, "no service"},
		{"unknown service", Route{Prefix: "/", Services: []WeightedService{{"nobody", 1}}}, "unknown"},
		{"negative weight", Route{Prefix: "/", Services: []WeightedService{{"bokun", -1}}}, "negative"},
		{"no weight", Route{Prefix: "/", Services: []WeightedService{{"bokun", 0}}}, "sum of the weights is zero"},
	} {
		c := &Config{Routes: []*Route{&tc.r}, Services: map[string]*Service{"bokun": {}}}
		if err := c.Prepare(); err == nil || !strings.Contains(err.Error(), tc.want) {
			t.Errorf("%s: %v", tc.name, err)
		}
	}
}

// TestPickFollowsWeights checks that evenly spaced points are divided among two services by
// weight.
func TestPickFollowsWeights(t *testing.T) {
	r := &Route{Services: []WeightedService{{"bokun", 90}, {"skjalasafn", 10}}}
	n := 0
	for i := range 1000 {
		if r.PickService(float64(i)/1000) == "bokun" {
			n++
		}
	}
	if math.Abs(float64(n)-900) > 1 {
		t.Errorf("%d of 1000 points fall on the service with weight 90 of 100", n)
	}
}

// TestTopPriority checks that TopPriority is set only on the route with the highest
// priority at its service.
func TestTopPriority(t *testing.T) {
	c := config(t, route("claim", "/c/", 1), route("search", "/s/", 2))
	if !c.Match("bokun.example", "/c/1").TopPriority || c.Match("bokun.example", "/s/1").TopPriority {
		t.Error("want TopPriority only on the route of priority 1")
	}
}
