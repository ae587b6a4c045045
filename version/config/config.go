// Package config declares the objects that change tickets configure: services,
// placements, traffic shifts, leaving targets and hosts, and client blocks.
package config

import (
	"net/http"
	"time"
)

// Defaults of a service and its classes.
const (
	DefaultTimeoutMS   = 10_000
	DefaultQueueLimit  = 256
	DefaultHealthPath  = "/health"
	DefaultLoadPath    = "/load"
	DefaultPolicy      = PolicyTwoChoices
	DefaultRetryShare  = 0.1
	DefaultHedgeShare  = 0.02
	DefaultLongSlots   = 0.5
	DefaultLongTargets = 0.5
)

// Names of the routing policies.
const (
	PolicyRoundRobin        = "round-robin"
	PolicyRandom            = "random"
	PolicyTwoChoices        = "two-choices"
	PolicyTwoChoicesLatency = "two-choices-latency"
)

// Policies returns the names of all routing policies.
func Policies() []string {
	return []string{PolicyRoundRobin, PolicyRandom, PolicyTwoChoices, PolicyTwoChoicesLatency}
}

// Service is the complete configuration of one service.
type Service struct {
	// Name is the host name under which callers reach the service.
	Name string `toml:"name" json:"name"`
	// Policy names the routing policy. Default two-choices.
	Policy string `toml:"policy" json:"policy,omitempty"`
	// TimeoutMS is the timeout in milliseconds of a request that sets none. Default 10000.
	TimeoutMS int `toml:"timeout_ms" json:"timeout_ms,omitempty"`
	// HealthPath is the path of the targets' health endpoint. Default /health.
	HealthPath string `toml:"health_path" json:"health_path,omitempty"`
	// LoadPath is the path of the targets' load endpoint. Default /load.
	LoadPath string `toml:"load_path" json:"load_path,omitempty"`
	// Shed is the response that means that a target shed a request and did not run it.
	Shed ShedResponse `toml:"shed" json:"shed,omitzero"`
	// EchoRequestID is true if the targets echo Quetzal-Request-Id in each response. A
	// response without it, or with another value, is then never forwarded.
	EchoRequestID bool `toml:"echo_request_id" json:"echo_request_id,omitempty"`
	// MaxBodyBytes is the maximum size of a request body. Default: the entry host's limit.
	MaxBodyBytes int64 `toml:"max_body_bytes" json:"max_body_bytes,omitempty"`
	// RetryShare is the maximum ratio of retries to first attempts. Default 0.1.
	RetryShare float64 `toml:"retry_share" json:"retry_share,omitempty"`
	// HedgeShare is the maximum ratio of hedged attempts to first attempts. Default 0.02.
	HedgeShare float64 `toml:"hedge_share" json:"hedge_share,omitempty"`
	// Classes are matched in order. A request that matches none is of the class "short".
	Classes []Class `toml:"class" json:"classes,omitempty"`
	// Targets are the service's back ends.
	Targets []Target `toml:"target" json:"targets"`
}

// ShedResponse describes the response that proves that a request was not run.
type ShedResponse struct {
	// Status is the HTTP status. 0 means that no response proves it.
	Status int `toml:"status" json:"status,omitempty"`
	// Header is the name of a header that must be present.
	Header string `toml:"header" json:"header,omitempty"`
}

// Matches reports whether a response has the declared status and header.
func (s ShedResponse) Matches(status int, header http.Header) bool {
	if s.Status == 0 || s.Header == "" || status != s.Status {
		return false
	}
	return len(header.Values(s.Header)) > 0
}

// Target is one back end of a service.
type Target struct {
	Name string `toml:"name" json:"name"`
	// Addr is the IP address and port.
	Addr          string `toml:"addr" json:"addr"`
	Region        string `toml:"region" json:"region"`
	FailureDomain string `toml:"failure_domain" json:"failure_domain"`
	// Slots is the number of requests that the target runs concurrently.
	Slots int `toml:"slots" json:"slots"`
	// Connections is the maximum number of connections that the target accepts. Default 400.
	Connections int `toml:"connections" json:"connections,omitempty"`
}

