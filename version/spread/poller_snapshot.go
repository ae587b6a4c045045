package spread

import (
	"context"
	"time"

	"quetzalknot/process/membership"
	"quetzalknot/version/store"
)

// snapshotInterval is the minimum interval between snapshots.
const snapshotInterval = 2 * time.Minute

// loadSnapshot merges the newest valid snapshot. The state is not up to date after
// that, since the tickets accepted after the snapshot have not been read.
func (p *Poller) loadSnapshot(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	snap, err := p.Snapshots.Read(ctx, func(key string, err error) {
		evSnapshotRejected.Log(p.engine.Log).Str("object", key).Err(err).Send()
	})
	if err != nil {
		return err
	}
	p.tickets.Add(snap.Records...)
	p.engine.watermark.advance(time.Time{}, Position{Era: snap.Era, Revision: snap.Revision})
	return nil
}

// writeSnapshotIfDue writes a changed state to the object store. Only the host that
// ranks first among the pollers does so.
func (p *Poller) writeSnapshotIfDue(ctx context.Context) {
	self := p.engine.Members.Self()
	due := time.Now().After(p.snapshotAt) && p.state.Sum() != p.snapshotSum
	if !due || membership.Rank("snapshot", self.Host, p.pollers()) > 0 {
		return
	}
	p.snapshotAt = time.Now().Add(snapshotInterval)
	if err := p.writeSnapshot(ctx); err != nil {
		evSnapshotFailed.Log(p.engine.Log).Err(err).Send()
	}
}

func (p *Poller) writeSnapshot(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	sum := p.state.Sum()
	at := p.engine.Position()
	snap := store.Snapshot{Era: at.Era, Revision: at.Revision}
	for _, n := range p.state.Numbers() {
		if r, ok := p.state.Record(n); ok {
			snap.Records = append(snap.Records, r)
		}
	}
	if err := p.Snapshots.Write(ctx, snap); err != nil {
		return err
	}
	p.snapshotSum = sum
	evSnapshot.Log(p.engine.Log).Int64("revision", snap.Revision).Int("tickets", len(snap.Records)).Send()
	return nil
}
