package capacity

import (
	"os"
	"testing"

	"quetzalknot/version/lookup"
)

// BenchmarkDecide measures complete look-up decisions at the design size: 3.1 million
// blocks, 910 hosts.
func BenchmarkDecide(b *testing.B) {
	blocks := Blocks(DesignBlocks, 1)
	clients := ClientAddrs(blocks, clientCount, 1)
	table, err := buildTable(blocks)
	if err != nil {
		b.Fatal(err)
	}
	view := lookup.NewView(inputsOf(table, designHosts))
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		client := clients[i%len(clients)]
		view.ChooseHosts("bokun", client, lookup.CallerKey(client, ""))
		i++
	}
}

// TestSlopeFit checks the fit of points on a line, and the residual of a point that
// is not on it.
func TestSlopeFit(t *testing.T) {
	s := Slope{X: []float64{1, 2, 4, 8}, Y: []float64{13, 16, 22, 34}}
	s.fit()
	if s.PerUnit < 2.999 || s.PerUnit > 3.001 || s.Base < 9.99 || s.Base > 10.01 || s.WorstResidual > 1e-6 {
		t.Errorf("slope %v, base %v, worst %v, want 3, 10, 0", s.PerUnit, s.Base, s.WorstResidual)
	}
	s.Y[3] = 68
	if s.fit(); s.WorstResidual < 0.1 {
		t.Errorf("the worst residual is %v for a point far from the line", s.WorstResidual)
	}
}

// TestPageSections checks that only text between the markers is replaced, and that a page
// without the markers is an error.
func TestPageSections(t *testing.T) {
	page := "before\n<!-- begin swap -->\nold\n<!-- end swap -->\nafter\n"
	got, err := replaceSection([]byte(page), Section{Name: "swap", Body: "new"})
	if want := "before\n<!-- begin swap -->\n\nnew\n<!-- end swap -->\nafter\n"; err != nil || string(got) != want {
		t.Errorf("got %q, %v", got, err)
	}
	if _, err := replaceSection([]byte(page), Section{Name: "day"}); err == nil {
		t.Error("no error for a page without the markers of the section")
	}
}

// TestPageHasEverySection checks that docs/CAPACITY.md has the markers of all sections.
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
