package serve

import (
	"net/http"

	"github.com/cockroachdb/errors"

	"quetzalknot/process/eventlog"
	"quetzalknot/version/routes"
)

var (
	errUnknownKey       = errors.New("key is missing or unknown")
	errKeysNotConfirmed = errors.New("configuration is not confirmed recently enough to accept keys")
)

// authorize finds the workspace by the key, once the route is found. If the configuration is replaced meanwhile, it
// finds the route again. It returns false when it has sent the final response.
func (q *request) authorize() bool {
	for {
		config := q.config
		if !config.HasWorkspaces() {
			return true
		}
		if !q.callerHeaders.HasKey && q.route.AllowAnonymous {
			return true
		}
		workspace := q.workspaceOfKey()
		// Asked before the configuration is compared: a host that was suspended after it read the
		// configuration must not use it by a later confirmation.
		confirmed := q.confirmsKey(workspace)
		if current := q.h.Config(); current != nil && current != config {
			q.config = current
			if !q.findRoute() {
				return false
			}
			continue
		}
		if workspace == nil {
			return q.refuseKey(confirmed)
		}
		q.workspace = workspace
		if !confirmed {
			return q.refuse(http.StatusServiceUnavailable, errKeysNotConfirmed)
		}
		return true
	}
}

// workspaceOfKey returns the workspace of the request's key, or nil if the key is missing or unknown.
func (q *request) workspaceOfKey() *routes.Workspace {
	if !q.callerHeaders.HasKey {
		return nil
	}
	return q.config.Workspace(q.callerHeaders.Key)
}

// confirmsKey reports whether the configuration is confirmed recently enough to accept a key that is of a workspace,
// or to reject one that is of none.
func (q *request) confirmsKey(workspace *routes.Workspace) bool {
	if workspace == nil {
		return q.h.UpToDate()
	}
	return q.h.AcceptsKeys == nil || q.h.AcceptsKeys()
}

// refuseKey refuses a request whose key is missing or unknown. While the configuration is not confirmed, it may lack
// a key that was added. It always returns false.
func (q *request) refuseKey(confirmed bool) bool {
	if !confirmed {
		return q.refuse(http.StatusServiceUnavailable, errUnknownKey)
	}
	return q.refuse(http.StatusUnauthorized, errUnknownKey)
}

// refuseUnrouted refuses a request that no route of the confirmed configuration matches. It needs a key all the same,
// since no route allows it without one. It always returns false.
func (q *request) refuseUnrouted() bool {
	if q.config.HasWorkspaces() && q.workspaceOfKey() == nil {
		return q.refuseKey(true)
	}
	return q.refuse(http.StatusNotFound, errNoRoute)
}

// workspaceName returns the name of the request's workspace, or "" if it has none.
func (q *request) workspaceName() string {
	if q.workspace == nil {
		return ""
	}
	return q.workspace.Name
}

// setWorkspace replaces the key in the headers for a target by the workspace, if the configuration has any.
func (q *request) setWorkspace(header http.Header) {
	if q.config.HasWorkspaces() {
		q.h.Headers.SetWorkspace(header, q.workspaceName())
	}
}

// isIdentity reports whether a header is not part of the fingerprint, since the name of the workspace is in place of it.
func (q *request) isIdentity(name string) bool {
	return q.config.HasWorkspaces() && q.h.Headers.IsIdentity(name)
}

// countKeys counts served requests by workspace, and those rejected since the configuration is not confirmed.
func (h *Handler) countKeys(q *request, ev eventlog.Event, err error) {
	if q.config == nil || !q.config.HasWorkspaces() {
		return
	}
	switch {
	case ev.Number == evServed.Number && q.workspace != nil:
		h.Metrics.Counter("serve.workspace." + q.workspace.Name + ".served").Add(1)
	case errors.Is(err, errKeysNotConfirmed):
		h.Metrics.Counter("serve.workspace." + q.workspace.Name + ".not_confirmed").Add(1)
	}
}
