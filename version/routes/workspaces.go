package routes

import (
	"slices"

	"github.com/cockroachdb/errors"
)

// Workspace is a customer whose requests are recognised by a key. It does not hold its keys, so that they appear in no
// log line.
type Workspace struct {
	Name string
	// Priority is the priority of its requests, before that of their route; 0 is the highest.
	Priority int
	// RatePerSecond and Burst limit its requests over all hosts together. A rate of 0 means no limit.
	RatePerSecond, Burst float64
	// HomeRegions are the regions whose targets may serve it; empty means all.
	HomeRegions []string
}

// AddWorkspace adds a workspace with its keys. Empty keys are ignored, since no request can carry them. It fails
// if the workspace has no valid name or the name or a key is that of another one; the error does not contain the key.
func (c *Config) AddWorkspace(w *Workspace, keys []string) error {
	if !isFieldValue(w.Name) {
		return errors.New("the name is empty or has characters that a header field cannot carry")
	}
	if !(w.RatePerSecond >= 0 && w.Burst >= 0) {
		return errors.Newf("rate %v or burst %v is negative", w.RatePerSecond, w.Burst)
	}
	if slices.ContainsFunc(c.Workspaces, func(other *Workspace) bool { return other.Name == w.Name }) {
		return errors.New("another workspace has the same name")
	}
	if c.byKey == nil {
		c.byKey = make(map[string]*Workspace)
	}
	for _, key := range keys {
		if key == "" {
			continue
		}
		if other := c.byKey[key]; other != nil && other != w {
			return errors.Newf("shares a key with workspace %q", other.Name)
		}
		c.byKey[key] = w
	}
	c.Workspaces = append(c.Workspaces, w)
	return nil
}

// isFieldValue reports whether a name is carried unchanged in a header field: it has no control characters and neither
// begins nor ends with a space.
func isFieldValue(name string) bool {
	if name == "" || name[0] == ' ' || name[len(name)-1] == ' ' {
		return false
	}
	for i := range len(name) {
		if name[i] < ' ' || name[i] == 0x7f {
			return false
		}
	}
	return true
}

// HasWorkspaces reports whether requests are recognised by keys.
func (c *Config) HasWorkspaces() bool { return len(c.Workspaces) > 0 }

// Workspace returns the workspace that a key belongs to, or nil if the key is unknown.
func (c *Config) Workspace(key string) *Workspace { return c.byKey[key] }

// AllowsRegion reports whether targets of a region may serve the workspace. A request without a workspace, a nil one,
// may be served in all regions.
func (w *Workspace) AllowsRegion(region string) bool {
	return w == nil || len(w.HomeRegions) == 0 || slices.Contains(w.HomeRegions, region)
}
