package place

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"quetzalknot/process/fleet"
)

// allowsRegion reports whether both the route and the workspace may be served in a region.
func (r *Request) allowsRegion(region string) bool {
	return r.Route.AllowsRegion(region) && r.Workspace.AllowsRegion(region)
}

// hasHome reports whether the workspace is served in some regions only.
func (r *Request) hasHome() bool { return r.Workspace != nil && len(r.Workspace.HomeRegions) > 0 }

// cacheKey returns the key of the request's object in the cache of objects. A workspace with home regions has its own,
// since its ranking has the targets of these regions only.
func (r *Request) cacheKey() uint64 {
	if !r.hasHome() {
		return r.Object
	}
	return r.Object ^ xxhash.Sum64String(r.Workspace.Name)
}

// candidates returns the targets among which the request's object is ranked.
func (r *Request) candidates(targets []*fleet.Target) []*fleet.Target {
	if !r.hasHome() {
		return targets
	}
	return slices.DeleteFunc(slices.Clone(targets), func(t *fleet.Target) bool { return !r.allowsRegion(t.Region) })
}
