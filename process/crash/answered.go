package crash

import "time"

const (
	// answeredSlots is the number of requests in the table of those that were answered here. A request replaces
	// another one in its slot, so that the table needs no search for old entries.
	answeredSlots = 4096
	// answeredAge is how long an answer counts for a variant of a suspected resource.
	answeredAge = 30 * time.Minute
	// maxAnswers bounds the answered variants of a resource that are told to other hosts.
	maxAnswers = 64
	// reportDelay is how long after a crash its report may arrive from another host.
	reportDelay = 2 * time.Second
)

// answerMark stands in the place of a target for an answer to a request of which no crash is known.
const answerMark = "answered"

// answeredTable holds requests that were answered recently, and when.
type answeredTable [answeredSlots]struct {
	fingerprint uint64
	at          time.Time
}

func (a *answeredTable) record(fingerprint uint64, now time.Time) {
	slot := &a[fingerprint%answeredSlots]
	slot.fingerprint, slot.at = fingerprint, now
}

// since returns when a request was last answered; the zero time if that is not known.
func (a *answeredTable) since(fingerprint uint64) time.Time {
	if slot := &a[fingerprint%answeredSlots]; slot.fingerprint == fingerprint {
		return slot.at
	}
	return time.Time{}
}

// wasAnswered reports whether a variant was answered here within answeredAge, or is known from other hosts as answered with
// no crash that counts.
func (c *Counts) wasAnswered(fingerprint uint64, now time.Time) bool {
	if at := c.answered.since(fingerprint); !at.IsZero() && now.Sub(at) < answeredAge {
		return true
	}
	r := c.requests[fingerprint]
	return r != nil && !r.expired(now) && r.wasCleared()
}

// wasCleared reports whether an answer has cleared all that was counted.
func (r *requestCounts) wasCleared() bool {
	for _, t := range r.byTarget {
		if t.crashes > t.cleared {
			return false
		}
	}
	return len(r.byTarget) > 0
}

// recordAnswer keeps, for the other hosts, that a variant of a suspected resource was answered.
func (c *Counts) recordAnswer(fingerprint uint64, now time.Time) {
	res := c.resources[resourceOf(fingerprint)]
	if c.requests[fingerprint] != nil || !c.suspected(res, now) || c.answers(res) >= maxAnswers {
		return
	}
	c.requestCountsFor(fingerprint, now).set(answerMark, targetCount{cleared: 1, at: now}, now)
}

// answers returns how many variants of a resource are kept only because they were answered.
func (c *Counts) answers(res *resource) int {
	n := 0
	for _, fingerprint := range res.variants {
		if _, marked := c.requests[fingerprint].byTarget[answerMark]; marked {
			n++
		}
	}
	return n
}
