package entry

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"testing"
	"time"

	"quetzalknot/platform/adapter"
	"quetzalknot/platform/standin"
)

// setBody replaces the body of a response.
func setBody(r *http.Response, body []byte) {
	r.Body = io.NopCloser(bytes.NewReader(body))
	r.ContentLength = int64(len(body))
	r.Header.Set("Content-Length", strconv.Itoa(len(body)))
}

// TestReadOlderThanKnownDoesNotConfirm: a full read that shows the table as it was before the changes
// that a host has says nothing about the present state of the store.
func TestReadOlderThanKnownDoesNotConfirm(t *testing.T) {
	c := newCluster(t, 1, 1)
	var older []byte
	h := c.newBehind("front-stale", func(r *http.Response) time.Duration {
		switch {
		case !standin.IsFullRead(r.Request, adapter.OperatorTable):
		case older == nil:
			older, _ = io.ReadAll(r.Body)
			setBody(r, older)
		default:
			setBody(r, older)
		}
		return 0
	})
	if err := h.readTable(t.Context(), adapter.OperatorTable); err != nil {
		t.Fatal(err)
	}
	c.store.PutState(standin.DesiredState(2, coldPerSecond))
	if _, err := h.readChanges(t.Context(), adapter.OperatorTable, feedAnswer{}); err != nil {
		t.Fatal(err)
	}
	c.store.PutState(standin.DesiredState(3, coldPerSecond))
	confirmed := h.storeStatus.tables[adapter.OperatorTable].confirmedAt
	if err := h.readTable(t.Context(), adapter.OperatorTable); err != nil {
		t.Fatal(err)
	}
	if h.stateVersion() != 2 {
		t.Fatalf("version %d is in force; want 2", h.stateVersion())
	}
	if at := h.storeStatus.tables[adapter.OperatorTable].confirmedAt; at.After(confirmed) {
		t.Errorf("a read that lacks version 2, which is in force, confirms the state %v after the last answer that showed it", at.Sub(confirmed))
	}
}
