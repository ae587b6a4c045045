package replica

import (
	"net/http"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"

	"quetzalknot/platform"
	"quetzalknot/version/state"
	"quetzalknot/version/store"
	"quetzalknot/version/ticket"
)

func TestWhyATicketIsNotInForce(t *testing.T) {
	fault := state.Fault{Ticket: 5, Error: `ticket 5: object later/x: unknown kind "x"`}
	for _, tc := range []struct {
		h    HostStatus
		want string
	}{
		{HostStatus{Status: Status{Version: 7, UpToDate: true}}, ""},
		{HostStatus{Status: Status{Version: 6, UpToDate: true}}, "ticket 7 has not arrived yet"},
		{HostStatus{Status: Status{Version: 6}}, "knows that it is not fresh"},
		{HostStatus{Status: Status{Version: 7, NotInForce: []state.Fault{fault}}}, `cannot be put into force: ticket 5: object later/x: unknown kind "x"`},
		{HostStatus{Error: "the host counts as dead"}, "not known: the host counts as dead"},
	} {
		got := lagReason(&tc.h, 7)
		if !strings.Contains(got, tc.want) || (tc.want == "") != (got == "") {
			t.Errorf("%+v: got %q, want %q", tc.h, got, tc.want)
		}
	}
}

func TestStatusOfFailedSubmissions(t *testing.T) {
	for err, want := range map[error]int{
		error(&ticket.CheckError{}):                       http.StatusBadRequest,
		error(&store.ConflictError{Number: 1, Winner: 2}): http.StatusConflict,
		platform.ErrConflict:                              http.StatusConflict,
		platform.ErrUnavailable:                           http.StatusServiceUnavailable,
		platform.ErrUnknownOutcome:                        http.StatusServiceUnavailable,
	} {
		if got := submitStatus(errors.Wrap(err, "ticket 1")); got != want {
			t.Errorf("%v: status %d, want %d", err, got, want)
		}
	}
}
