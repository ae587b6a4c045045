package replica

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gorilla/mux"

	"quetzalknot/platform"
	"quetzalknot/version/httpapi"
	"quetzalknot/version/state"
	"quetzalknot/version/store"
	"quetzalknot/version/ticket"
)

const (
	// defaultListed and maxListed bound the tickets of one answer.
	defaultListed = 50
	maxListed     = 200
)

// Routes adds the routes of operators.
func (r *Replica) Routes(router *mux.Router) {
	r.ticketRoutes(router)
	r.statusRoutes(router)
}

func (r *Replica) ticketRoutes(router *mux.Router) {
	router.HandleFunc("/v1/tickets", r.handleSubmit).Methods(http.MethodPost)
	router.HandleFunc("/v1/tickets", r.handleTickets).Methods(http.MethodGet)
	router.HandleFunc("/v1/tickets/{number}", r.handleTicket).Methods(http.MethodGet)
	router.HandleFunc("/v1/tickets/{number}/diff", r.handleDiff).Methods(http.MethodGet)
}

func (r *Replica) handleSubmit(w http.ResponseWriter, req *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, req.Body, ticket.MaxBytes))
	if err != nil {
		httpapi.WriteError(w, http.StatusRequestEntityTooLarge, err)
		return
	}
	format := ticket.FormatTOML
	if strings.HasPrefix(req.Header.Get("Content-Type"), "application/json") {
		format = ticket.FormatJSON
	}
	t, err := ticket.Parse(data, format)
	if err != nil {
		httpapi.WriteError(w, http.StatusBadRequest, err)
		return
	}
	accepted, err := r.Submit(req.Context(), t)
	if err != nil {
		httpapi.WriteError(w, submitStatus(err), err)
		return
	}
	httpapi.Write(w, http.StatusOK, accepted)
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

func (r *Replica) handleTickets(w http.ResponseWriter, req *http.Request) {
	after, err := queryNumber(req, "after", 0)
	if err != nil {
		httpapi.WriteError(w, http.StatusBadRequest, err)
		return
	}
	limit, err := queryNumber(req, "limit", defaultListed)
	if err != nil {
		httpapi.WriteError(w, http.StatusBadRequest, err)
		return
	}
	page, err := r.store.Page(req.Context(), after, int(min(max(limit, 1), maxListed)))
	if err != nil {
		httpapi.WriteError(w, http.StatusServiceUnavailable, err)
		return
	}
	list := TicketList{Tickets: []TicketSummary{}, Next: page.Next, More: page.More}
	for _, record := range page.Records {
		list.Tickets = append(list.Tickets, summary(record))
	}
	httpapi.Write(w, http.StatusOK, list)
}

func queryNumber(req *http.Request, name string, otherwise int64) (int64, error) {
	text := req.URL.Query().Get(name)
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

func (r *Replica) handleTicket(w http.ResponseWriter, req *http.Request) {
	r.answerTicket(w, req, func(number uint64) (any, error) { return r.store.Ticket(req.Context(), number) })
}

func (r *Replica) handleDiff(w http.ResponseWriter, req *http.Request) {
	r.answerTicket(w, req, func(number uint64) (any, error) { return r.store.Diff(req.Context(), number) })
}

// answerTicket answers with what is read of the ticket that the path names.
func (r *Replica) answerTicket(w http.ResponseWriter, req *http.Request, read func(number uint64) (any, error)) {
	text := mux.Vars(req)["number"]
	number, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		httpapi.WriteError(w, http.StatusBadRequest, errors.Newf("ticket %q: give a number", text))
		return
	}
	answer, err := read(number)
	switch {
	case errors.Is(err, platform.ErrNotFound):
		httpapi.WriteError(w, http.StatusNotFound, errors.Newf("ticket %d is not accepted", number))
	case err != nil:
		httpapi.WriteError(w, http.StatusServiceUnavailable, err)
	default:
		httpapi.Write(w, http.StatusOK, answer)
	}
}
