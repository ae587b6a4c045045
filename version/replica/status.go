package replica

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gorilla/mux"

	"quetzalknot/process/membership"
	"quetzalknot/version/httpapi"
	"quetzalknot/version/state"
)

const (
	// statusService is the net/rpc service that tells a host's status to others.
	statusService = "Status"
	// statusAtOnce bounds the hosts that are asked at once for a status of all.
	statusAtOnce = 16
	// statusTimeout bounds the question to one host, statusTotal that to all.
	statusTimeout = 2 * time.Second
	statusTotal   = 10 * time.Second
	// maxStatuses bounds the hosts of one answer.
	maxStatuses = 1000
)

// Status is the answer of GET /v1/status.
type Status struct {
	Host          string `json:"host" cbor:"1,keyasint"`
	Region        string `json:"region" cbor:"2,keyasint"`
	FailureDomain string `json:"failure_domain" cbor:"3,keyasint"`
	Incarnation   uint64 `json:"incarnation" cbor:"4,keyasint"`
	// Version is the largest ticket number in force here.
	Version uint64 `json:"version" cbor:"5,keyasint"`
	// InForceSeconds is for how long that has been so.
	InForceSeconds float64 `json:"in_force_seconds" cbor:"6,keyasint"`
	// Digest is a hash of the tickets in force; hosts with the same digest have the same state.
	Digest string `json:"digest" cbor:"7,keyasint"`
	// Fresh is true while the host can know that no newer ticket is accepted.
	Fresh bool `json:"fresh" cbor:"8,keyasint"`
	// FreshAgeSeconds is how old the knowledge of the table service is; negative when there is none.
	FreshAgeSeconds float64 `json:"fresh_age_seconds" cbor:"9,keyasint"`
	// Unknown says what the host cannot know now.
	Unknown []string `json:"unknown,omitempty" cbor:"10,keyasint,omitempty"`
	// NotInForce lists accepted tickets that this host cannot put into force, and why.
	NotInForce []state.Fault `json:"not_in_force,omitempty" cbor:"11,keyasint,omitempty"`
	Ready      bool          `json:"ready" cbor:"12,keyasint"`
	// Unready says why the host is not fit to serve.
	Unready string `json:"unready,omitempty" cbor:"13,keyasint,omitempty"`
	// LeaseValid is false while no other host confirms that this one is alive.
	LeaseValid bool `json:"lease_valid" cbor:"14,keyasint"`
	// Members are the names of the hosts that take new work, as known here.
	Members []string `json:"members" cbor:"-"`
	// Away lists members that are suspected, dead or leaving, as known here.
	Away []string `json:"away,omitempty" cbor:"-"`
}

// FleetStatus is the answer of GET /v1/status?all=1.
type FleetStatus struct {
	// Newest is the largest version in force at any host that answered.
	Newest uint64       `json:"newest"`
	Hosts  []HostStatus `json:"hosts"`
}

// HostStatus is the status of one host, or why it is not known.
type HostStatus struct {
	Status
	// Behind says why the newest ticket is not in force there.
	Behind string `json:"behind,omitempty"`
	// Error says why the host did not tell its status.
	Error string `json:"error,omitempty"`
}

func (r *Replica) statusRoutes(router *mux.Router) {
	router.HandleFunc("/v1/status", r.handleStatus).Methods(http.MethodGet)
	router.HandleFunc("/readyz", r.handleReady).Methods(http.MethodGet)
}

