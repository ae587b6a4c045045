package lookup

import (
	"strings"

	"github.com/cockroachdb/errors"
)

// maxAssignments is how many different assignments a table can hold.
const maxAssignments = 1 << 16

// Assignment says where the callers of a block go.
type Assignment struct {
	// Regions are the regions in order of preference. Regions that are not named
	// follow by latency.
	Regions []string
	// Entries override the entry hosts, best first.
	Entries []string
}

// key returns a text that is the same for equal assignments only.
func (a Assignment) key() string {
	return strings.Join(a.Regions, "\x00") + "\x01" + strings.Join(a.Entries, "\x00")
}

// assignments interns assignments, so that a block needs only an index.
type assignments struct {
	list  []Assignment
	index map[string]uint16
}

func newAssignments(list []Assignment) (*assignments, error) {
	s := &assignments{index: make(map[string]uint16, len(list))}
	for _, a := range list {
		if _, err := s.intern(a); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// intern returns the index of an assignment, adding it when it is new.
func (s *assignments) intern(a Assignment) (uint16, error) {
	key := a.key()
	if i, ok := s.index[key]; ok {
		return i, nil
	}
	if len(s.list) == maxAssignments {
		return 0, errors.Newf("more than %d different assignments", maxAssignments)
	}
	i := uint16(len(s.list))
	s.list = append(s.list, a)
	s.index[key] = i
	return i, nil
}
