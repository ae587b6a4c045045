package gateway

import (
	"strconv"
	"time"

	"quetzalknot/process/settings"
	"quetzalknot/request/claim"
	"quetzalknot/version/lookup"
)

// keyPeriods is how many periods there are in the time for which a key is known.
const keyPeriods = 4

// Keys says how idempotency keys begin. It implements resolver.Keys.
type Keys struct {
	Claims settings.Claims
}

// Prefix returns the beginning of the idempotency keys that an entry host's process
// runs, or "" when the process is not known.
func (k Keys) Prefix(h lookup.Host) string {
	if h.Incarnation == 0 {
		return ""
	}
	return claim.Prefix(claim.Owner{Host: h.Name, Incarnation: h.Incarnation}, time.Now())
}

// Period names the time in which a cached look-up answer may be used for new keys.
// It changes a few times while a key is known, so that no caller makes keys that are
// too old from the start.
func (k Keys) Period() string {
	length := max(1, int64(k.Claims.Keep()/keyPeriods/time.Second))
	return strconv.FormatInt(time.Now().Unix()/length, 36)
}

// ForwardAddr implements forward.Owners. It knows hosts that are about to stop too.
func (g *Gateway) ForwardAddr(o claim.Owner) (string, bool) {
	e, ok := g.opts.Members.Entry(o.Host)
	if !ok || e.Member.Incarnation != o.Incarnation {
		return "", false
	}
	return e.Member.ForwardAddr, true
}

// owner returns this process as the owner of keys. Its host is empty before the
// process is a member.
func (g *Gateway) owner() claim.Owner {
	self := g.opts.Members.Self()
	return claim.Owner{Host: self.Host, Incarnation: self.Incarnation}
}
