package quetzalknot

import (
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gorilla/mux"

	"quetzalknot/version/lookup"
	"quetzalknot/version/ticket"
)

// apiRouter returns the handler for callers' look-ups, operators and machines.
func (n *Node) apiRouter() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/v1/lookup", n.handleLookup).Methods(http.MethodGet)
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

func (n *Node) handleLookup(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	snap := n.config.Load()
	name := query.Get("service")
	if snap.Services[name] == nil {
		writeError(w, http.StatusNotFound, errors.Newf("service = %q: no such service", name))
		return
	}
	client, err := netip.ParseAddr(query.Get("client"))
	if err != nil {
		writeError(w, http.StatusBadRequest, errors.Newf("client = %q: give an IP address", query.Get("client")))
		return
	}
	table := n.lookupTable.Load()
	entries := lookup.Order(n.lookupHosts(), table.Region(client), client)
	answer := lookup.Answer{
		Service: name, Version: snap.Version, TTLMS: lookup.DefaultTTLMS, Entries: entries,
	}
	if len(entries) > 0 {
		answer.KeyPrefix = entries[0].KeyPrefix
	}
	evLookup.Log(n.log).Str("service", name).Stringer("client", client).
		Uint64("version", snap.Version).Int("entries", len(entries)).Send()
	writeJSON(w, http.StatusOK, answer)
}

func (n *Node) lookupHosts() []lookup.Host {
	leaving := n.config.Load().LeavingHosts
	var hosts []lookup.Host
	now := time.Now()
	for _, m := range n.members.Live() {
		if !leaving[m.Host] {
			hosts = append(hosts, lookup.Host{Name: m.Host, KeyPrefix: keyPrefix(m, now), Addr: m.ForwardAddr, API: m.APIAddr, Region: m.Region, FailureDomain: m.FailureDomain})
		}
	}
	return hosts
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
