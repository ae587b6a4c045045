package soak

import "testing"

// TestStartsRunBothBuilds: about half of the starts must run each build, the same ones for the same
// seed, and all of them the program if it is the only one.
func TestStartsRunBothBuilds(t *testing.T) {
	const hosts, generations = 10, 20
	mixed, again, single := builds{"new", "old", 7}, builds{"new", "old", 7}, builds{"new", "", 7}
	old := 0
	for host := range hosts {
		for generation := 1; generation <= generations; generation++ {
			build := mixed.of(host, generation)
			if build == "old" {
				old++
			}
			if again.of(host, generation) != build || single.of(host, generation) != "new" {
				t.Fatalf("host %d, generation %d: %s, %s, %s", host, generation, build, again.of(host, generation), single.of(host, generation))
			}
		}
	}
	if total := hosts * generations; old < total/3 || old > 2*total/3 {
		t.Errorf("%d of %d starts run the other build", old, total)
	}
}
