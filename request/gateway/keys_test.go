package gateway

import (
	"testing"

	"quetzalknot/process/membership"
	"quetzalknot/request/claim"
)

// TestOwnerStates: only a process that is neither listed nor replaced by a later one may be
// new.
func TestOwnerStates(t *testing.T) {
	members := membership.New()
	members.Start(membership.Member{Host: "h1", Incarnation: 5, ForwardAddr: "127.0.0.1:80"}, nil)
	g := &Gateway{opts: Options{Members: members}}
	for _, tc := range []struct {
		owner          claim.Owner
		listed, mayNew bool
	}{
		{claim.Owner{Host: "h1", Incarnation: 5}, true, false},
		{claim.Owner{Host: "h1", Incarnation: 4}, false, false},
		{claim.Owner{Host: "h1", Incarnation: 6}, false, true},
		{claim.Owner{Host: "h2", Incarnation: 5}, false, true},
	} {
		_, listed := g.ForwardAddr(tc.owner)
		if mayNew := g.MayBeNew(tc.owner); listed != tc.listed || (!listed && mayNew != tc.mayNew) {
			t.Errorf("%+v: listed = %v, may be new = %v", tc.owner, listed, mayNew)
		}
	}
}
