package credit

import (
	"slices"
	"time"

	"quetzalknot/process/slots"
)

// Row is the row of one partition in the table service.
type Row struct {
	Epoch uint64  `json:"epoch"`
	Owner Process `json:"owner"`
	// Electors are the hosts whose majority keeps the owner's right alive.
	Electors []string `json:"electors"`
	// Released is true when the owner gave the epoch up by itself.
	Released bool `json:"released,omitempty"`
	// Busy lists the slots still occupied at the release.
	Busy []Busy `json:"busy,omitempty"`
}

// Right is a partition's epoch that a process may grant in.
type Right struct {
	Partition string
	Epoch     uint64
}

// Wait is how long the loans of earlier epochs may last.
type Wait struct {
	Short time.Duration
	Long  time.Duration
	// Busy lists the slots that a released epoch left occupied.
	Busy []Busy
}

func (w Wait) busyAt(t slots.Target) []Busy {
	var busy []Busy
	for _, b := range w.Busy {
		if b.Target == t {
			busy = append(busy, b)
		}
	}
	return busy
}

// Tenure is a process's ownership of one epoch of a partition. The row says who
// owns; the promises of a majority of electors say that it still does. It is not
// safe for concurrent use.
type Tenure struct {
	Right
	// Predecessor is the row that the claim replaced.
	Predecessor Row
	// electorates are the lists of electors of which each must have a majority;
	// two while a change of the list is under way.
	electorates [][]string
	// promised is until when each elector's promise lasts, by host.
	promised map[string]time.Time
	// establishedAt is when a majority had promised at once; zero before.
	establishedAt time.Time
}

// NewTenure returns the tenure of a row that this process has written.
func NewTenure(partition string, row, predecessor Row) *Tenure {
	return &Tenure{
		Right: Right{Partition: partition, Epoch: row.Epoch}, Predecessor: predecessor,
		electorates: [][]string{row.Electors}, promised: make(map[string]time.Time),
	}
}

// Pledge returns what the owner asks its electors.
func (t *Tenure) Pledge() Pledge {
	p := Pledge{Partition: t.Partition, Epoch: t.Epoch}
	if t.Predecessor.Released {
		p.Released = t.Predecessor.Epoch
	}
	return p
}

// Electors returns all hosts to ask.
func (t *Tenure) Electors() []string {
	var hosts []string
	for _, electors := range t.electorates {
		for _, host := range electors {
			if !slices.Contains(hosts, host) {
				hosts = append(hosts, host)
			}
		}
	}
	return hosts
}

// Promised takes in an elector's promise. sent is when the owner asked for it.
func (t *Tenure) Promised(now time.Time, elector string, sent time.Time) {
	t.promised[elector] = maxTime(t.promised[elector], sent.Add(PromiseTerm))
	if t.establishedAt.IsZero() && now.Before(t.until()) {
		t.establishedAt = now
	}
}

// Allowed reports whether the right to grant holds at this moment.
func (t *Tenure) Allowed(now time.Time) bool {
	return !t.establishedAt.IsZero() && now.Before(t.until())
}

// until is when the right ends unless electors promise again.
func (t *Tenure) until() time.Time {
	end := t.majority(t.electorates[0])
	for _, electors := range t.electorates[1:] {
		if other := t.majority(electors); other.Before(end) {
			end = other
		}
	}
	return end
}

// majority returns until when more than half of the electors have promised.
func (t *Tenure) majority(electors []string) time.Time {
	ends := make([]time.Time, len(electors))
	for i, host := range electors {
		ends[i] = t.promised[host]
	}
	slices.SortFunc(ends, func(a, b time.Time) int { return b.Compare(a) })
	if len(ends) == 0 {
		return time.Time{}
	}
	return ends[len(ends)/2]
}

// Wait returns how long the loans of earlier epochs may still last. It is zero
// time before the tenure is established.
func (t *Tenure) Wait(now time.Time) Wait {
	switch {
	case t.Predecessor.Epoch == 0:
		return Wait{}
	case t.Predecessor.Released:
		return Wait{Busy: t.Predecessor.Busy}
	}
	since := now.Sub(t.establishedAt)
	return Wait{
		Short: max(0, withDrift(Term+ShortHold)-since),
		Long:  max(0, withDrift(Term+LongHold)-since),
	}
}

// Electing begins to need the promises of a new list of electors as well.
func (t *Tenure) Electing(electors []string) {
	if !slices.Equal(t.electorates[len(t.electorates)-1], electors) {
		t.electorates = append(t.electorates, electors)
	}
}

// Elected ends a change of electors; only those of the row count.
func (t *Tenure) Elected(electors []string) { t.electorates = [][]string{electors} }

// ClaimRow returns the row by which a process takes a partition over. A first
// claim names the electors; a later one keeps them, since only an established
// owner may change them.
func ClaimRow(current Row, self Process, electors []string) Row {
	next := Row{Epoch: current.Epoch + 1, Owner: self, Electors: current.Electors}
	if current.Epoch == 0 {
		next.Electors = electors
	}
	return next
}
