package gateway

import (
	"strconv"
	"time"

	"quetzalknot/process/settings"
	"quetzalknot/request/claim"
	"quetzalknot/version/lookup"
)

// periodsPerKeyLifetime is how many periods there are in the lifetime of a key.
const periodsPerKeyLifetime = 4

// Keys returns the prefixes of idempotency keys. It implements resolver.Keys.
type Keys struct {
	Claims settings.Claims
}

// Prefix returns the prefix of the idempotency keys that the process of an entry host
// runs, or "" when the process is unknown.
func (k Keys) Prefix(h lookup.Host) string {
	if h.Incarnation == 0 {
		return ""
	}
	return claim.Prefix(claim.Owner{Host: h.Name, Incarnation: h.Incarnation}, time.Now())
}

// Period identifies the current period. A cached look-up answer may be used to create
// keys only within its period. There are periodsPerKeyLifetime periods in the lifetime
// of a key, so that no caller creates keys that are already too old.
func (k Keys) Period() string {
	length := max(1, int64(k.Claims.KeyLifetime()/periodsPerKeyLifetime/time.Second))
	return strconv.FormatInt(time.Now().Unix()/length, 36)
}

// ForwardAddr implements forward.Owners. It also returns the addresses of hosts that
// are about to stop. A process is taken to be gone when its host is not in the list of members
// or has another incarnation there.
func (g *Gateway) ForwardAddr(o claim.Owner) (string, bool) {
	e, ok := g.opts.Members.Entry(o.Host)
	if !ok || e.Member.Incarnation != o.Incarnation {
		return "", false
	}
	return e.Member.ForwardAddr, true
}

// MayBeNew implements forward.Owners. A process may be new when its host is not in the list
// of members or has a smaller incarnation there. A dead member stays in the list for longer
// than keys live.
func (g *Gateway) MayBeNew(o claim.Owner) bool {
	e, ok := g.opts.Members.Entry(o.Host)
	return !ok || e.Member.Incarnation < o.Incarnation
}

// selfOwner returns this process as an owner of keys. Its host is empty until the
// process is a member.
func (g *Gateway) selfOwner() claim.Owner {
	self := g.opts.Members.Self()
	return claim.Owner{Host: self.Host, Incarnation: self.Incarnation}
}
