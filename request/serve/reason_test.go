package serve_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"quetzalknot/platform/standin"
)

// TestRefusalsAreCountedByReason refuses requests for different reasons. Each must be counted
// once and under its own reason.
func TestRefusalsAreCountedByReason(t *testing.T) {
	for _, tc := range []struct {
		reason string
		status int
		change func(r *http.Request)
	}{
		{"body_too_large", http.StatusRequestEntityTooLarge, func(r *http.Request) { r.Body, r.ContentLength = unreadBody{t}, 1<<40 }},
		{"malformed", http.StatusBadRequest, func(r *http.Request) { r.Header.Set("Deadline-Milliseconds", "soon") }},
		{"no_route", http.StatusNotFound, func(r *http.Request) { r.Host = "nowhere" }},
		{"no_target", http.StatusServiceUnavailable, func(*http.Request) {}},
	} {
		handler := newHandler(t, 0, nil)
		r := httptest.NewRequest(http.MethodPost, "http://"+standin.HostName+"/book/1", http.NoBody)
		tc.change(r)
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, r)
		if w.Code != tc.status {
			t.Errorf("%s: status %d, want %d", tc.reason, w.Code, tc.status)
		}
		for _, counted := range []string{"body_too_large", "malformed", "no_route", "no_target"} {
			want := int64(0)
			if counted == tc.reason {
				want = 1
			}
			if n := handler.Metrics.Counter("serve.refused." + counted).Value(); n != want {
				t.Errorf("%s: counted %d times as %s, want %d", tc.reason, n, counted, want)
			}
		}
	}
}

// unreadBody fails the test when it is read.
type unreadBody struct{ t *testing.T }

func (b unreadBody) Read([]byte) (int, error) {
	b.t.Error("the body of a refused request is read")
	return 0, http.ErrBodyReadAfterClose
}

func (unreadBody) Close() error { return nil }
