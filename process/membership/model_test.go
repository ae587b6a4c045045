package membership

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// modelHosts is the number of hosts in the model.
const modelHosts = 3

// action is one transition of the model.
type action struct {
	kind     string
	from, to int
}

// system holds the member tables of a few hosts. It runs the real code with a fake
// clock.
type system struct {
	hosts [modelHosts]*Members
	// incarnations counts the process starts of each host.
	incarnations [modelHosts]uint64
	// previous holds the entries of each host before the last action, to check that no
	// entry is replaced by an older one.
	previous [modelHosts]map[string]Entry
}

func newSystem() *system {
	s := &system{}
	for i := range s.hosts {
		s.start(i)
	}
	for range modelHosts {
		for i := range s.hosts {
			s.sync(i, (i+1)%modelHosts)
		}
	}
	return s
}

func modelName(i int) string { return fmt.Sprint("h", i) }

func (s *system) start(i int) {
	s.incarnations[i]++
	s.hosts[i] = New()
	s.hosts[i].Start(Member{Host: modelName(i), Incarnation: s.incarnations[i], PeerAddr: modelName(i)}, nil)
	s.previous[i] = nil
}

func (s *system) sync(from, to int) {
	if delta := s.hosts[from].Delta(s.hosts[to].Digest(), 1<<20); delta != nil {
		if _, err := s.hosts[to].Merge(delta); err != nil {
			panic(err)
		}
	}
}

func actions() []action {
	list := []action{{kind: "time"}}
	for i := range modelHosts {
		list = append(list, action{kind: "restart", to: i}, action{kind: "leave", to: i})
		for j := range modelHosts {
			if i != j {
				list = append(list, action{kind: "sync", from: i, to: j}, action{kind: "suspect", from: i, to: j})
			}
		}
	}
	return list
}

func (s *system) apply(a action) {
	switch a.kind {
	case "time":
		time.Sleep(SuspicionTime)
		for _, h := range s.hosts {
			h.Lease().Renew(time.Now())
			h.Tick(time.Now())
		}
	case "restart":
		s.start(a.to)
	case "leave":
		s.hosts[a.to].SetLeaving()
	case "sync":
		s.sync(a.from, a.to)
	case "suspect":
		if e, ok := s.hosts[a.from].Entry(modelName(a.to)); ok && e.Status == Alive {
			s.hosts[a.from].Suspect(e)
		}
	}
}

// stateKey identifies a state of the model. Of times, it holds only whether
// SuspicionTime has passed.
func (s *system) stateKey() string {
	text := ""
	for _, h := range s.hosts {
		for _, e := range h.All() {
			overdue := time.Since(h.states[e.Member.Host].changedAt) >= SuspicionTime
			text += fmt.Sprint(e.Member.Host, e.Member.Incarnation, e.Counter, e.Status, e.Member.Leaving, overdue, " ")
		}
		text += fmt.Sprint(h.Lease().Revoked(), "|")
	}
	return text
}

func (s *system) check(t *testing.T, path []action) {
	for i, h := range s.hosts {
		self, _ := h.Entry(modelName(i))
		if self.Status != Alive {
			t.Fatalf("%v: %s has status %s in its own table", path, modelName(i), self.Status)
		}
		newerProcess := false
		for _, e := range h.All() {
			if old, ok := s.previous[i][e.Member.Host]; ok && old.newer(e) {
				t.Fatalf("%v: %s replaced %+v by the older %+v", path, modelName(i), old, e)
			}
			newerProcess = newerProcess || e.Member.Incarnation > s.incarnations[i] && e.Member.Host == modelName(i)
		}
		if newerProcess {
			t.Fatalf("%v: %s has an entry of a later process of its own host", path, modelName(i))
		}
	}
	s.recordEntries()
}

func (s *system) recordEntries() {
	for i, h := range s.hosts {
		s.previous[i] = make(map[string]Entry)
		for _, e := range h.All() {
			s.previous[i][e.Member.Host] = e
		}
	}
}

// checkAgreement synchronises all hosts with each other until nothing changes. Then
// all tables must be equal, every host must be alive in all of them, and no host's newest
// process may have its lease revoked.
func (s *system) checkAgreement(t *testing.T, path []action) {
	for range 2 * modelHosts {
		for i := range s.hosts {
			for j := range s.hosts {
				s.sync(i, j)
			}
		}
	}
	for i, h := range s.hosts {
		if h.Sum() != s.hosts[0].Sum() {
			t.Fatalf("%v: the tables of %s and h0 did not converge", path, modelName(i))
		}
		for j := range s.hosts {
			if e, _ := h.Entry(modelName(j)); e.Status != Alive {
				t.Fatalf("%v: in the table of %s the running %s has status %s", path, modelName(i), modelName(j), e.Status)
			}
		}
		if h.Lease().Revoked() {
			t.Fatalf("%v: the lease of the newest process of %s is revoked", path, modelName(i))
		}
	}
}

// TestMembershipStateSpace explores all states that three hosts reach within a bounded
// number of actions: suspicion, death, refutation, restart, leaving, and message
// delivery in every order.
func TestMembershipStateSpace(t *testing.T) {
	depth := 4
	synctest.Test(t, func(t *testing.T) {
		seen := make(map[string]bool)
		frontier := [][]action{{}}
		transitions := 0
		for range depth {
			var next [][]action
			for _, path := range frontier {
				for _, a := range actions() {
					s := newSystem()
					s.recordEntries()
					for _, earlier := range path {
						s.apply(earlier)
						s.recordEntries()
					}
					s.apply(a)
					transitions++
					longer := append(path[:len(path):len(path)], a)
					s.check(t, longer)
					if key := s.stateKey(); !seen[key] {
						seen[key] = true
						next = append(next, longer)
						s.checkAgreement(t, longer)
					}
				}
			}
			frontier = next
		}
		t.Logf("depth %d: %d states, %d steps", depth, len(seen), transitions)
	})
}
