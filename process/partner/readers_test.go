package partner

import (
	"testing"
	"testing/synctest"
	"time"

	"quetzalknot/process/mirror"
)

// TestFewHostsRead: of many hosts of a region three read, of few all.
func TestFewHostsRead(t *testing.T) {
	for hosts, want := range map[int]int{2: 2, 3: 3, 9: carriersLeast} {
		synctest.Test(t, func(t *testing.T) {
			_, groups := newNetwork(t, hosts)
			time.Sleep(2 * beatInterval)
			reads := 0
			for _, g := range groups {
				if g.Reads() {
					reads++
				}
			}
			if reads != want {
				t.Errorf("%d of %d hosts read the store, want %d", reads, hosts, want)
			}
		})
	}
}

// TestChangeArrivesAtOnce tells the others of a change that one host has read.
func TestChangeArrivesAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, groups := newNetwork(t, 9)
		time.Sleep(2*beatInterval + beatInterval/2)
		reader := groups[0]
		reader.opts.Mirror.Apply(mirror.Delta{Table: table, Records: []mirror.Record{{Key: "i-1", Revision: 9}}, UpTo: 9})
		reader.Tell(t.Context())
		synctest.Wait()
		for _, g := range groups {
			if !g.Reads() && g.opts.Mirror.Position(table) != 9 {
				t.Errorf("%s does not have the change", g.opts.Self.Name)
			}
		}
	})
}

// TestOthersReadWhileNoReaderIsFresh: partners that lose the store, or fall silent, are
// no reason any more not to read it.
func TestOthersReadWhileNoReaderIsFresh(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, groups := newNetwork(t, 9)
		last := groups[8]
		from := groups[0].opts.Self
		last.heard(&Beat{From: from, Fresh: true})
		if !last.Fresh(time.Now()) || last.Troubled(time.Now()) {
			t.Error("the word of a reader does not count")
		}
		last.heard(&Beat{From: groups[1].opts.Self, Troubled: true})
		if last.Troubled(time.Now()) {
			t.Error("the trouble of one reader counts though another one has none")
		}
		time.Sleep(freshFor)
		last.heard(&Beat{From: from, Fresh: true, Troubled: true})
		if !last.Troubled(time.Now()) {
			t.Error("the trouble of all readers is not known")
		}
		time.Sleep(freshFor)
		if last.Fresh(time.Now()) {
			t.Errorf("a reader that said nothing for %v counts as fresh", freshFor)
		}
	})
}
