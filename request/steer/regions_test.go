package steer

import (
	"fmt"
	"slices"
	"testing"

	"quetzalknot/version/config"
	"quetzalknot/version/state"
)

// TestRegionsWithoutSlots: a region must be listed once, whether or not its first targets have
// slots, and not at all when none has, since callers would be assigned to it.
func TestRegionsWithoutSlots(t *testing.T) {
	svc := &config.Service{Name: "bokun"}
	for i, target := range []config.Target{
		{Region: "nordur"}, {Region: "nordur"}, {Region: "nordur", Slots: 6}, {Region: "austur", Slots: 6}, {Region: "sudvestur"},
	} {
		target.Name = fmt.Sprint("t", i)
		svc.Targets = append(svc.Targets, target)
	}
	r := newRegions(svc, new(state.Snapshot))
	if want := []string{"austur", "nordur"}; !slices.Equal(r.names, want) {
		t.Errorf("regions %v, want %v", r.names, want)
	}
	for client := range 50 {
		if home := r.home("sudvestur", svc.Name, fmt.Sprint(client)); r.slots[home] == 0 {
			t.Errorf("client block %d is assigned to %s, which has no slots", client, home)
		}
	}
}