// Class groups requests of one service that have similar run times.
type Class struct {
	Name string `toml:"name" json:"name"`
	// PathPrefix matches the beginning of the request path.
	PathPrefix string `toml:"path_prefix" json:"path_prefix"`
	// Methods restricts the class to these HTTP methods. Empty means all.
	Methods []string `toml:"methods" json:"methods,omitempty"`
	// Long marks requests whose run time is many times longer than that of others.
	Long bool `toml:"long" json:"long,omitempty"`
	// SlotShare is the share of a target's slots that the class may use. Default 1, or 0.5 if long.
	SlotShare float64 `toml:"slot_share" json:"slot_share,omitempty"`
	// TargetShare is the share of the targets that the class may use. Default 1, or 0.5 if long.
	TargetShare float64 `toml:"target_share" json:"target_share,omitempty"`
	// QueueLimit is the maximum number of requests that wait on one host. Default 256.
	QueueLimit int `toml:"queue_limit" json:"queue_limit,omitempty"`
	// MaxBodyBytes is the maximum size of a request body. Default: the service's.
	MaxBodyBytes int64 `toml:"max_body_bytes" json:"max_body_bytes,omitempty"`
	// TimeoutMS is the timeout in milliseconds of a request that sets none. Default: the service's.
	TimeoutMS int `toml:"timeout_ms" json:"timeout_ms,omitempty"`
	// ExpectedMS is the expected run time in milliseconds. 0 means unknown.
	ExpectedMS int `toml:"expected_ms" json:"expected_ms,omitempty"`
}

// Placement lists the regions in which a service may run.
type Placement struct {
	Service string   `toml:"service" json:"service"`
	Regions []string `toml:"regions" json:"regions"`
	// SpillShare is the share of each region's slots that callers of other regions may use.
	SpillShare float64 `toml:"spill_share" json:"spill_share,omitempty"`
}

// Shift moves a share of a service's traffic from one region to another.
type Shift struct {
	Name    string `toml:"name" json:"name"`
	Service string `toml:"service" json:"service"`
	From    string `toml:"from" json:"from"`
	To      string `toml:"to" json:"to"`
	// Share is the desired share of the traffic, 0 to 1.
	Share float64 `toml:"share" json:"share"`
	// Cap is the share of the traffic that must never be exceeded, 0 to 1.
	Cap float64 `toml:"cap" json:"cap"`
	// RatePerSecond is the maximum growth of the share per second. 0 means no limit.
	RatePerSecond float64 `toml:"rate_per_second" json:"rate_per_second,omitempty"`
	// Start is the time at which the shift starts. Zero means at once.
	Start time.Time `toml:"start" json:"start,omitzero"`
	// End is the time at which the shift ends. Zero means that it lasts until a ticket
	// changes it.
	End time.Time `toml:"end" json:"end,omitzero"`
}

// LeavingKind is the kind of object that leaves.
type LeavingKind string

// Kinds of objects that leave.
const (
	LeavingTarget LeavingKind = "target"
	LeavingHost   LeavingKind = "host"
)

// Leaving marks a target or an entry host that gets no new requests.
type Leaving struct {
	Kind LeavingKind `toml:"kind" json:"kind"`
	// Service is the target's service; empty for a host.
	Service string `toml:"service" json:"service,omitempty"`
	Name    string `toml:"name" json:"name"`
}

// Block assigns a block of client addresses to a region, and optionally to entry hosts.
type Block struct {
	// Prefix is an IPv4 or IPv6 prefix, such as 192.0.2.0/24.
	Prefix string `toml:"prefix" json:"prefix"`
	Region string `toml:"region" json:"region"`
	// Entries overrides the computed entry hosts, best first.
	Entries []string `toml:"entries" json:"entries,omitempty"`
}

// BlockTable names an object that holds a large table of client blocks.
type BlockTable struct {
	Name string `toml:"name" json:"name"`
	// Object is the key in the object store.
	Object string `toml:"object" json:"object"`
	// SHA256 is the hexadecimal checksum of the object.
	SHA256 string `toml:"sha256" json:"sha256"`
	// Deltas are changes to the object, applied in order.
	Deltas []BlockDelta `toml:"delta" json:"deltas,omitempty"`
}

// BlockDelta names an object that holds changes to a block table.
type BlockDelta struct {
	// Object is the key in the object store.
	Object string `toml:"object" json:"object"`
	// SHA256 is the hexadecimal checksum of the object.
	SHA256 string `toml:"sha256" json:"sha256"`
}

// MaxLongSlots returns the number of a target's slots that a long class may use: its
// share, at least one, but never all if the target has more than one.
func (c Class) MaxLongSlots(slots int) int {
	share := c.SlotShare
	if share == 0 {
		share = DefaultLongSlots
	}
	n := max(1, int(share*float64(slots)))
	if slots > 1 {
		n = min(n, slots-1)
	}
	return n
}

// MaxTargets returns the number of a service's targets that a class may use: its
// share, at least one, but for a long class never all if there are more than one.
func (c Class) MaxTargets(targets int) int {
	share := c.TargetShare
	if share == 0 {
		share = 1
		if c.Long {
			share = DefaultLongTargets
		}
	}
	n := max(1, int(share*float64(targets)))
	if c.Long && targets > 1 {
		n = min(n, targets-1)
	}
	return n
}
