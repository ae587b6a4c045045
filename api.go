package quetzalknot

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gorilla/mux"

	"quetzalknot/platform"
	"quetzalknot/version/lookup"
	"quetzalknot/version/state"
	"quetzalknot/version/store"
	"quetzalknot/version/ticket"
)

// apiRouter returns the handler for callers' look-ups, operators and machines.
func (n *Node) apiRouter() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/v1/lookup", n.handleLookup).Methods(http.MethodGet)
	r.HandleFunc("/v1/tickets", n.handleSubmit).Methods(http.MethodPost)
	r.HandleFunc("/v1/tickets", n.handleTickets).Methods(http.MethodGet)
	r.HandleFunc("/v1/tickets/{number}", n.handleTicket).Methods(http.MethodGet)
	r.HandleFunc("/v1/status", n.handleStatus).Methods(http.MethodGet)
	r.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok\n") })
	r.HandleFunc("/readyz", n.handleReady)
	r.HandleFunc("/v1/explain/{request}", n.handleExplain).Methods(http.MethodGet)
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
	evLookup.Log(n.log).Str("service", name).Stringer("client", client).
		Uint64("version", snap.Version).Int("entries", len(entries)).Send()
	writeJSON(w, http.StatusOK, answer)
}

func (n *Node) lookupHosts() []lookup.Host {
	leaving := n.config.Load().LeavingHosts
	var hosts []lookup.Host
	for _, m := range n.members.Live() {
		if !leaving[m.Host] {
			hosts = append(hosts, lookup.Host{Name: m.Host, Addr: m.ForwardAddr, API: m.APIAddr, Region: m.Region, FailureDomain: m.FailureDomain})
		}
	}
	return hosts
}

func (n *Node) handleSubmit(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, ticket.MaxBytes))
	if err != nil {
		writeError(w, http.StatusRequestEntityTooLarge, err)
		return
	}
	format := ticket.FormatTOML
	if strings.HasPrefix(r.Header.Get("Content-Type"), "application/json") {
		format = ticket.FormatJSON
	}
	t, err := ticket.Parse(data, format)
	if err != nil {
		writeError(w, http.StatusBadRequest, err)
		return
	}
	n.submit(r.Context(), w, t)
}

func (n *Node) submit(ctx context.Context, w http.ResponseWriter, t *ticket.Ticket) {
	accepted, err := n.Submit(ctx, t)
	var refused *store.RefusedError
	var check *ticket.CheckError
	switch {
	case errors.As(err, &check):
		writeError(w, http.StatusBadRequest, err)
		return
	case errors.As(err, &refused), errors.Is(err, platform.ErrConflict):
		writeError(w, http.StatusConflict, err)
		return
	case err != nil:
		writeError(w, http.StatusServiceUnavailable, err)
		return
	}
	writeJSON(w, http.StatusOK, accepted)
}

// Submit checks a ticket and accepts it into the platform's table service. It
// returns a ticket.CheckError or a store.RefusedError when the ticket is refused.
func (n *Node) Submit(ctx context.Context, t *ticket.Ticket) (state.Record, error) {
	if err := t.Check(); err != nil {
		return state.Record{}, err
	}
	record, err := t.Record(time.Now().UTC())
	if err != nil {
		return state.Record{}, err
	}
	accepted, err := n.store.Submit(ctx, record)
	if err != nil {
		return state.Record{}, err
	}
	evAccepted.Log(n.log).Uint64("ticket", accepted.Number).Str("operator", accepted.Operator).Send()
	return accepted, nil
}

func (n *Node) handleTickets(w http.ResponseWriter, r *http.Request) {
	records, _, err := n.store.Accepted(r.Context(), 0)
	if err != nil {
		writeError(w, http.StatusServiceUnavailable, err)
		return
	}
	writeJSON(w, http.StatusOK, records)
}

func (n *Node) handleTicket(w http.ResponseWriter, r *http.Request) {
	text := mux.Vars(r)["number"]
	number, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		writeError(w, http.StatusBadRequest, errors.Newf("ticket %q: give a number", text))
		return
	}
	record, err := n.store.Ticket(r.Context(), number)
	switch {
	case errors.Is(err, platform.ErrNotFound):
		writeError(w, http.StatusNotFound, errors.Newf("ticket %d is not accepted", number))
	case err != nil:
		writeError(w, http.StatusServiceUnavailable, err)
	default:
		writeJSON(w, http.StatusOK, record)
	}
}

// Status is the answer of GET /v1/status.
type Status struct {
	Host string `json:"host"`
	// Version is the largest ticket number in force here.
	Version uint64 `json:"version"`
	// Members are the names of the live entry hosts known here.
	Members []string `json:"members"`
}

func (n *Node) handleStatus(w http.ResponseWriter, _ *http.Request) {
	status := Status{Host: n.settings.Host.Name, Version: n.config.Load().Version}
	for _, m := range n.members.Live() {
		status.Members = append(status.Members, m.Host)
	}
	writeJSON(w, http.StatusOK, status)
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

func (n *Node) handleReady(w http.ResponseWriter, _ *http.Request) {
	if !n.ready.Load() {
		writeError(w, http.StatusServiceUnavailable, errors.New("no configuration is loaded yet"))
		return
	}
	_, _ = io.WriteString(w, "ready\n")
}
