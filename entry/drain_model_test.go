package entry

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"quetzalknot/platform/adapter"
	"quetzalknot/platform/standin"
	"quetzalknot/process/fleet"
	"quetzalknot/process/mirror"
)

// modelTarget is the true state of a target: ready, draining or gone (no report).
type modelTarget struct {
	state    string
	sequence int64
}

// modelCopy is a copy of the store's rows.
type modelCopy struct {
	rows     map[string]mirror.Record
	revision uint64
}

// drainModel is a store that targets write their reports to, and a host that reads it at any time
// and in any order. No time passes but by advance.
type drainModel struct {
	t        *rapid.T
	settings *Settings
	host     *Host
	now      time.Time

	era, revision uint64
	rows          map[string]mirror.Record
	// history holds all changes of this era since the last copy was restored.
	history []mirror.Record
	copies  []modelCopy
	targets map[string]modelTarget
	// known are the sequences of the last reports that this host has had of targets since its start,
	// and left those of targets that it has seen leave; one that is held has not been seen to leave.
	known, left map[string]int64
	// dropped are the targets that this host dropped at the end of a hold. They may be missing until
	// they write again.
	dropped map[string]bool
	// deltas are all answers of the store so far; each may come again.
	deltas []mirror.Delta
	// settledAt is when nothing is held any more.
	settledAt time.Time
}

const modelGone = "gone"

func newDrainModel(t *rapid.T, settings *Settings) *drainModel {
	m := &drainModel{
		t: t, settings: settings, now: time.Now(), era: 1, revision: 1,
		rows: make(map[string]mirror.Record), targets: make(map[string]modelTarget),
	}
	m.restart()
	for i := range 3 {
		m.write(fmt.Sprint("i-", i), "ready")
	}
	return m
}

func (m *drainModel) restart() {
	m.close()
	m.host, m.deltas = New(m.settings, "", io.Discard), nil
	m.known, m.left, m.dropped, m.settledAt = make(map[string]int64), make(map[string]int64), make(map[string]bool), m.now
}

func (m *drainModel) close() {
	if m.host != nil {
		m.host.logWriter.CloseBefore(time.Now().Add(waitTimeout))
	}
}

// write makes a target write a new report.
func (m *drainModel) write(id, state string) {
	m.targets[id] = modelTarget{state: state, sequence: m.targets[id].sequence + 1}
	m.put(id)
}

// put writes the row of a target as it truly is.
func (m *drainModel) put(id string) {
	m.revision++
	truth := m.targets[id]
	record := mirror.Record{Key: id, Revision: m.revision, Removed: truth.state == modelGone}
	if record.Removed {
		delete(m.rows, id)
	} else {
		report := (&standin.Target{ID: id}).ReportWithAddr("127.0.0.1:1", "bokun", "no-gler", truth.state, int(truth.sequence))
		record.Value = []byte(report)
		m.rows[id] = record
	}
	m.history = append(m.history, record)
}

func (m *drainModel) copy() {
	m.copies = append(m.copies, modelCopy{rows: maps.Clone(m.rows), revision: m.revision})
}

// restore brings an older copy back. Targets that live write their reports again; those that have left
// may not.
func (m *drainModel) restore(c modelCopy) {
	m.era++
	m.rows, m.revision, m.history = maps.Clone(c.rows), c.revision, nil
}

// read gives the host the full table.
func (m *drainModel) read() {
	m.deliver(mirror.Delta{
		Table: adapter.TargetTable, Era: m.era, UpTo: m.revision, Whole: true, Records: slices.Collect(maps.Values(m.rows)),
	})
}

// poll gives the host the changes after its position, or the full table if the store lacks them.
func (m *drainModel) poll() {
	at := m.host.mirror.Position(adapter.TargetTable)
	if at.Era != m.era || at.Revision == 0 || at.Revision > m.revision {
		m.read()
		return
	}
	d := mirror.Delta{Table: adapter.TargetTable, Era: m.era, UpTo: m.revision}
	for _, r := range m.history {
		if r.Revision > at.Revision {
			d.Records = append(d.Records, r)
		}
	}
	m.deliver(d)
}

func (m *drainModel) deliver(d mirror.Delta) {
	m.deltas = append(m.deltas, d)
	m.apply(d)
}

func (m *drainModel) apply(d mirror.Delta) {
	restored := d.Era > m.host.mirror.Position(adapter.TargetTable).Era
	m.host.applyAt(d, m.now)
	if restored {
		m.settledAt = m.now.Add(missingReportHold)
	}
	m.note()
}

// note records what the host knows of the targets.
func (m *drainModel) note() {
	for id, truth := range m.targets {
		target := m.find(id)
		if target != nil {
			m.known[id] = max(m.known[id], target.Sequence)
			delete(m.dropped, id)
		}
		_, reported := m.rows[id]
		gone := target == nil && truth.state == modelGone && !reported && m.caughtUp()
		draining := target != nil && target.Leaving && truth.state == "draining" && target.Sequence == truth.sequence
		if m.known[id] > 0 && (gone || draining) {
			m.left[id] = m.known[id]
		}
	}
}

