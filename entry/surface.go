package entry

import (
	"time"

	"quetzalknot/process/partner"
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

// directory returns the entry addresses for callers of a place: those of their region,
// or else all that are alive.
func (h *Host) directory(region, _ string) []string {
	alive := h.group.Alive()
	near := entries(alive, func(m partner.Member) bool { return m.Region == region })
	if len(near) > 0 {
		return near
	}
	return entries(alive, func(partner.Member) bool { return true })
}

func entries(members []partner.Member, wanted func(partner.Member) bool) []string {
	var addrs []string
	for _, m := range members {
		if wanted(m) {
			addrs = append(addrs, m.Entry)
		}
	}
	return addrs
}
