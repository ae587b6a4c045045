package membership

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

const (
	// digestEntryBytes is the size of one member in a digest: a 4-byte hash of the host
	// name and a 4-byte hash of the entry's version.
	digestEntryBytes = 8
	// maxDeltaEntries bounds the entries of a received delta.
	maxDeltaEntries = 4096
	// maxFieldBytes bounds each text field of a received member.
	maxFieldBytes = 64
)

func encodeEntries(entries []Entry) []byte {
	data, err := cbor.Marshal(entries)
	if err != nil {
		panic(err) // plain structs always encode
	}
	return data
}

// entrySum returns the contribution of an entry to Sum. That of a dead member is 0,
// since hosts remove dead members at different times.
func entrySum(e Entry) uint64 {
	if e.Status == Dead {
		return 0
	}
	return versionHash(e)
}

func versionHash(e Entry) uint64 {
	var buf [14]byte
	binary.BigEndian.PutUint64(buf[:], e.Member.Incarnation)
	binary.BigEndian.PutUint32(buf[8:], e.Counter)
	buf[12] = byte(e.Status)
	if e.Member.Leaving {
		buf[13] = 1
	}
	return xxhash.Sum64(append(buf[:], e.Member.Host...))
}

func nameHash(host string) uint32 { return uint32(xxhash.Sum64String(host)) }

// Sum returns a hash of the member table without the dead members. It implements
// spread.Topic.
func (m *Members) Sum() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.sum
}

// Digest returns a hash of the name and of the version of each entry. It implements
// spread.Topic.
func (m *Members) Digest() []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	digest := make([]byte, 0, len(m.states)*digestEntryBytes)
	for host, state := range m.states {
		digest = binary.BigEndian.AppendUint32(digest, nameHash(host))
		digest = binary.BigEndian.AppendUint32(digest, uint32(versionHash(state.Entry)))
	}
	return digest
}

// Delta returns entries that differ from those of the digest, up to about limit bytes. A
// dead member is included only if the digest has another entry of it. Delta implements
// spread.Topic.
func (m *Members) Delta(digest []byte, limit int) []byte {
	if len(digest)%digestEntryBytes != 0 {
		return nil
	}
	theirs := make(map[uint32]uint32, len(digest)/digestEntryBytes)
	for d := digest; len(d) > 0; d = d[digestEntryBytes:] {
		theirs[binary.BigEndian.Uint32(d)] = binary.BigEndian.Uint32(d[4:])
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	var entries []Entry
	size := 0
	for host, state := range m.states {
		version, listed := theirs[nameHash(host)]
		if listed && version == uint32(versionHash(state.Entry)) || !listed && state.Status == Dead {
			continue
		}
		size += len(encodeEntries([]Entry{state.Entry}))
		if size > limit && len(entries) > 0 {
			break
		}
		entries = append(entries, state.Entry)
	}
	if len(entries) == 0 {
		return nil
	}
	return encodeEntries(entries)
}

// Merge merges the entries of a delta into the table and reports whether the table
// changed. If an entry declares this process suspect or dead, the process refutes it
// by raising its own counter. Merge implements spread.Topic.
func (m *Members) Merge(delta []byte) (bool, error) {
	var entries []Entry
	if err := cbor.Unmarshal(delta, &entries); err != nil {
		return false, errors.Wrap(err, "decode members delta")
	}
	if len(entries) > maxDeltaEntries {
		return false, errors.Newf("members delta has %d entries; at most %d are allowed", len(entries), maxDeltaEntries)
	}
	for _, e := range entries {
		if err := e.validate(); err != nil {
			return false, err
		}
	}
	changed := false
	for _, e := range entries {
		if m.mergeEntry(e) {
			changed = true
		}
	}
	if changed {
		m.mu.Lock()
		m.publishLive(time.Now())
		m.mu.Unlock()
	}
	return changed, nil
}

func (e Entry) validate() error {
	for _, text := range []string{
		e.Member.Host, e.Member.Region, e.Member.FailureDomain,
		e.Member.ForwardAddr, e.Member.APIAddr, e.Member.PeerAddr,
	} {
		if len(text) > maxFieldBytes {
			return errors.Newf("members delta has a field of %d bytes; at most %d are allowed", len(text), maxFieldBytes)
		}
	}
	if e.Member.Host == "" || e.Member.Incarnation == 0 || e.Status > Dead {
		return errors.Newf("members delta has an invalid entry: host %q, incarnation %d, status %d", e.Member.Host, e.Member.Incarnation, e.Status)
	}
	return nil
}

func (m *Members) mergeEntry(e Entry) bool {
	m.mu.Lock()
	if e.Member.Host == m.self && m.self != "" {
		m.mu.Unlock()
		return m.mergeSelf(e)
	}
	defer m.mu.Unlock()
	state := m.states[e.Member.Host]
	if state == nil && e.Status == Dead || state != nil && !e.newer(state.Entry) {
		return false
	}
	m.put(e, time.Now())
	return true
}

// mergeSelf handles an entry about this host that came from another one. A larger
// incarnation means that another process runs as this host, so the lease is revoked.
// Any other newer entry is refuted by raising the counter; one that declares this process
// dead also ends the lease until the next successful exchange.
func (m *Members) mergeSelf(e Entry) bool {
	own, _ := m.Entry(e.Member.Host)
	switch {
	case e.Member.Incarnation > own.Member.Incarnation:
		m.lease.Revoke()
		return false
	case !e.newer(own):
		return false
	}
	if e.Status == Dead {
		m.lease.Expire()
	}
	m.changeSelf(func(own *Entry) bool {
		own.Counter = max(own.Counter, e.Counter)
		return true
	})
	return true
}

// MergeRow merges a member that was read from the table service and reports whether
// the member table changed.
func (m *Members) MergeRow(member Member) bool {
	delta := encodeEntries([]Entry{{Member: member}})
	changed, err := m.Merge(delta)
	return changed && err == nil
}

// HostNames returns the sorted host names of members.
func HostNames(members []Member) []string {
	names := make([]string, len(members))
	for i, m := range members {
		names[i] = m.Host
	}
	slices.Sort(names)
	return names
}
