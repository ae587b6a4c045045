package entry

import (
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"quetzalknot/platform/adapter"
	"quetzalknot/platform/standin"
)

// newReaderOfThePast returns a host that has version 2 of the desired state, and whose full reads of the
// operators' table show it before that.
func (c *cluster) newReaderOfThePast() *Host {
	c.t.Helper()
	var older []byte
	var past atomic.Bool
	h := c.newBehind("front-past", func(r *http.Response) time.Duration {
		if !standin.IsFullRead(r.Request, adapter.OperatorTable) {
			return 0
		}
		body, _ := io.ReadAll(r.Body)
		if older == nil {
			older = body
		}
		if past.Load() {
			body = older
		}
		setBody(r, body)
		return 0
	})
	for _, table := range adapter.Tables() {
		requireRead(c.t, h, table)
	}
	c.store.PutState(standin.DesiredState(2, coldPerSecond))
	if _, err := h.readChanges(c.t.Context(), adapter.OperatorTable, feedAnswer{}); err != nil {
		c.t.Fatal(err)
	}
	past.Store(true)
	return h
}

// TestStoreOfThePastIsAvailable: a store that answers with older reads after a failed call must count
// as available, though its answers confirm nothing.
func TestStoreOfThePastIsAvailable(t *testing.T) {
	h := newCluster(t, 1, 1).newReaderOfThePast()
	h.storeFailed(adapter.OperatorTable, io.ErrUnexpectedEOF)
	before, _ := h.storeStatus.age(time.Now())
	requireRead(t, h, adapter.OperatorTable)
	if !h.storeStatus.ok() {
		t.Error("a store that answers counts as unavailable")
	}
	if after, ok := h.storeStatus.age(time.Now()); ok && after < before {
		t.Errorf("an older read is an answer of %v ago, the last one that confirmed the state was %v ago", after, before)
	}
}

// TestNotUpToDateByOldAnswers: a host that gets only older reads must not count as up to date for good, neither
// for itself nor for partners that follow it.
func TestNotUpToDateByOldAnswers(t *testing.T) {
	h := newCluster(t, 1, 1).newReaderOfThePast()
	for end := time.Now().Add(maxAnswerAge * changeBound); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		requireRead(t, h, adapter.OperatorTable)
	}
	if status := h.ownStoreStatus(); h.upToDate() || status.Reachable {
		t.Errorf("up to date %t, reads the store %t, by an answer of %v ago", h.upToDate(), status.Reachable, status.Age)
	}
}
