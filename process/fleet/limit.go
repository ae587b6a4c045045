package fleet

import (
	"cmp"
	"slices"
	"time"
)

// Limit is how many requests a target takes from all hosts together, as one response says it.
type Limit struct {
	// Named is true if the response names a limit, and Invalid if it names one that cannot be read, which
	// says neither that there is one nor that there is none.
	Named, Invalid bool
	// PerSecond is the limit in requests a second.
	PerSecond float64
}

const (
	// responsesWithoutLimit is how many responses in a row without the limit show that it has ended.
	responsesWithoutLimit = 2
	// limitChange is the ratio by which a limit must change for partners to be informed again.
	limitChange = 1.2
	// maxLimit is the largest limit in requests a second; a larger one counts as that.
	maxLimit = 1e6
	// statementError is by how much the time of a partner's statement may be wrong.
	statementError = 500 * time.Millisecond
	// maxLimitStatements bounds the statements in one message to a partner.
	maxLimitStatements = 256
)

// limitState is the limit of a target as this host knows it. The zero value is that of a target that has
// never named one.
type limitState struct {
	named     bool
	perSecond float64
	// at is when a response last named the limit, or showed that it has ended.
	at time.Time
	// without counts the responses without the limit, in a row, to requests that were sent after at.
	without int
	// restate is true after responses have shown that the limit has ended, until partners are informed of that once more.
	restate bool
	// stated is the limit that partners are informed of, and number that of the change by which they are.
	stated float64
	number uint64
}

// respond applies what a response to a request says that was sent at a time. It returns true if partners
// must be informed.
func (l *limitState) respond(n Limit, sentAt, now time.Time) bool {
	switch {
	case n.Invalid:
		return false
	case n.Named:
		return l.set(n.PerSecond, now)
	case !l.named:
		return l.confirmEnd(sentAt, now)
	case !sentAt.After(l.at):
		return false
	}
	l.without++
	if l.without < responsesWithoutLimit {
		return false
	}
	l.end(now)
	l.restate = true
	return true
}

// confirmEnd returns true if partners must be informed again that the limit has ended. One that learned of the limit less
// than statementError before its end could not tell which was later.
func (l *limitState) confirmEnd(sentAt, now time.Time) bool {
	if !l.restate || !sentAt.After(l.at.Add(statementError)) {
		return false
	}
	l.at, l.restate = now, false
	return true
}

// set records that the target named a limit. It returns true if partners must be informed.
func (l *limitState) set(perSecond float64, at time.Time) bool {
	perSecond = min(perSecond, maxLimit)
	small, large := min(perSecond, l.stated), max(perSecond, l.stated)
	changed := !l.named || small*limitChange < large
	l.named, l.perSecond, l.at, l.without = true, perSecond, at, 0
	if changed {
		l.stated = perSecond
	}
	return changed
}

// end records that the limit has ended. It returns true, since partners must be informed.
func (l *limitState) end(at time.Time) bool {
	*l = limitState{at: at}
	return true
}

// StatedLimit is what a host states to its partners about the limit of a target.
type StatedLimit struct {
	_ struct{} `cbor:",toarray"`
	// Target and Born identify the target and its start.
	Target string
	Born   int64
	// Ended is true if the target reports no limit any more; else PerSecond is the limit in requests a
	// second.
	Ended     bool
	PerSecond float64
	// AgeMs is the time in milliseconds since the response that showed it.
	AgeMs int64
}

// apply applies a partner's statement that arrives now. It returns true if the limit has changed. When it
// is not known which is later, the limit stays.
func (l *limitState) apply(s StatedLimit, now time.Time) bool {
	at := now.Add(-time.Duration(s.AgeMs) * time.Millisecond)
	if s.Ended {
		return l.named && at.After(l.at.Add(statementError)) && l.end(at)
	}
	if l.named && (!at.After(l.at) || l.isKnown(s.PerSecond, at)) || !l.named && !at.After(l.at.Add(-statementError)) {
		return false
	}
	return l.set(s.PerSecond, at)
}

// isKnown reports whether a statement may be of the response that is known, which a partner has passed on.
func (l *limitState) isKnown(perSecond float64, at time.Time) bool {
	return perSecond == l.perSecond && !at.After(l.at.Add(statementError))
}

// statement returns what a host states about the limit of a target.
func (l *limitState) statement(e Entry, now time.Time) StatedLimit {
	return StatedLimit{Target: e.ID, Born: e.Born, Ended: !l.named, PerSecond: l.perSecond, AgeMs: now.Sub(l.at).Milliseconds()}
}

// OnLimitChange sets a function that is called, with the lock held, when partners must be informed of a
// target's limit, and that returns the number of that change. It must be set before the fleet is used.
func (f *Fleet) OnLimitChange(changed func() uint64) { f.limitChanged = changed }

// StatedLimits returns what this host states about the limits of targets to a partner that has acknowledged
// all changes up to a number: the next maxLimitStatements changes, and the number of the last of them. The
// number is 0 if there are no more changes.
func (f *Fleet) StatedLimits(acknowledged uint64, now time.Time) (limits []StatedLimit, upTo uint64) {
	f.Lock()
	defer f.Unlock()
	var changed []*Target
	for _, t := range f.targets {
		if t.notices.limit.number > acknowledged {
			changed = append(changed, t)
		}
	}
	slices.SortFunc(changed, func(a, b *Target) int { return cmp.Compare(a.notices.limit.number, b.notices.limit.number) })
	if len(changed) > maxLimitStatements {
		changed = changed[:maxLimitStatements]
		upTo = changed[len(changed)-1].notices.limit.number
	}
	for _, t := range changed {
		limits = append(limits, t.notices.limit.statement(t.Entry, now))
	}
	return limits, upTo
}

// maxStatementAge is the largest age of a statement in milliseconds that is taken.
const maxStatementAge = int64(24 * time.Hour / time.Millisecond)

// ApplyStatedLimits applies the statements of a partner.
func (f *Fleet) ApplyStatedLimits(statements []StatedLimit, now time.Time) {
	f.Lock()
	defer f.Unlock()
	for _, s := range statements[:min(len(statements), maxLimitStatements)] {
		if s.AgeMs < 0 || s.AgeMs > maxStatementAge || !(s.PerSecond >= 0) {
			continue
		}
		if t := f.targets[s.Target]; t != nil && t.Born == s.Born {
			f.applyStatement(t, s, now)
		} else if t == nil {
			f.noticesKept.addLimit(s, now)
		}
	}
}

func (f *Fleet) applyStatement(t *Target, s StatedLimit, now time.Time) {
	if t.notices.limit.apply(s, now) {
		f.logNotices(t, "partner", now)
		f.informPartners(t)
	}
}

// informPartners lets partners be informed of the limit of a target, if it is known. The lock must be held.
func (f *Fleet) informPartners(t *Target) {
	if f.limitChanged != nil && f.targets[t.ID] == t {
		t.notices.limit.number = f.limitChanged()
	}
}
