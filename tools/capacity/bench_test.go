package capacity

import (
	"os"
	"testing"

	"quetzalknot/version/lookup"
)

// BenchmarkDecide times whole decisions at the design size: 3.1 million blocks, 910 hosts.
func BenchmarkDecide(b *testing.B) {
	blocks := Blocks(FullBlocks, 1)
	clients := Clients(blocks, clientsAsked, 1)
	table, err := buildTable(blocks)
	if err != nil {
		b.Fatal(err)
	}
	view := lookup.NewView(inputsOf(table, nodes))
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		client := clients[i%len(clients)]
		view.Decide("bokun", client, lookup.Key(client, ""))
		i++
	}
}

// TestFitFindsTheLine fits points with a known slope and one that lies aside.
func TestFitFindsTheLine(t *testing.T) {
	s := Slope{X: []float64{1, 2, 4, 8}, Y: []float64{13, 16, 22, 34}}
	s.fit()
	if s.PerUnit < 2.999 || s.PerUnit > 3.001 || s.Base < 9.99 || s.Base > 10.01 || s.Worst > 1e-6 {
		t.Errorf("slope %v, base %v, worst %v, want 3, 10, 0", s.PerUnit, s.Base, s.Worst)
	}
	s.Y[3] = 68
	if s.fit(); s.Worst < 0.1 {
		t.Errorf("a point far from the line gives a worst residual of %v", s.Worst)
	}
}

// TestPageSections replaces text between markers only, and fails without them.
func TestPageSections(t *testing.T) {
	page := "before\n<!-- begin swap -->\nold\n<!-- end swap -->\nafter\n"
	got, err := replaceSection([]byte(page), Section{Name: "swap", Body: "new"})
	if want := "before\n<!-- begin swap -->\n\nnew\n<!-- end swap -->\nafter\n"; err != nil || string(got) != want {
		t.Errorf("got %q, %v", got, err)
	}
	if _, err := replaceSection([]byte(page), Section{Name: "day"}); err == nil {
		t.Error("a page without markers was written")
	}
}

// TestPageHasEverySection finds the markers of all sections in the page of the project.
func TestPageHasEverySection(t *testing.T) {
	page, err := os.ReadFile("../../docs/CAPACITY.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"slopes", "swap", "structures", "control", "work", "day"} {
		if _, err := replaceSection(page, Section{Name: name, Body: "new"}); err != nil {
			t.Error(err)
		}
	}
}
