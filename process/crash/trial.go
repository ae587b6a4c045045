package crash

import "time"

const (
	// maxResends is how often a request that has reached the limit may reach a target again, over all hosts.
	maxResends = 3
	// maxTrials is how often one host sends requests that are refused, to see whether they still crash
	// targets. While hosts have different lists of members, two may take themselves for that host: then the last trial
	// may be made twice.
	maxTrials = maxResends - 1
	// variantTrialTimeout is how long a trial of a variant lasts if neither an answer nor a crash ends it.
	variantTrialTimeout = 5 * time.Second
)

// trialDelays are the times from the last crash of a request at the limit to each trial.
var trialDelays = [maxTrials]time.Duration{2 * time.Minute, time.Hour}

// Refused reports whether a request is refused unless it is tried: it is at the limit, or its resource is suspected and no
// target has answered this variant.
func (c *Counts) Refused(fingerprint uint64, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.atLimit(fingerprint, now) != nil || c.suspectedVariant(fingerprint, now) != nil
}

// suspectedVariant returns the resource of a request if it is suspected and this variant was not answered, else nil.
func (c *Counts) suspectedVariant(fingerprint uint64, now time.Time) *resource {
	res := c.resources[resourceOf(fingerprint)]
	if !c.suspected(res, now) || c.wasAnswered(fingerprint, now) {
		return nil
	}
	return res
}

// Admit reports whether a request may be sent: it is not refused, or it is sent as a trial. An answer
// then clears it, for it and for all that were only beside the one at fault; without one it stays refused.
func (c *Counts) Admit(fingerprint uint64, now time.Time) bool {
	if !c.Refused(fingerprint, now) {
		return true
	}
	mayTry := c.MayTry == nil || c.MayTry(fingerprint)
	mayTryResource := c.MayTry == nil || c.MayTry(uint64(resourceOf(fingerprint)))
	c.mu.Lock()
	defer c.mu.Unlock()
	if r := c.atLimit(fingerprint, now); r != nil {
		return mayTry && r.startTrial(now)
	}
	res := c.suspectedVariant(fingerprint, now)
	return res == nil || (mayTryResource && c.startVariantTrial(res, fingerprint, now))
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

// startVariantTrial reports whether a variant that was not answered may be sent: one at a time, until the variants have
// crashed as many targets as trials are allowed.
func (c *Counts) startVariantTrial(res *resource, fingerprint uint64, now time.Time) bool {
	if c.variantCrashes(res, now)-MaxCrashes >= maxTrials {
		return false
	}
	if res.trying != 0 && now.Sub(res.tryingSince) < variantTrialTimeout {
		return false
	}
	res.trying, res.tryingSince = fingerprint, now
	return true
}

// endTrial ends the trial of a variant that was answered. After a crash the next trial waits until the trial times out, so
// that the crash is counted before.
func (c *Counts) endTrial(fingerprint uint64) {
	if res := c.resources[resourceOf(fingerprint)]; res != nil && res.trying == fingerprint {
		res.trying = 0
	}
}
