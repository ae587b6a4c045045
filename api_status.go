package quetzalknot

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

func (n *Node) statusRoutes(r *mux.Router) {
	r.HandleFunc("/v1/status", n.handleStatus).Methods(http.MethodGet)
	r.HandleFunc("/readyz", n.handleReady).Methods(http.MethodGet)
}

// Status returns what this host knows of itself.
func (n *Node) Status() Status {
	self := n.members.Self()
	unready := n.unready()
	s := Status{
		Host: n.settings.Host.Name, Region: self.Region, FailureDomain: self.FailureDomain,
		Incarnation: self.Incarnation, Version: n.Version(), InForceSeconds: n.inForceFor().Seconds(),
		Digest: fmt.Sprintf("%016x", n.merged.Sum()), Fresh: n.Fresh(), FreshAgeSeconds: -1,
		NotInForce: n.merged.Faults(), Ready: unready == "", Unready: unready,
		LeaseValid: n.members.Lease().Valid(time.Now()),
	}
	for _, row := range n.tickets.Unreadable() {
		s.NotInForce = append(s.NotInForce, state.Fault{Error: "row " + row + " cannot be decoded"})
	}
	if age, known := n.engine.FreshAge(); known {
		s.FreshAgeSeconds = age.Seconds()
	}
	if !s.Fresh {
		s.Unknown = append(s.Unknown, "whether newer tickets are accepted: the table service was not read by any host heard of lately")
	}
	if !s.LeaseValid {
		s.Unknown = append(s.Unknown, "whether other hosts count this one as alive: none confirmed it lately")
	}
	s.Members = membership.Hosts(n.members.Live())
	for _, e := range n.members.All() {
		switch {
		case e.Status != membership.Alive:
			s.Away = append(s.Away, e.Member.Host+": "+e.Status.String())
		case e.Member.Leaving:
			s.Away = append(s.Away, e.Member.Host+": leaving")
		}
	}
	return s
}

func (n *Node) inForceFor() time.Duration {
	n.entering.Lock()
	defer n.entering.Unlock()
	if n.inForceAt.IsZero() {
		return 0
	}
	return time.Since(n.inForceAt)
}

func (n *Node) handleStatus(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Get("all") == "" {
		writeJSON(w, http.StatusOK, n.Status())
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), statusTotal)
	defer cancel()
	writeJSON(w, http.StatusOK, n.fleetStatus(ctx))
}

// fleetStatus asks every known host, a few at once.
func (n *Node) fleetStatus(ctx context.Context) FleetStatus {
	entries := n.members.All()
	entries = entries[:min(len(entries), maxStatuses)]
	fleet := FleetStatus{Hosts: make([]HostStatus, len(entries))}
	slots := make(chan struct{}, statusAtOnce)
	var asking sync.WaitGroup
	for i, e := range entries {
		slots <- struct{}{}
		asking.Go(func() {
			defer func() { <-slots }()
			fleet.Hosts[i] = n.statusOf(ctx, e)
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

func (n *Node) statusOf(ctx context.Context, e membership.Entry) HostStatus {
	m := e.Member
	if m.Host == n.settings.Host.Name {
		return HostStatus{Status: n.Status()}
	}
	known := HostStatus{Status: Status{Host: m.Host, Region: m.Region, FailureDomain: m.FailureDomain, Incarnation: m.Incarnation}}
	if e.Status == membership.Dead {
		known.Error = "the host counts as dead"
		return known
	}
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	var reply Status
	if err := n.clients.Call(ctx, m.PeerAddr, statusService+".Get", &StatusArgs{}, &reply); err != nil {
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
type peerStatus struct{ node *Node }

// Get returns the status without the lists of members.
func (p *peerStatus) Get(_ *StatusArgs, reply *Status) error {
	*reply = p.node.Status()
	return nil
}

func (n *Node) handleReady(w http.ResponseWriter, _ *http.Request) {
	if why := n.unready(); why != "" {
		writeError(w, http.StatusServiceUnavailable, errors.New(why))
		return
	}
	_, _ = io.WriteString(w, "ready\n")
}
