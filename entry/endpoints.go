package entry

import (
	"time"
)

// preferredLookupTTL is how long callers may use a directory answer, unless the settings
// limit it to less.
const preferredLookupTTL = 2 * time.Second

func lookupTTL(s *Settings) time.Duration {
	return min(preferredLookupTTL, time.Duration(s.Bounds.LookupTTLMax))
}

// ready reports whether this host accepts callers' requests.
func (h *Host) ready() bool { return h.unreadyReason() == "" }

// unreadyReason returns why this host accepts no requests, or "" when it is ready.
func (h *Host) unreadyReason() string {
	switch {
	case h.leaving.Load():
		return "the host leaves"
	case h.config.Load() == nil:
		return "no desired state is known"
	case !h.taken.all():
		return "the tables are being read"
	case !h.group.MayServe(time.Now()):
		return "no partner has answered yet"
	case h.fleet.Size() == 0:
		return "no target is known"
	default:
		return ""
	}
}

// logReadiness logs a change of readiness. It is called by tick only, so the last reason
// needs no lock.
func (h *Host) logReadiness() {
	reason := h.unreadyReason()
	if reason == h.lastUnreadyReason {
		return
	}
	h.lastUnreadyReason = reason
	evReadinessChanged.Log(h.log).Bool("ready", reason == "").Str("reason", reason).Send()
}

// directory returns the entry addresses at which callers of a region find a host name. It ignores the caller's zone.
func (h *Host) directory(name, region, _ string) []string {
	var homes []string
	if c := h.config.Load(); c != nil {
		homes = c.HomeRegions(name)
	}
	members := h.group.ServingHosts(region, homes...)
	addrs := make([]string, len(members))
	for i, m := range members {
		addrs[i] = m.Entry
	}
	return addrs
}
