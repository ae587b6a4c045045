package fleet

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
)

// TestLiveTargetReturnsWithCopyOfOlderReport: the report of a live target expired while the store was
// away, and the restored store has an older one. The row is there, so the target must not be
// removed at the end of the hold.
func TestLiveTargetReturnsWithCopyOfOlderReport(t *testing.T) {
	now := time.Now()
	e := Entry{ID: "i-1", Service: "s", Addr: "192.0.2.1:80", Slots: 1, Born: 5, Sequence: 7}
	f := New(zerolog.Nop(), SingleHost{})
	f.Upsert(e, now)
	f.Remove("i-1", now, 2*time.Second)
	older := e
	older.Sequence = 6
	f.Upsert(older, now.Add(time.Second))
	f.RemoveExpired(now.Add(3 * time.Second))
	if f.Size() != 1 {
		t.Error("the target whose row is in the store was removed")
	}
	f.Upsert(e, now.Add(4*time.Second)) // the target writes its report again
	if f.Size() != 1 {
		t.Error("the target's own report does not bring it back")
	}
}
