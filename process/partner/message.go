package partner

import (
	"time"

	"quetzalknot/process/crash"
	"quetzalknot/process/fleet"
	"quetzalknot/process/mirror"
)

// Heartbeat is the heartbeat message, sent as a call and as its reply.
type Heartbeat struct {
	From    Member
	Leaving bool
	// Positions holds the revision up to which the sender's copy of each table is
	// complete, and Eras the store's era of that revision. Earlier releases send no Eras.
	Positions map[string]uint64
	Eras      map[string]uint64
	// Crashes are all counts that apply; in short heartbeats those that changed recently.
	Crashes []crash.Count
	// Rate is the sender's recent rate of incoming requests per second.
	Rate float64
	// Fresh says that the sender itself reads the store and gets responses; Troubled says
	// that some of its calls to the store failed recently.
	Fresh, Troubled bool
	// Age is the time since the store last answered a Fresh sender, for the table for which that
	// is longest ago, and at least minStatedAge. Earlier releases send none, so 0 means unknown.
	// Of another sender it is its Staleness if Confirmed is set; else it means nothing.
	Age time.Duration
	// Confirmed says that Age counts although the sender is not Fresh. Earlier releases do not send it.
	Confirmed bool `cbor:",omitempty"`
	// StateVersion is the version of the desired state that the sender has in force; 0 means none, or
	// that the sender does not know yet what its own partners have.
	// Earlier releases send none.
	StateVersion uint64
	// ReportHold is for how long the reports of live targets may still be missing, as the sender's
	// own calls show it. Earlier releases send none. CountsRestores says that it counts also from the
	// sender's notice of a restore of the store; the release before counts from outages only.
	ReportHold     time.Duration
	CountsRestores bool `cbor:",omitempty"`
	// Changed holds the revision of the last change of each table. Earlier releases send none.
	Changed map[string]uint64
	// StaleRecords are those of Options.StaleRecords. Short heartbeats and earlier releases have none.
	StaleRecords []StaleRecord `cbor:",omitempty"`
	// Limits are those of Options.Limits. Short heartbeats and earlier releases have none.
	Limits []fleet.StatedLimit `cbor:",omitempty"`
	// To is the incarnation of the receiver to which this full heartbeat is sent. Number is the number of the
	// sender's changes up to which that one is informed, and Received that of the last full heartbeat that the
	// sender has received of it. Earlier releases send none.
	To               int64
	Number, Received uint64
	// TakesBrief says that the sender takes short heartbeats. Earlier releases do not.
	TakesBrief bool
}

// StaleRecord is a record of a restored store that is of the copy and no longer counts, by its key and
// by its era and revision.
type StaleRecord struct {
	_             struct{} `cbor:",toarray"`
	Key           string
	Era, Revision uint64
}

// minStatedAge is the least Age in a heartbeat, to tell it from none.
const minStatedAge = time.Nanosecond

// StoreStatus is the store's status as this host's own calls show it: Reachable when this host
// reads the store and gets responses, the oldest of them Age ago; Failing when calls failed
// recently. For ReportHold the reports of live targets may still be missing. SinceConfirmed is the time
// since the host's own calls last confirmed all its tables, whether or not it still reads them; 0 if none did.
type StoreStatus struct {
	Reachable, Failing bool
	Age, ReportHold    time.Duration
	SinceConfirmed     time.Duration
}

// position returns the position of the sender's copy of a table.
func (h *Heartbeat) position(table string) mirror.Position {
	return mirror.Position{Era: h.Eras[table], Revision: h.Positions[table]}
}

// onlyAdvanced reports whether the sender's copy of a table is ahead of a position by the number alone:
// nothing of the table has changed since.
func (h *Heartbeat) onlyAdvanced(table string, own mirror.Position) bool {
	changed, ok := h.Changed[table]
	return ok && changed != 0 && own.Era != 0 && own.Era == h.Eras[table] && changed <= own.Revision
}

// PullRequest requests the records of a table that are newer than revision After of an era.
type PullRequest struct {
	Table string
	After uint64
	Era   uint64
	// TakesLarge says that the caller asks for a large delta by a LargeRequest. Earlier releases do not.
	TakesLarge bool `cbor:",omitempty"`
}

// PullReply is the reply to a PullRequest.
type PullReply struct {
	mirror.Delta
	// IsLarge says that the delta is large and is not in this reply. Earlier releases do not send it.
	IsLarge bool `cbor:",omitempty"`
}
