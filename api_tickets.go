package quetzalknot

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gorilla/mux"

	"quetzalknot/platform"
	"quetzalknot/process/settings"
	"quetzalknot/version/spread"
	"quetzalknot/version/state"
	"quetzalknot/version/store"
	"quetzalknot/version/ticket"
)

const (
	// defaultListed and maxListed bound the tickets of one answer.
	defaultListed = 50
	maxListed     = 200
)

func (n *Node) ticketRoutes(r *mux.Router) {
	r.HandleFunc("/v1/tickets", n.handleSubmit).Methods(http.MethodPost)
	r.HandleFunc("/v1/tickets", n.handleTickets).Methods(http.MethodGet)
	r.HandleFunc("/v1/tickets/{number}", n.handleTicket).Methods(http.MethodGet)
	r.HandleFunc("/v1/tickets/{number}/diff", n.handleDiff).Methods(http.MethodGet)
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
	accepted, err := n.Submit(r.Context(), t)
	if err != nil {
		writeError(w, submitStatus(err), err)
		return
	}
	writeJSON(w, http.StatusOK, accepted)
}

func submitStatus(err error) int {
	var refused *store.RefusedError
	var check *ticket.CheckError
	switch {
	case errors.As(err, &check):
		return http.StatusBadRequest
	case errors.As(err, &refused), errors.Is(err, platform.ErrConflict):
		return http.StatusConflict
	default:
		return http.StatusServiceUnavailable
	}
}

// Submit checks a ticket, accepts it into the platform's table service, and puts
// it into force here and at the other hosts. It returns a ticket.CheckError or a
// store.RefusedError when the ticket is refused, and an error that is
// platform.ErrUnknownOutcome when it may have been accepted: submit it again.
func (n *Node) Submit(ctx context.Context, t *ticket.Ticket) (state.Record, error) {
	if err := n.check(ctx, t); err != nil {
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
	if delta := n.tickets.Add(accepted); delta != nil {
		n.engine.Publish(spread.TicketsTopic, delta)
	}
	return accepted, nil
}

// check checks a ticket. Before a reference is refused, the tickets that have not
// arrived here yet are read, since the object may have just been accepted.
func (n *Node) check(ctx context.Context, t *ticket.Ticket) error {
	err := t.CheckAgainst(n.surroundings())
	if err == nil || t.CheckAgainst(Surroundings(n.settings.Topology)) != nil {
		return err
	}
	page, readErr := n.store.Page(ctx, n.engine.Revision(), maxListed)
	if readErr != nil {
		return err
	}
	if delta := n.tickets.Add(page.Records...); delta != nil {
		n.engine.Publish(spread.TicketsTopic, delta)
	}
	return t.CheckAgainst(n.surroundings())
}

// surroundings are what references of a ticket are checked against: the topology,
// and the state in force while this host knows that it is fresh.
func (n *Node) surroundings() ticket.Surroundings {
	around := Surroundings(n.settings.Topology)
	if n.Fresh() {
		around.InForce = n.config.Load()
	}
	return around
}

// Surroundings returns the regions and failure domains of a topology, for the check of tickets.
func Surroundings(topology settings.Topology) ticket.Surroundings {
	var around ticket.Surroundings
	for _, r := range topology.Regions {
		around.Regions = append(around.Regions, ticket.Region{Name: r.Name, FailureDomains: r.FailureDomains})
	}
	return around
}

// TicketList is the answer of GET /v1/tickets.
type TicketList struct {
	Tickets []TicketSummary `json:"tickets"`
	// Next continues the list as the query parameter after.
	Next int64 `json:"next"`
	More bool  `json:"more"`
}

// TicketSummary is one accepted ticket without the states of its objects.
type TicketSummary struct {
	Number     uint64    `json:"number"`
	Operator   string    `json:"operator"`
	Note       string    `json:"note,omitempty"`
	AcceptedAt time.Time `json:"accepted_at"`
	Objects    []string  `json:"objects"`
}

func (n *Node) handleTickets(w http.ResponseWriter, r *http.Request) {
	after, err := queryNumber(r, "after", 0)
	if err != nil {
		writeError(w, http.StatusBadRequest, err)
		return
	}
	limit, err := queryNumber(r, "limit", defaultListed)
	if err != nil {
		writeError(w, http.StatusBadRequest, err)
		return
	}
	page, err := n.store.Page(r.Context(), after, int(min(max(limit, 1), maxListed)))
	if err != nil {
		writeError(w, http.StatusServiceUnavailable, err)
		return
	}
	list := TicketList{Tickets: []TicketSummary{}, Next: page.Next, More: page.More}
	for _, record := range page.Records {
		list.Tickets = append(list.Tickets, summary(record))
	}
	writeJSON(w, http.StatusOK, list)
}

func queryNumber(r *http.Request, name string, otherwise int64) (int64, error) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return otherwise, nil
	}
	v, err := strconv.ParseInt(text, 10, 64)
	if err != nil || v < 0 {
		return 0, errors.Newf("%s = %q: give a number, 0 or more", name, text)
	}
	return v, nil
}

func summary(r state.Record) TicketSummary {
	s := TicketSummary{Number: r.Number, Operator: r.Operator, Note: r.Note, AcceptedAt: r.AcceptedAt}
	for _, o := range r.Objects {
		s.Objects = append(s.Objects, o.String())
	}
	return s
}

func (n *Node) handleTicket(w http.ResponseWriter, r *http.Request) {
	n.answerTicket(w, r, func(number uint64) (any, error) { return n.store.Ticket(r.Context(), number) })
}

func (n *Node) handleDiff(w http.ResponseWriter, r *http.Request) {
	n.answerTicket(w, r, func(number uint64) (any, error) { return n.store.Diff(r.Context(), number) })
}

// answerTicket answers with what is read of the ticket that the path names.
func (n *Node) answerTicket(w http.ResponseWriter, r *http.Request, read func(number uint64) (any, error)) {
	text := mux.Vars(r)["number"]
	number, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		writeError(w, http.StatusBadRequest, errors.Newf("ticket %q: give a number", text))
		return
	}
	answer, err := read(number)
	switch {
	case errors.Is(err, platform.ErrNotFound):
		writeError(w, http.StatusNotFound, errors.Newf("ticket %d is not accepted", number))
	case err != nil:
		writeError(w, http.StatusServiceUnavailable, err)
	default:
		writeJSON(w, http.StatusOK, answer)
	}
}
