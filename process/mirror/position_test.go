package mirror

import "testing"

// TestPositionsAcrossEras lists which replicas lack the records of others.
func TestPositionsAcrossEras(t *testing.T) {
	tests := []struct {
		name       string
		own, other Position
		want       bool
	}{
		{"the same", Position{1, 5}, Position{1, 5}, false},
		{"an earlier revision", Position{1, 5}, Position{1, 6}, true},
		{"a later revision", Position{1, 6}, Position{1, 5}, false},
		{"an earlier era with a larger number", Position{1, 45}, Position{2, 44}, true},
		{"a later era with a smaller number", Position{2, 44}, Position{1, 45}, false},
		{"own era unknown, larger number", Position{0, 45}, Position{2, 44}, true},
		{"other's era unknown, larger number", Position{2, 44}, Position{0, 45}, true},
		{"other's era unknown, smaller number", Position{2, 45}, Position{0, 44}, false},
		{"both unknown", Position{0, 44}, Position{0, 45}, true},
	}
	for _, tt := range tests {
		if got := tt.own.Lacks(tt.other); got != tt.want {
			t.Errorf("%s: %+v lacks records of %+v: got %v, want %v", tt.name, tt.own, tt.other, got, tt.want)
		}
	}
}

// TestReplicaOfUnknownEraFollowsPartner: tables that were taken over from an earlier release have no
// era; the changes of a partner that knows it must be taken.
func TestReplicaOfUnknownEraFollowsPartner(t *testing.T) {
	reader, replica := New(), New()
	replica.Apply(snapshotOf(0, 45, "10"))
	reader.Apply(snapshotOf(1, 45, "10"))
	reader.Apply(changeOf(1, 46, "12"))
	got := replica.Apply(reader.DeltaSince(testTable, replica.Position(testTable)))
	if r, _ := replica.Get(testTable, testKey); string(r.Value) != "12" {
		t.Errorf("state %s, want 12; refused %v", r.Value, got.Refused)
	}
}
