package lookup

import (
	"strings"

	"github.com/cockroachdb/errors"
)

// maxAssignments is the maximum number of distinct assignments in a table; blocks
// refer to them by a 16-bit index.
const maxAssignments = 1 << 16

// Assignment holds the preferred regions and entry hosts of a block's callers.
type Assignment struct {
	// Regions are the regions in order of preference. Regions that are not listed
	// follow in order of latency.
	Regions []string
	// Entries override the computed entry hosts, best first.
	Entries []string
}

// key returns a string that identifies the assignment: equal assignments have equal keys.
func (a Assignment) key() string {
	return strings.Join(a.Regions, "\x00") + "\x01" + strings.Join(a.Entries, "\x00")
}

// assignmentSet interns assignments, so that a block stores only an index.
type assignmentSet struct {
	list  []Assignment
	index map[string]uint16
}

func newAssignmentSet(list []Assignment) (*assignmentSet, error) {
	s := &assignmentSet{index: make(map[string]uint16, len(list))}
	for _, a := range list {
		if _, err := s.intern(a); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// intern returns the index of an assignment and adds it if it is new.
func (s *assignmentSet) intern(a Assignment) (uint16, error) {
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
