package entry

import (
	"time"
)

// lookupTTLWanted is how long callers may use an answer of the directory.
const lookupTTLWanted = 2 * time.Second

func lookupTTL(s *Settings) time.Duration {
	return min(lookupTTLWanted, time.Duration(s.Bounds.LookupTTLMax))
}

// ready reports whether this host takes callers' requests.
func (h *Host) ready() bool { return h.whyUnready() == "" }

// whyUnready returns why this host takes no requests, or "".
func (h *Host) whyUnready() string {
	switch {
	case h.leaving.Load():
		return "the host leaves"
	case h.config.Load() == nil:
		return "no desired state is known"
	case h.fleet.Size() == 0:
		return "no target is known"
	default:
		return ""
	}
}

// noteReadiness logs a change of readiness. Only the tick calls it.
func (h *Host) noteReadiness() {
	why := h.whyUnready()
	if why == h.unready {
		return
	}
	h.unready = why
	evReady.Log(h.log).Bool("ready", why == "").Str("reason", why).Send()
}

// directory returns the entry addresses for callers of a place.
func (h *Host) directory(region, _ string) []string {
	members := h.group.Carriers(region)
	addrs := make([]string, len(members))
	for i, m := range members {
		addrs[i] = m.Entry
	}
	return addrs
}
