package entry

import (
	"testing"
	"time"

	"quetzalknot/platform/adapter"
	"quetzalknot/platform/standin"
	"quetzalknot/process/mirror"
)

// TestStateNotConfirmedWhileRecordsAreApplied: a host that has a newer desired state in its tables but
// not yet in force would deny the routes that it adds.
func TestStateNotConfirmedWhileRecordsAreApplied(t *testing.T) {
	c := newCluster(t, 1, 1)
	h := c.hosts[0]
	c.silence(adapter.OperatorTable, adapter.TargetTable)
	c.eventually("the store does not answer", func() bool { return !h.storeStatus.ok() })
	const ahead = 1 << 40
	c.pretendReaders(h, ahead, time.Millisecond)
	c.eventually("partners report that they read the store", func() bool { return h.group.HasStoreReader(time.Now()) })
	record := mirror.Record{Key: "config", Revision: ahead, Value: []byte(standin.DesiredState(2, coldPerSecond))}
	confirmed := make(chan struct{})
	h.applyMu.Lock()
	for _, table := range adapter.Tables() {
		d := mirror.Delta{Table: table, Era: h.mirror.Position(table).Era, UpTo: ahead}
		if table == adapter.OperatorTable {
			d.Records = []mirror.Record{record}
		}
		h.mirror.Apply(d)
	}
	go func() {
		for !h.stateConfirmed() {
			time.Sleep(time.Millisecond)
		}
		close(confirmed)
	}()
	select {
	case <-confirmed:
		t.Errorf("version %d is confirmed while version 2, which partners have, is being applied", h.stateVersion())
	case <-time.After(time.Second):
	}
	h.applyOperator(record, parsedStates{}, time.Now(), false)
	h.applyMu.Unlock()
	select {
	case <-confirmed:
	case <-time.After(waitTimeout):
		t.Error("the state is not confirmed once it is in force")
	}
}
