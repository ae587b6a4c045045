package fleet

import (
	"time"

	"github.com/rs/zerolog"

	"quetzalknot/process/eventlog"
)

var evNotice = eventlog.Define(1604, zerolog.InfoLevel, "target notice")

const (
	// noticeRetention is how long the notices of a removed target are kept, in case its report returns.
	noticeRetention = 10 * time.Minute
	// maxKeptNotices bounds the removed targets whose notices are kept.
	maxKeptNotices = 4096
)

// Notice is what a target says of itself in one response, besides its load.
type Notice struct {
	// Leaving says that the target is leaving.
	Leaving bool
	// Limit is the limit of requests that the target names, if any.
	Limit Limit
}

// Limit is how many requests a target takes from all hosts together, as a response names it.
type Limit struct {
	// Named is true if the response names a limit.
	Named bool
	// PerSecond is the limit in requests a second.
	PerSecond float64
}

// notices are what a target has said of itself since its start.
type notices struct {
	// leaving is true once the target has said that it is leaving. A target that leaves does not stay;
	// its next start is another target.
	leaving bool
	// limit is the limit that the target names.
	limit Limit
}

// any reports whether the target has said anything that counts.
func (n notices) any() bool { return n.leaving || n.limit.Named }

// applyNotice applies a notice of a target. The lock must be held.
func (f *Fleet) applyNotice(t *Target, n Notice, now time.Time) {
	before := t.notices
	t.notices.leaving = before.leaving || n.Leaving
	t.notices.limit = n.Limit
	if t.notices == before {
		return
	}
	f.logNotices(t)
	if !t.notices.leaving || t.Leaving {
		return
	}
	t.Leaving = true
	f.generation++
	f.logState(t, now)
}

func (f *Fleet) logNotices(t *Target) {
	line := evNotice.Log(f.log).Str("target", t.ID).Bool("leaving", t.notices.leaving)
	if t.notices.limit.Named {
		line = line.Float64("limit_per_second", t.notices.limit.PerSecond)
	}
	line.Send()
}

// keptNotices holds the notices of removed targets by their identities.
type keptNotices map[string]keptNotice

// keptNotice holds the notices of a removed target that was started at the time born.
type keptNotice struct {
	notices
	born int64
	at   time.Time
}

// add keeps the notices of a target that is removed. Those of a target whose start is not known are
// not kept, since they might be taken for those of its next start.
func (k keptNotices) add(t *Target, now time.Time) {
	if t.Born == 0 || !t.notices.any() {
		return
	}
	if len(k) >= maxKeptNotices {
		k.expire(now)
	}
	if len(k) < maxKeptNotices {
		k[t.ID] = keptNotice{notices: t.notices, born: t.Born, at: now}
	}
}

// take removes and returns what is kept of a target's present start.
func (k keptNotices) take(e Entry) notices {
	kept, ok := k[e.ID]
	delete(k, e.ID)
	if !ok || kept.born != e.Born {
		return notices{}
	}
	return kept.notices
}

// expire removes the notices that were kept for noticeRetention.
func (k keptNotices) expire(now time.Time) {
	for id, kept := range k {
		if now.Sub(kept.at) > noticeRetention {
			delete(k, id)
		}
	}
}
