package serve_test

import (
	"net/http"
	"testing"

	"quetzalknot/platform/standin"
	"quetzalknot/version/routes"
)

// TestRequestNotDeniedByReplacedConfiguration: a configuration that is confirmed only once a newer
// one has come must not deny what the newer one allows.
func TestRequestNotDeniedByReplacedConfiguration(t *testing.T) {
	const raised = 64 // bytes, more than the body has
	for _, tc := range []struct {
		name, text string
		older      func(*routes.Config)
		want       int
	}{
		{"new route", head("GET", "/search/1"), func(c *routes.Config) { c.Routes = nil }, http.StatusOK},
		{"raised limit", head("POST", "/book/1", "Content-Length: 9") + "a booking", func(c *routes.Config) { c.Limits.BodyBytes = 8 }, http.StatusServiceUnavailable},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture(t)
			f.addTarget("i-1", standin.Good, 0)
			f.apply(tc.older)
			f.confirming = func() { f.apply(func(c *routes.Config) { c.Limits.BodyBytes = raised }) }
			if got := f.exchange(tc.text); got.status != tc.want {
				t.Errorf("%+v, want status %d", got, tc.want)
			}
		})
	}
}
