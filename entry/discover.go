package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"quetzalknot/platform/adapter"
)

const (
	// hostsReadInterval is the time between two reads of the hosts' rows.
	hostsReadInterval = 20 * time.Second
	// allHostsInterval is the time between two reads of the rows of all hosts; the reads in between
	// are of this host's failure domain. A host that starts in another one sends heartbeats to
	// its partners, so that they know it without its row.
	allHostsInterval = 200 * time.Second
	// announceSpread is the time over which the hosts of a restored store write their rows again.
	announceSpread = time.Second
)

// hostReads says which hosts' rows a host reads next.
type hostReads struct {
	allAt time.Time
	// forgotten is the number of hosts that were forgotten before allAt.
	forgotten int
}

// all reports whether the rows of all hosts are to be read: at first, every allHostsInterval, and
// after hosts were forgotten, since they may only have been cut off.
func (r *hostReads) all(now time.Time, forgotten int) bool {
	return r.allAt.IsZero() || now.Sub(r.allAt) >= allHostsInterval || forgotten != r.forgotten
}

// succeeded records that the rows of all hosts were read.
func (r *hostReads) succeeded(now time.Time, forgotten int) { r.allAt, r.forgotten = now, forgotten }

// readHosts reads the rows of all hosts or of this failure domain.
func (h *Host) readHosts(ctx context.Context, reads *hostReads) error {
	now, forgotten := time.Now(), h.group.ForgottenCount()
	if !reads.all(now, forgotten) {
		members, err := h.store.HostsOf(ctx, h.self.Domain)
		h.group.AddMembers(members)
		return err
	}
	members, err := h.store.Hosts(ctx)
	if err != nil {
		return err
	}
	h.group.AddListedMembers(members)
	if !h.group.Introduced(now) {
		h.group.SendSoon()
	}
	reads.succeeded(now, forgotten)
	return nil
}

// discoverHosts writes this host's row to the store and periodically reads the rows of the
// other hosts. Once both have succeeded, only the hosts that read the store go on reading.
func (h *Host) discoverHosts(ctx context.Context) {
	hostsRead := h.group.HasMembers()
	backoff := minBackoff
	var reads hostReads
	for ctx.Err() == nil {
		announced := h.announce(ctx)
		if announced && hostsRead && !h.mustReadStore(time.Now()) {
			h.awaitRowLost(ctx)
			continue
		}
		err := h.readHosts(ctx, &reads)
		hostsRead = hostsRead || err == nil
		if err != nil || !announced {
			pause(ctx, backoff/2+rand.N(backoff))
			backoff = min(maxBackoff, 2*backoff)
			continue
		}
		backoff = minBackoff
		h.awaitRowLost(ctx)
	}
}

// announce writes this host's row unless it is written, and reports whether nothing is left to
// write. A leaving host writes no row.
func (h *Host) announce(ctx context.Context) bool {
	if h.leaving.Load() || h.announced.Load() {
		return true
	}
	written, err := h.store.Announce(ctx, h.self)
	if err != nil {
		return false
	}
	h.rowEra.Store(written.Era)
	h.rowRevision.Store(written.Revision)
	h.announced.Store(true)
	h.checkRow(h.storeEra())
	return true
}

// storeEra returns the latest era of the store that this host knows of.
func (h *Host) storeEra() uint64 {
	era := uint64(0)
	for _, name := range adapter.Tables() {
		era = max(era, h.mirror.Position(name).Era)
	}
	return era
}

// checkRow makes discoverHosts write this host's row again if it was written in an era before the
// given one: the store may have lost it.
func (h *Host) checkRow(era uint64) {
	if !h.announced.Load() || era <= h.rowEra.Load() {
		return
	}
	select {
	case h.rowLost <- struct{}{}:
	default:
	}
}

// awaitRowLost waits for hostsReadInterval, or until this host's row may be lost: then for a random
// time, since all hosts write theirs again.
func (h *Host) awaitRowLost(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(hostsReadInterval):
	case <-h.rowLost:
		h.announced.Store(false)
		pause(ctx, rand.N(announceSpread))
	}
}
