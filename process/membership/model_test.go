package membership

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// modelHosts is how many hosts the explored system has.
const modelHosts = 3

// action is one step of the explored system.
type action struct {
	kind     string
	from, to int
}

// system is the members of a few hosts, with the real code and a fake clock.
type system struct {
	hosts [modelHosts]*Members
	// incarnations counts the starts of each host.
	incarnations [modelHosts]uint64
	// before holds each host's view, to see that no entry steps back.
	before [modelHosts]map[string]Entry
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
	s.before[i] = nil
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

func (s *system) do(a action) {
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

// key tells states apart. Times matter only as whether a suspicion is due.
func (s *system) key() string {
	text := ""
	for _, h := range s.hosts {
		for _, e := range h.All() {
			age := time.Since(h.known[e.Member.Host].changedAt) >= SuspicionTime
			text += fmt.Sprint(e.Member.Host, e.Member.Incarnation, e.Counter, e.Status, e.Member.Leaving, age, " ")
		}
		text += fmt.Sprint(h.Lease().Revoked(), "|")
	}
	return text
}

func (s *system) check(t *testing.T, path []action) {
	for i, h := range s.hosts {
		self, _ := h.Entry(modelName(i))
		if self.Status != Alive {
			t.Fatalf("%v: %s counts itself as %s", path, modelName(i), self.Status)
		}
		newerProcess := false
		for _, e := range h.All() {
			if old, ok := s.before[i][e.Member.Host]; ok && old.newer(e) {
				t.Fatalf("%v: %s stepped back from %+v to %+v", path, modelName(i), old, e)
			}
			newerProcess = newerProcess || e.Member.Incarnation > s.incarnations[i] && e.Member.Host == modelName(i)
		}
		if newerProcess {
			t.Fatalf("%v: %s knows a later process of itself", path, modelName(i))
		}
	}
	s.remember()
}

func (s *system) remember() {
	for i, h := range s.hosts {
		s.before[i] = make(map[string]Entry)
		for _, e := range h.All() {
			s.before[i][e.Member.Host] = e
		}
	}
}

// checkAgreement syncs all hosts with each other until nothing changes: then all
// hold the same, every host is alive, and no lease of a newest process is revoked.
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
			t.Fatalf("%v: %s and h0 differ for good", path, modelName(i))
		}
		for j := range s.hosts {
			if e, _ := h.Entry(modelName(j)); e.Status != Alive {
				t.Fatalf("%v: %s takes the running %s for %s", path, modelName(i), modelName(j), e.Status)
			}
		}
		if h.Lease().Revoked() {
			t.Fatalf("%v: the lease of the newest process of %s is revoked", path, modelName(i))
		}
	}
}

// TestEveryStateOfMembers explores suspicion, death, refutation, restarts and
// leaving of three hosts to a bounded depth, with every order of deliveries.
func TestEveryStateOfMembers(t *testing.T) {
	depth := 4
	synctest.Test(t, func(t *testing.T) {
		seen := make(map[string]bool)
		frontier := [][]action{{}}
		steps := 0
		for range depth {
			var next [][]action
			for _, path := range frontier {
				for _, a := range actions() {
					s := newSystem()
					s.remember()
					for _, earlier := range path {
						s.do(earlier)
						s.remember()
					}
					s.do(a)
					steps++
					longer := append(path[:len(path):len(path)], a)
					s.check(t, longer)
					if key := s.key(); !seen[key] {
						seen[key] = true
						next = append(next, longer)
						s.checkAgreement(t, longer)
					}
				}
			}
			frontier = next
		}
		t.Logf("depth %d: %d states, %d steps", depth, len(seen), steps)
	})
}
