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
	// defaultPageSize and maxPageSize bound the number of tickets in one response.
	defaultPageSize = 50
	maxPageSize     = 200
)

// AddRoutes registers the routes of the operator API.
func (r *Replica) AddRoutes(router *mux.Router) {
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
	httpapi.WriteJSON(w, http.StatusOK, accepted)
}

func submitStatus(err error) int {
	var conflict *store.ConflictError
	var check *ticket.CheckError
	switch {
	case errors.As(err, &check):
		return http.StatusBadRequest
	case errors.As(err, &conflict), errors.Is(err, platform.ErrConflict):
		return http.StatusConflict
	default:
		return http.StatusServiceUnavailable
	}
}

// TicketList is the response of GET /v1/tickets.
type TicketList struct {
	Tickets []TicketSummary `json:"tickets"`
	// Next is the value of the query parameter "after" that requests the next page.
	Next int64 `json:"next"`
	More bool  `json:"more"`
}

// TicketSummary is an accepted ticket with the keys of its objects, without their states.
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
	limit, err := queryNumber(req, "limit", defaultPageSize)
	if err != nil {
		httpapi.WriteError(w, http.StatusBadRequest, err)
		return
	}
	page, err := r.store.Page(req.Context(), after, int(min(max(limit, 1), maxPageSize)))
	if err != nil {
		httpapi.WriteError(w, http.StatusServiceUnavailable, err)
		return
	}
	list := TicketList{Tickets: []TicketSummary{}, Next: page.Next, More: page.More}
	for _, record := range page.Records {
		list.Tickets = append(list.Tickets, summarize(record))
	}
	httpapi.WriteJSON(w, http.StatusOK, list)
}

func queryNumber(req *http.Request, name string, defaultValue int64) (int64, error) {
	text := req.URL.Query().Get(name)
	if text == "" {
		return defaultValue, nil
	}
	v, err := strconv.ParseInt(text, 10, 64)
	if err != nil || v < 0 {
		return 0, errors.Newf("%s = %q: give a number, 0 or more", name, text)
	}
	return v, nil
}

func summarize(r state.Record) TicketSummary {
	s := TicketSummary{Number: r.Number, Operator: r.Operator, Note: r.Note, AcceptedAt: r.AcceptedAt}
	for _, o := range r.Objects {
		s.Objects = append(s.Objects, o.String())
	}
	return s
}

func (r *Replica) handleTicket(w http.ResponseWriter, req *http.Request) {
	r.respondTicket(w, req, func(number uint64) (any, error) { return r.store.Ticket(req.Context(), number) })
}

func (r *Replica) handleDiff(w http.ResponseWriter, req *http.Request) {
	r.respondTicket(w, req, func(number uint64) (any, error) { return r.store.Diff(req.Context(), number) })
}

// respondTicket writes the result of read for the ticket number in the path.
func (r *Replica) respondTicket(w http.ResponseWriter, req *http.Request, read func(number uint64) (any, error)) {
	text := mux.Vars(req)["number"]
	number, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		httpapi.WriteError(w, http.StatusBadRequest, errors.Newf("ticket %q: give a number", text))
		return
	}
	result, err := read(number)
	switch {
	case errors.Is(err, platform.ErrNotFound):
		httpapi.WriteError(w, http.StatusNotFound, errors.Newf("ticket %d is not accepted", number))
	case err != nil:
		httpapi.WriteError(w, http.StatusServiceUnavailable, err)
	default:
		httpapi.WriteJSON(w, http.StatusOK, result)
	}
}