// Status returns what this host knows of itself.
func (r *Replica) Status() Status {
	self := r.members.Self()
	unready := r.unready()
	s := Status{
		Host: r.settings.Host.Name, Region: self.Region, FailureDomain: self.FailureDomain,
		Incarnation: self.Incarnation, Version: r.Version(), InForceSeconds: r.inForceFor().Seconds(),
		Digest: fmt.Sprintf("%016x", r.merged.Sum()), Fresh: r.Fresh(), FreshAgeSeconds: -1,
		NotInForce: r.merged.Faults(), Ready: unready == "", Unready: unready,
		LeaseValid: r.members.Lease().Valid(time.Now()),
	}
	for _, row := range r.tickets.Unreadable() {
		s.NotInForce = append(s.NotInForce, state.Fault{Error: "row " + row + " cannot be decoded"})
	}
	if age, known := r.engine.FreshAge(); known {
		s.FreshAgeSeconds = age.Seconds()
	}
	if !s.Fresh {
		s.Unknown = append(s.Unknown, "whether newer tickets are accepted: the table service was not read by any host heard of lately")
	}
	if !s.LeaseValid {
		s.Unknown = append(s.Unknown, "whether other hosts count this one as alive: none confirmed it lately")
	}
	s.Members = membership.Hosts(r.members.Live())
	for _, e := range r.members.All() {
		switch {
		case e.Status != membership.Alive:
			s.Away = append(s.Away, e.Member.Host+": "+e.Status.String())
		case e.Member.Leaving:
			s.Away = append(s.Away, e.Member.Host+": leaving")
		}
	}
	return s
}

func (r *Replica) inForceFor() time.Duration {
	r.entering.Lock()
	defer r.entering.Unlock()
	if r.inForceAt.IsZero() {
		return 0
	}
	return time.Since(r.inForceAt)
}

func (r *Replica) handleStatus(w http.ResponseWriter, req *http.Request) {
	if req.URL.Query().Get("all") == "" {
		httpapi.Write(w, http.StatusOK, r.Status())
		return
	}
	ctx, cancel := context.WithTimeout(req.Context(), statusTotal)
	defer cancel()
	httpapi.Write(w, http.StatusOK, r.fleetStatus(ctx))
}

// fleetStatus asks every known host, a few at once.
func (r *Replica) fleetStatus(ctx context.Context) FleetStatus {
	entries := r.members.All()
	entries = entries[:min(len(entries), maxStatuses)]
	fleet := FleetStatus{Hosts: make([]HostStatus, len(entries))}
	slots := make(chan struct{}, statusAtOnce)
	var asking sync.WaitGroup
	for i, e := range entries {
		slots <- struct{}{}
		asking.Go(func() {
			defer func() { <-slots }()
			fleet.Hosts[i] = r.statusOf(ctx, e)
		})
	}
	asking.Wait()
	for _, h := range fleet.Hosts {
		fleet.Newest = max(fleet.Newest, h.Version)
	}
	for i := range fleet.Hosts {
		fleet.Hosts[i].Behind = behind(&fleet.Hosts[i], fleet.Newest)
	}
	return fleet
}

func (r *Replica) statusOf(ctx context.Context, e membership.Entry) HostStatus {
	m := e.Member
	if m.Host == r.settings.Host.Name {
		return HostStatus{Status: r.Status()}
	}
	known := HostStatus{Status: Status{Host: m.Host, Region: m.Region, FailureDomain: m.FailureDomain, Incarnation: m.Incarnation}}
	if e.Status == membership.Dead {
		known.Error = "the host counts as dead"
		return known
	}
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	var reply Status
	if err := r.clients.Call(ctx, m.PeerAddr, statusService+".Get", &StatusArgs{}, &reply); err != nil {
		known.Error = "no answer: " + err.Error()
		return known
	}
	return HostStatus{Status: reply}
}

// behind says why a host does not have the newest version in force.
func behind(h *HostStatus, newest uint64) string {
	switch {
	case h.Error != "":
		return "not known: " + h.Error
	case len(h.NotInForce) > 0:
		return "cannot be put into force: " + h.NotInForce[0].Error
	case h.Version >= newest:
		return ""
	case !h.Fresh:
		return fmt.Sprintf("ticket %d has not arrived, and the host knows that it is not fresh", newest)
	default:
		return fmt.Sprintf("ticket %d has not arrived yet", newest)
	}
}

// StatusArgs ask a host for its status.
type StatusArgs struct{}

// peerStatus answers other hosts' questions for the status.
type peerStatus struct{ replica *Replica }

// Get returns the status without the lists of members.
func (p *peerStatus) Get(_ *StatusArgs, reply *Status) error {
	*reply = p.replica.Status()
	return nil
}

func (r *Replica) handleReady(w http.ResponseWriter, _ *http.Request) {
	if why := r.unready(); why != "" {
		httpapi.WriteError(w, http.StatusServiceUnavailable, errors.New(why))
		return
	}
	_, _ = io.WriteString(w, "ready\n")
}
