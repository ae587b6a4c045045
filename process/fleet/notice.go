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
}

// notices are what a target has said of itself since its start.
type notices struct {
	// leaving is true once the target has said that it is leaving. A target that leaves does not stay;
	// its next start is another target.
	leaving bool
}

// any reports whether the target has said anything that counts.
func (n notices) any() bool { return n.leaving }

// applyNotice applies a notice of a target. The lock must be held.
func (f *Fleet) applyNotice(t *Target, n Notice, now time.Time) {
	if !n.Leaving || t.notices.leaving {
		return
	}
	t.notices.leaving = true
	evNotice.Log(f.log).Str("target", t.ID).Bool("leaving", true).Send()
	if t.Leaving {
		return
	}
	t.Leaving = true
	f.generation++
	f.logState(t, now)
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
