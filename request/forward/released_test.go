package forward

import (
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"
	"time"
	"weak"

	"quetzalknot/request"
)

// upload is the body of a request.
type upload struct{ io.Reader }

func (*upload) Close() error { return nil }

// TestServedRequestsAreReleased: what waits for the end of a planned stop must not keep the body of each request that was
// served until then.
func TestServedRequestsAreReleased(t *testing.T) {
	f := newFixture(t, func(_ http.ResponseWriter, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) })
	served := func() weak.Pointer[upload] {
		body := &upload{strings.NewReader("text")}
		r := httptest.NewRequest(http.MethodPost, "/roster", body)
		r.ContentLength = int64(len("text"))
		r.Header.Set(request.HeaderService, f.svc.Name)
		f.ServeHTTP(httptest.NewRecorder(), r)
		return weak.Make(body)
	}()
	for end := time.Now().Add(10 * time.Second); served.Value() != nil; runtime.GC() {
		if time.Now().After(end) {
			t.Fatal("the body of a request that was served is still held")
		}
	}
	runtime.KeepAlive(f)
}
