package watch

import (
	"testing"

	"quetzalknot/httpwire/wiretest"
	"quetzalknot/process/sitereport"
)

// TestBrokenResponsesAreNoLoad: a target whose responses to the checks of its site are broken is down, whatever load they
// report.
func TestBrokenResponsesAreNoLoad(t *testing.T) {
	const valid = "HTTP/1.1 200 OK\r\nContent-Length: 15\r\n\r\n{\"in_flight\":1}"
	responses := wiretest.Broken(valid)
	responses["valid"] = valid
	for name, response := range responses {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			target := sitereport.Target{Addr: wiretest.Serve(t, wiretest.Always(response)), HealthPath: "/health", LoadPath: "/load", Slots: 4}
			got := sitereport.Probe(t.Context(), newTransport(nil), []sitereport.Target{target})
			if (got.Up == 1) != (name == "valid") {
				t.Errorf("%+v", got)
			}
		})
	}
}
