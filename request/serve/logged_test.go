package serve_test

import (
	"bytes"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/rs/zerolog"

	"quetzalknot/platform/adapter"
	"quetzalknot/platform/standin"
	"quetzalknot/process/metrics"
	"quetzalknot/request/serve"
	"quetzalknot/version/routes"
)

// TestRefusalAtStartNamesRequest: the log line of a request that is refused before the host has a
// configuration must have the request's id, so that the cause is found from it.
func TestRefusalAtStartNamesRequest(t *testing.T) {
	for _, deadline := range []string{"3000", "soon"} {
		var lines bytes.Buffer
		handler := serve.New(serve.Options{
			Config: func() *routes.Config { return nil }, Headers: adapter.HeaderCodec{}, Metrics: metrics.NewSet(), Log: zerolog.New(&lines),
		})
		r := httptest.NewRequest("GET", "http://"+standin.HostName+"/search/1", nil)
		for field := range strings.Lines(standin.Fields("r1", deadline)) {
			name, value, _ := strings.Cut(strings.TrimSpace(field), ": ")
			r.Header.Set(name, value)
		}
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, r)
		if w.Code != 503 || !strings.Contains(lines.String(), `"request":"r1"`) {
			t.Errorf("deadline %s: status %d, log %s", deadline, w.Code, lines.String())
		}
	}
}
