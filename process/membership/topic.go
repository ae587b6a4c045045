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
	// digestBytes is the size of one member in a digest: a hash of the name and one
	// of the entry.
	digestBytes = 8
	// maxEntriesMerged bounds the members of one delta.
	maxEntriesMerged = 4096
	// maxFieldBytes bounds each text of a member.
	maxFieldBytes = 64
)

func encodeEntries(entries []Entry) []byte {
	data, err := cbor.Marshal(entries)
	if err != nil {
		panic(err) // plain structs always encode
	}
	return data
}

// entrySum is the part of an entry in the sum. The dead count for nothing, since
// hosts forget them at different times.
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

// Sum implements the spread of members.
func (m *Members) Sum() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.sum
}

// Digest implements the spread of members.
func (m *Members) Digest() []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	digest := make([]byte, 0, len(m.known)*digestBytes)
	for host, k := range m.known {
		digest = binary.BigEndian.AppendUint32(digest, nameHash(host))
		digest = binary.BigEndian.AppendUint32(digest, uint32(versionHash(k.Entry)))
	}
	return digest
}

// Delta implements the spread of members: the entries that differ from the
// digest's. A dead member goes only to a host that knows it otherwise.
func (m *Members) Delta(digest []byte, limit int) []byte {
	if len(digest)%digestBytes != 0 {
		return nil
	}
	theirs := make(map[uint32]uint32, len(digest)/digestBytes)
	for d := digest; len(d) > 0; d = d[digestBytes:] {
		theirs[binary.BigEndian.Uint32(d)] = binary.BigEndian.Uint32(d[4:])
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	var entries []Entry
	size := 0
	for host, k := range m.known {
		version, listed := theirs[nameHash(host)]
		if listed && version == uint32(versionHash(k.Entry)) || !listed && k.Status == Dead {
			continue
		}
		size += len(encodeEntries([]Entry{k.Entry}))
		if size > limit && len(entries) > 0 {
			break
		}
		entries = append(entries, k.Entry)
	}
	if len(entries) == 0 {
		return nil
	}
	return encodeEntries(entries)
}

// Merge implements the spread of members. A claim that this process is not alive
// is refuted with a larger counter.
func (m *Members) Merge(delta []byte) (bool, error) {
	var entries []Entry
	if err := cbor.Unmarshal(delta, &entries); err != nil {
		return false, errors.Wrap(err, "members")
	}
	if len(entries) > maxEntriesMerged {
		return false, errors.Newf("members: %d entries; at most %d are allowed", len(entries), maxEntriesMerged)
	}
	for _, e := range entries {
		if err := e.check(); err != nil {
			return false, err
		}
	}
	changed := false
	for _, e := range entries {
		if m.mergeOne(e) {
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

func (e Entry) check() error {
	for _, text := range []string{
		e.Member.Host, e.Member.Region, e.Member.FailureDomain,
		e.Member.ForwardAddr, e.Member.APIAddr, e.Member.PeerAddr,
	} {
		if len(text) > maxFieldBytes {
			return errors.Newf("members: field of %d bytes; at most %d are allowed", len(text), maxFieldBytes)
		}
	}
	if e.Member.Host == "" || e.Member.Incarnation == 0 || e.Status > Dead {
		return errors.Newf("members: host %q, incarnation %d, status %d", e.Member.Host, e.Member.Incarnation, e.Status)
	}
	return nil
}

func (m *Members) mergeOne(e Entry) bool {
	m.mu.Lock()
	if e.Member.Host == m.self && m.self != "" {
		m.mu.Unlock()
		return m.hearOfSelf(e)
	}
	defer m.mu.Unlock()
	k := m.known[e.Member.Host]
	if k == nil && e.Status == Dead || k != nil && !e.newer(k.Entry) {
		return false
	}
	m.put(e, time.Now())
	return true
}

// hearOfSelf answers what others say of this process. A larger incarnation means
// that another process runs as this host: then this one holds nothing any more.
func (m *Members) hearOfSelf(e Entry) bool {
	own, _ := m.Entry(e.Member.Host)
	switch {
	case e.Member.Incarnation > own.Member.Incarnation:
		m.lease.Revoke()
		return false
	case !e.newer(own):
		return false
	}
	if e.Status == Dead {
		m.lease.Lapse()
	}
	m.changeSelf(func(own *Entry) bool {
		own.Counter = max(own.Counter, e.Counter)
		return true
	})
	return true
}

// MergeRow takes in a member that was read from the table service.
func (m *Members) MergeRow(member Member) bool {
	delta := encodeEntries([]Entry{{Member: member}})
	changed, err := m.Merge(delta)
	return changed && err == nil
}

// Hosts returns the names of members in their order.
func Hosts(members []Member) []string {
	names := make([]string, len(members))
	for i, m := range members {
		names[i] = m.Host
	}
	slices.Sort(names)
	return names
}
