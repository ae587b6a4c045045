package quetzalknot

import (
	"encoding/json"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
	"github.com/gorilla/mux"

	"quetzalknot/version/ticket"
)

// apiRouter returns the handler for callers' look-ups, operators and machines.
func (n *Node) apiRouter() http.Handler {
	r := mux.NewRouter()
	if n.settings.Roles.Lookup {
		n.lookupRoutes(r)
	}
	n.ticketRoutes(r)
	n.statusRoutes(r)
	r.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok\n") })
	r.HandleFunc("/v1/explain/{request}", n.handleExplain).Methods(http.MethodGet)
	r.Handle("/v1/trace", n.exchange.recorder).Methods(http.MethodGet)
	r.Handle("/debug/vars", n.metrics)
	return r
}

// Failure is the JSON form of a refused call.
type Failure struct {
	Error string `json:"error"`
	// Problems lists the faults of a ticket.
	Problems []ticket.Problem `json:"problems,omitempty"`
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // the caller may be gone
}

func writeError(w http.ResponseWriter, status int, err error) {
	failure := Failure{Error: err.Error()}
	var check *ticket.CheckError
	if errors.As(err, &check) {
		failure.Problems = check.Problems
	}
	writeJSON(w, status, failure)
}

func (n *Node) handleExplain(w http.ResponseWriter, r *http.Request) {
	id := mux.Vars(r)["request"]
	lines := n.recent.Lines(id)
	if len(lines) == 0 {
		writeError(w, http.StatusNotFound, errors.Newf("request %q is not known on this host", id))
		return
	}
	story := make([]json.RawMessage, len(lines))
	for i, line := range lines {
		story[i] = line
	}
	writeJSON(w, http.StatusOK, story)
}