func (m *drainModel) caughtUp() bool {
	return m.host.mirror.Position(adapter.TargetTable) == mirror.Position{Era: m.era, Revision: m.revision}
}

// isTrue reports whether a row says what the target is.
func (m *drainModel) isTrue(id string, row mirror.Record) bool {
	e, err := adapter.ParseTarget(id, row.Value, m.settings.Regions)
	return err == nil && e.Sequence == m.targets[id].sequence && e.Leaving == (m.targets[id].state == "draining")
}

func (m *drainModel) advance(d time.Duration) {
	m.now = m.now.Add(d)
	before := make(map[string]bool)
	for id := range m.targets {
		before[id] = m.find(id) != nil
	}
	m.host.removeExpired(m.now)
	for id := range m.targets {
		if before[id] && m.find(id) == nil {
			m.dropped[id] = true
		}
	}
	m.note()
}

// find returns what the host knows of a target, or nil.
func (m *drainModel) find(id string) *fleet.Target {
	f := m.host.fleet
	f.Lock()
	defer f.Unlock()
	for _, t := range f.Service("bokun") {
		if t.ID == id {
			return t
		}
	}
	return nil
}

// usable reports whether the host may send new requests to a target.
func (m *drainModel) usable(target *fleet.Target) bool {
	m.host.fleet.Lock()
	defer m.host.fleet.Unlock()
	return target != nil && m.host.fleet.Usable(target, m.now)
}

// check requires that no target that the host has seen leave gets new requests by a report that the
// host knew then, that none without a report does once holds are over, and that each live target does
// that has a report or whose report was just lost with a copy.
func (m *drainModel) check() {
	for id, truth := range m.targets {
		row, reported := m.rows[id]
		target := m.find(id)
		last, left := m.left[id]
		switch usable := m.usable(target); {
		case usable && left && target.Sequence <= last:
			m.t.Fatalf("%s gets requests though it was seen to leave", id)
		case usable && m.caughtUp() && !reported && !m.now.Before(m.settledAt):
			m.t.Fatalf("%s gets requests without a report", id)
		case !usable && m.caughtUp() && reported && truth.state == "ready" && m.isTrue(id, row) && !m.dropped[id]:
			m.t.Fatalf("%s gets no requests though it is ready and has a report", id)
		case !usable && !reported && truth.state == "ready" && m.known[id] == truth.sequence && m.now.Before(m.settledAt) && !m.dropped[id]:
			m.t.Fatalf("%s gets no requests though its report was lost with a copy a moment ago", id)
		}
	}
}

// TestDrainInAnyOrder: whatever the order of reports, reads, late answers, restarts of the host and
// restores of the store from older copies, a target that the host has seen leave must get no new requests,
// and a live one must get them.
func TestDrainInAnyOrder(t *testing.T) {
	settings, err := Parse([]byte(settingsText(t, "front-0", "127.0.0.1:1", false)))
	if err != nil {
		t.Fatal(err)
	}
	for range drainModelRounds {
		rapid.Check(t, func(t *rapid.T) { checkDrain(t, settings) })
	}
}

// drainModelRounds is the number of rounds of the default number of cases.
const drainModelRounds = 10

// checkDrain draws and checks one case.
func checkDrain(t *rapid.T, settings *Settings) {
	m := newDrainModel(t, settings)
	defer func() { m.close() }()
	id := rapid.SampledFrom(slices.Sorted(maps.Keys(m.targets)))
	t.Repeat(map[string]func(*rapid.T){
		"": func(*rapid.T) { m.check() },
		"write": func(t *rapid.T) {
			m.write(id.Draw(t, "target"), rapid.SampledFrom([]string{"ready", "draining", modelGone}).Draw(t, "state"))
		},
		"write again": func(t *rapid.T) {
			if target := id.Draw(t, "target"); m.targets[target].state != modelGone {
				m.put(target)
			}
		},
		"copy": func(*rapid.T) { m.copy() },
		"restore": func(t *rapid.T) {
			if len(m.copies) > 0 {
				m.restore(rapid.SampledFrom(m.copies).Draw(t, "copy"))
			}
		},
		"read": func(*rapid.T) { m.read() },
		"poll": func(*rapid.T) { m.poll() },
		"late answer": func(t *rapid.T) {
			if len(m.deltas) > 0 {
				m.apply(rapid.SampledFrom(m.deltas).Draw(t, "delta"))
			}
		},
		"advance": func(t *rapid.T) {
			m.advance(time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond)
		},
		"restart": func(*rapid.T) { m.restart() },
	})
}
