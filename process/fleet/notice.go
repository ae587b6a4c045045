package fleet

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
	"github.com/rs/zerolog"

	"quetzalknot/process/eventlog"
)

var evNotice = eventlog.Define(1604, zerolog.InfoLevel, "target notice")

const (
	// maxKeptNotices bounds the removed targets whose notices are kept, in case their reports return.
	maxKeptNotices = 4096
	// maxPause is the longest pause that a target may ask for.
	maxPause = 24 * time.Hour
)

// Notice is what a target says of itself in one response, besides its load.
type Notice struct {
	// Leaving says that the target is leaving.
	Leaving bool
	// Limit is the limit of requests that the target names, if any.
	Limit Limit
	// Pause is for how long the target accepts no requests of this host; 0 if it does not say so.
	Pause time.Duration
}

// notices are what a target has said of itself since its start.
type notices struct {
	// leaving is true once the target has said that it is leaving. A target that leaves does not stay;
	// its next start is another target.
	leaving bool
	// limit is the limit that the target names.
	limit limitState
	// pausedUntil is when the target accepts requests of this host again.
	pausedUntil time.Time
}

// any reports whether the target has said anything that counts.
func (n notices) any() bool { return n.leaving || !n.limit.at.IsZero() || !n.pausedUntil.IsZero() }

// paused reports whether the target accepts no requests of this host now.
func (n notices) paused(now time.Time) bool { return now.Before(n.pausedUntil) }

// pause lets the target get no requests for a time, at most maxPause. It returns true if that begins.
func (n *notices) pause(d time.Duration, now time.Time) bool {
	begins := d > 0 && !n.paused(now)
	if until := now.Add(min(d, maxPause)); until.After(n.pausedUntil) && d > 0 {
		n.pausedUntil = until
	}
	return begins
}

// applyNotice applies a notice in the response to a request that was sent at a time. The lock must be held.
func (f *Fleet) applyNotice(t *Target, n Notice, sentAt, now time.Time) {
	leaves := n.Leaving && !t.notices.leaving
	t.notices.leaving = t.notices.leaving || n.Leaving
	limited := t.notices.limit.respond(n.Limit, sentAt, now)
	pauses := t.notices.pause(n.Pause, now)
	if leaves || limited || pauses {
		f.logNotices(t, "response", now)
	}
	if limited {
		f.informPartners(t)
	}
	if !leaves || t.Leaving {
		return
	}
	t.Leaving = true
	f.generation++
	f.logState(t, now)
}

// logNotices logs what a target says of itself; by says how this host knows it.
func (f *Fleet) logNotices(t *Target, by string, now time.Time) {
	line := evNotice.Log(f.log).Str("target", t.ID).Str("by", by).Bool("leaving", t.notices.leaving)
	if t.notices.limit.named {
		line = line.Float64("limit_per_second", t.notices.limit.perSecond)
	}
	if t.notices.paused(now) {
		line = line.Int64("pause_ms", t.notices.pausedUntil.Sub(now).Milliseconds())
	}
	line.Send()
}

// keptNotices holds the notices of the targets that were removed last, by their identities.
type keptNotices struct {
	targets *simplelru.LRU[string, keptNotice]
}

// keptNotice holds the notices of a removed target that was started at the time born.
type keptNotice struct {
	notices
	born int64
}

func newKeptNotices() keptNotices {
	targets, err := simplelru.NewLRU[string, keptNotice](maxKeptNotices, nil)
	if err != nil {
		panic(err) // the limit is a positive constant
	}
	return keptNotices{targets}
}

// add keeps the notices of a target that is removed. Those of a target whose start is not known are
// not kept, since they might be taken for those of its next start.
func (k keptNotices) add(t *Target) {
	if t.Born != 0 && t.notices.any() {
		k.targets.Add(t.ID, keptNotice{notices: t.notices, born: t.Born})
	}
}

// addLimit keeps what a partner states about the limit of a target without a known report.
func (k keptNotices) addLimit(s StatedLimit, now time.Time) {
	kept, ok := k.targets.Get(s.Target)
	if s.Born == 0 || ok && kept.born > s.Born {
		return
	}
	if kept.born < s.Born {
		kept = keptNotice{born: s.Born}
	}
	kept.limit.apply(s, now)
	k.targets.Add(s.Target, kept)
}

// take removes and returns what is kept of a target's present start.
func (k keptNotices) take(e Entry) notices {
	kept, ok := k.targets.Get(e.ID)
	k.targets.Remove(e.ID)
	if !ok || kept.born != e.Born {
		return notices{}
	}
	return kept.notices
}
