package crash

import "time"

// maxTrials is how often all hosts together send a request that has reached the limit again, to see
// whether it still crashes its target.
const maxTrials = 3

// trialDelays are the times from the last crash of a request at the limit to each trial.
var trialDelays = [maxTrials]time.Duration{2 * time.Minute, 20 * time.Minute, 2 * time.Hour}

// Admit reports whether a request may be sent: it is below the limit, or it is sent as a trial. Its response
// then clears it, for it and for all that were only beside the one at fault; without one it stays at the limit.
func (c *Counts) Admit(fingerprint uint64, now time.Time) bool {
	if !c.LimitReached(fingerprint, now) {
		return true
	}
	if c.MayTry != nil && !c.MayTry(fingerprint) {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.atLimit(fingerprint, now)
	return r == nil || r.startTrial(now)
}

// startTrial reports whether a trial is due, and counts it.
func (r *requestCounts) startTrial(now time.Time) bool {
	made := max(r.trials, r.total()-MaxCrashes)
	if made >= maxTrials {
		return false
	}
	last := r.changedAt
	if r.triedAt.After(last) {
		last = r.triedAt
	}
	if now.Sub(last) < trialDelays[made] {
		return false
	}
	r.trials, r.triedAt = made+1, now
	return true
}
