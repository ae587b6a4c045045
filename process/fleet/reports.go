package fleet

import "time"

// Upsert adds or updates a target from its report. A report older than the known one is
// ignored.
func (f *Fleet) Upsert(e Entry, now time.Time) {
	f.Lock()
	defer f.Unlock()
	f.upsert(e, now)
}

// UpsertRestored is Upsert for a report from a store that was restored from a copy. A report of a
// removed target that is not newer than its last one is ignored. departed is true if such a target was
// seen to leave, and not only missing for the whole of a hold.
func (f *Fleet) UpsertRestored(e Entry, now time.Time) (departed bool) {
	f.Lock()
	defer f.Unlock()
	if f.targets[e.ID] == nil && f.departed.contains(e, now) {
		evStale.Log(f.log).Str("target", e.ID).Int64("sequence", e.Sequence).Bool("departed", true).Send()
		return f.departed[e.ID].seen
	}
	f.upsert(e, now)
	return false
}

// upsert is Upsert; the lock must be held.
func (f *Fleet) upsert(e Entry, now time.Time) {
	t := f.targets[e.ID]
	switch {
	case t == nil || e.Born > t.Born:
		f.replace(e, now)
	case e.Born == t.Born && e.Sequence < t.Sequence:
		t.removeAt = time.Time{} // the target has a report, if an older one
		fallthrough
	case e.Born < t.Born:
		evStale.Log(f.log).Str("target", e.ID).Int64("sequence", e.Sequence).Int64("known", t.Sequence).Send()
	default:
		f.update(t, e, now)
	}
}

// replace adds a target, in place of an earlier one of the same identity.
func (f *Fleet) replace(e Entry, now time.Time) {
	said := f.noticesKept.take(e)
	if old := f.targets[e.ID]; old != nil {
		if old.Born == e.Born {
			said = old.notices
		}
		old.Leaving = true
		f.removeFromService(old)
	}
	f.generation++
	t := newTarget(e, now)
	t.notices, t.Leaving = said, e.Leaving || said.leaving
	if f.firstTargetAt.IsZero() {
		f.firstTargetAt = now
	}
	if t.joined = now.Sub(f.firstTargetAt) > settleTime; t.joined {
		f.newcomersUntil = now.Add(firstRequestWindow + e.ColdRemaining)
	}
	delete(f.departed, e.ID)
	f.targets[e.ID] = t
	if !said.limit.at.IsZero() {
		f.informPartners(t)
	}
	f.byService[e.Service] = append(f.byService[e.Service], t)
	f.logState(t, now)
}

// update applies a newer report to a known target.
func (f *Fleet) update(t *Target, e Entry, now time.Time) {
	e.Leaving = e.Leaving || t.notices.leaving
	changed := t.Leaving != e.Leaving || !t.removeAt.IsZero()
	if t.Service != e.Service || t.Addr != e.Addr {
		f.replace(e, now)
		return
	}
	if t.Leaving != e.Leaving || t.Slots != e.Slots {
		f.generation++
	}
	t.Entry = e
	t.removeAt = time.Time{}
	if e.ColdRemaining > 0 {
		t.coldUntil = now.Add(e.ColdRemaining)
	}
	if changed {
		f.logState(t, now)
	}
}

// Remove removes a target whose report was deleted. With a positive hold the target stays
// usable for that time, in case the report returns.
func (f *Fleet) Remove(id string, now time.Time, hold time.Duration) {
	f.Lock()
	defer f.Unlock()
	t := f.targets[id]
	if t == nil {
		return
	}
	if hold > 0 {
		t.removeAt = now.Add(hold)
		f.logState(t, now)
		return
	}
	f.depart(t, true, now)
}

// Discard removes a target whose report is invalid. The next valid one brings it back.
func (f *Fleet) Discard(id string, now time.Time) {
	f.Lock()
	defer f.Unlock()
	if t := f.targets[id]; t != nil {
		f.drop(t, now)
	}
}

// depart removes a target that has left; its last report does not bring it back. seen says that it was
// seen to leave.
func (f *Fleet) depart(t *Target, seen bool, now time.Time) {
	f.departed.add(t.Entry, seen, now)
	f.drop(t, now)
}

func (f *Fleet) drop(t *Target, now time.Time) {
	f.noticesKept.add(t)
	t.Leaving = true
	f.generation++
	delete(f.targets, t.ID)
	f.removeFromService(t)
	f.logState(t, now)
}

func (f *Fleet) removeFromService(t *Target) {
	list := f.byService[t.Service]
	kept := make([]*Target, 0, len(list))
	for _, other := range list {
		if other != t {
			kept = append(kept, other)
		}
	}
	f.byService[t.Service] = kept
}

// RestartHolds keeps the targets that are held for a time from now.
func (f *Fleet) RestartHolds(now time.Time, hold time.Duration) {
	f.Lock()
	defer f.Unlock()
	for _, t := range f.targets {
		if !t.removeAt.IsZero() {
			t.removeAt = now.Add(hold)
		}
	}
}

// RemoveExpired removes the targets whose hold has ended.
func (f *Fleet) RemoveExpired(now time.Time) {
	f.Lock()
	defer f.Unlock()
	for _, t := range f.targets {
		if !t.removeAt.IsZero() && !now.Before(t.removeAt) {
			f.depart(t, false, now)
		}
	}
}
