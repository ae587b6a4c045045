package fleet

import "time"

// Owners knows which hosts may send to a target that tolerates few requests.
type Owners interface {
	// Owns reports whether this host is among the given number of owners of a target.
	Owns(id string, owners int) bool
	// Candidates returns how many hosts can be owners, at least 1.
	Candidates() int
}

// SingleHost is Owners for a host that is the only one.
type SingleHost struct{}

// Owns implements Owners.
func (SingleHost) Owns(string, int) bool { return true }

// Candidates implements Owners.
func (SingleHost) Candidates() int { return 1 }

// quota bounds the requests to a target: each of its owners may send as many requests as sends in any
// window, and the other hosts none. With 0 owners each host is one.
type quota struct {
	owners, sends int
	window        time.Duration
}

const (
	// maxColdOwners is how many hosts may send to one cold target.
	maxColdOwners = 5
	// coldInterval is the least time between two requests of an owner to a cold target.
	coldInterval = 1100 * time.Millisecond
	// sendRateWindow is the time over which the rate of requests to a target is bounded while its
	// reports may be out of date.
	sendRateWindow = time.Second
	// maxSendTimes is how many send times are kept for a target, and so the largest number of requests
	// of a quota.
	maxSendTimes = 256
)

// A target with a limit tolerates from all hosts together, in any limitWindow, limitOverrun times what
// that allows and limitSlack requests.
const (
	limitWindow  = 4 * time.Second
	limitOverrun = 1.5
	limitSlack   = 5
	// memberLists is the number of different member lists that hosts may use at the same time.
	memberLists = 2
	// limitJitter is the largest difference between the times that requests take to a target.
	limitJitter = 300 * time.Millisecond
	// limitOwners is the least number of owners of a target with a limit, and limitPerOwner the limit in
	// requests a second for which there is one more.
	limitOwners   = 2
	limitPerOwner = 2.0
	// minLimit is the least limit, in requests a second, at which owners still send requests that show whether it
	// has ended.
	minLimit = 0.05
)

// coldQuota is the quota of a cold target.
var coldQuota = quota{owners: maxColdOwners, sends: 1, window: coldInterval}

// limitQuota returns the quota of a target that names a limit in requests a second, with a number of
// hosts that can be owners. The owners of memberLists lists of members together stay below what the target tolerates,
// and those of one list keep the limit itself on average.
func limitQuota(perSecond float64, candidates int) quota {
	owners := min(limitOwners+int(perSecond/limitPerOwner), max(1, candidates))
	tolerated := limitOverrun*perSecond*limitWindow.Seconds() + limitSlack
	sends := min(maxSendTimes, max(1, int(tolerated)/(memberLists*owners)))
	window := limitWindow + limitJitter
	if average := time.Duration(float64(owners*sends) / max(minLimit, perSecond) * float64(time.Second)); average > window {
		window = average
	}
	return quota{owners: owners, sends: sends, window: window}
}

// withinQuotas reports whether all quotas of a target that are in force allow this host a request. The lock
// must be held.
func (f *Fleet) withinQuotas(t *Target, now time.Time) bool {
	if f.maxPerSecond != nil && !f.allows(t, quota{sends: f.maxPerSecond(t.Service), window: sendRateWindow}, now) {
		return false
	}
	if t.notices.limit.named && !f.allows(t, f.limitQuota(t), now) {
		return false
	}
	return !t.IsCold(now) || f.allows(t, coldQuota, now)
}

// limitQuota returns the quota of a target that names a limit. The lock must be held.
func (f *Fleet) limitQuota(t *Target) quota {
	return limitQuota(t.notices.limit.perSecond, f.owners.Candidates())
}

// allows reports whether a quota allows this host a request to a target. The lock must be held.
func (f *Fleet) allows(t *Target, q quota, now time.Time) bool {
	return !t.reached(q, now) && (q.owners == 0 || f.owners.Owns(t.ID, q.owners))
}

// rememberSend records the time of a request and forgets those that no quota needs any more.
func (t *Target) rememberSend(longest time.Duration, now time.Time) {
	kept := t.sendTimes
	for len(kept) > 0 && (len(kept) == maxSendTimes || now.Sub(kept[0]) >= longest) {
		kept = kept[1:]
	}
	t.sendTimes = append(kept, now)
}

// reached reports whether this host has sent as many requests within the window of a quota as it allows
// an owner, at most maxSendTimes.
func (t *Target) reached(q quota, now time.Time) bool {
	n := min(q.sends, maxSendTimes)
	return n <= 0 || len(t.sendTimes) >= n && now.Sub(t.sendTimes[len(t.sendTimes)-n]) < q.window
}

// longestWindow returns the longest window of the quotas that a target may have. The lock must be held.
func (f *Fleet) longestWindow(t *Target) time.Duration {
	longest := max(sendRateWindow, coldInterval)
	if t.notices.limit.named {
		longest = max(longest, f.limitQuota(t).window)
	}
	return longest
}
