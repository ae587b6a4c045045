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
	// statusServiceName is the net/rpc service that returns a host's status to other hosts.
	statusServiceName = "Status"
	// maxConcurrentStatusCalls bounds the concurrent calls for the status of all hosts.
	maxConcurrentStatusCalls = 16
	// statusTimeout bounds the call to one host, clusterStatusTimeout the calls to all hosts.
	statusTimeout        = 2 * time.Second
	clusterStatusTimeout = 10 * time.Second
	// maxStatuses bounds the number of hosts in one response.
	maxStatuses = 1000
)

// Status is the response of GET /v1/status.
type Status struct {
	Host          string `json:"host" cbor:"1,keyasint"`
	Region        string `json:"region" cbor:"2,keyasint"`
	FailureDomain string `json:"failure_domain" cbor:"3,keyasint"`
	Incarnation   uint64 `json:"incarnation" cbor:"4,keyasint"`
	// Version is the configuration version in force.
	Version uint64 `json:"version" cbor:"5,keyasint"`
	// InForceSeconds is the time since that version was put into force.
	InForceSeconds float64 `json:"in_force_seconds" cbor:"6,keyasint"`
	// Digest is a hash of the tickets in force. Hosts with equal digests have equal states.
	Digest string `json:"digest" cbor:"7,keyasint"`
	// UpToDate is true while the host's state is up to date with the table service.
	UpToDate bool `json:"fresh" cbor:"8,keyasint"`
	// StateAgeSeconds is the time since the state last matched the table service; negative
	// if it never did.
	StateAgeSeconds float64 `json:"fresh_age_seconds" cbor:"9,keyasint"`
	// Unknown lists facts that the host currently cannot determine.
	Unknown []string `json:"unknown,omitempty" cbor:"10,keyasint,omitempty"`
	// NotInForce lists accepted tickets that this host cannot put into force, with the
	// errors.
	NotInForce []state.Fault `json:"not_in_force,omitempty" cbor:"11,keyasint,omitempty"`
	Ready      bool          `json:"ready" cbor:"12,keyasint"`
	// UnreadyReason is the reason why the host is not ready to serve callers.
	UnreadyReason string `json:"unready,omitempty" cbor:"13,keyasint,omitempty"`
	// LeaseValid is false while no other host confirms that this one is alive.
	LeaseValid bool `json:"lease_valid" cbor:"14,keyasint"`
	// Members lists the hosts that accept new requests, as known to this host.
	Members []string `json:"members" cbor:"-"`
	// Unavailable lists members that are suspected, dead or leaving, as known to this host.
	Unavailable []string `json:"away,omitempty" cbor:"-"`
}

// ClusterStatus is the response of GET /v1/status?all=1.
type ClusterStatus struct {
	// Newest is the largest version in force on any host that responded.
	Newest uint64       `json:"newest"`
	Hosts  []HostStatus `json:"hosts"`
}

// HostStatus is the status of one host, or the reason why it is unknown.
type HostStatus struct {
	Status
	// LagReason is the reason why the newest ticket is not in force on the host.
	LagReason string `json:"behind,omitempty"`
	// Error is the reason why the status of the host is unknown.
	Error string `json:"error,omitempty"`
}

func (r *Replica) statusRoutes(router *mux.Router) {
	router.HandleFunc("/v1/status", r.handleStatus).Methods(http.MethodGet)
	router.HandleFunc("/readyz", r.handleReady).Methods(http.MethodGet)
}

// Status returns the status of this host.
func (r *Replica) Status() Status {
	self := r.members.Self()
	unready := r.unreadyReason()
	s := Status{
		Host: r.settings.Host.Name, Region: self.Region, FailureDomain: self.FailureDomain,
		Incarnation: self.Incarnation, Version: r.Version(), InForceSeconds: r.timeInForce().Seconds(),
		Digest: fmt.Sprintf("%016x", r.merged.Sum()), UpToDate: r.UpToDate(), StateAgeSeconds: -1,
		NotInForce: r.merged.Faults(), Ready: unready == "", UnreadyReason: unready,
		LeaseValid: r.members.Lease().Valid(time.Now()),
	}
	for _, row := range r.tickets.Unreadable() {
		s.NotInForce = append(s.NotInForce, state.Fault{Error: "row " + row + " cannot be decoded"})
	}
	if age, known := r.engine.StateAge(); known {
		s.StateAgeSeconds = age.Seconds()
	}
	if !s.UpToDate {
		s.Unknown = append(s.Unknown, "whether newer tickets are accepted: the table service was not read by any host heard of lately")
	}
	if !s.LeaseValid {
		s.Unknown = append(s.Unknown, "whether other hosts count this one as alive: none confirmed it lately")
	}
	s.Members = membership.HostNames(r.members.Live())
	for _, e := range r.members.All() {
		switch {
		case e.Status != membership.Alive:
			s.Unavailable = append(s.Unavailable, e.Member.Host+": "+e.Status.String())
		case e.Member.Leaving:
			s.Unavailable = append(s.Unavailable, e.Member.Host+": leaving")
		}
	}
	return s
}

func (r *Replica) timeInForce() time.Duration {
	r.applyMu.Lock()
	defer r.applyMu.Unlock()
	if r.appliedAt.IsZero() {
		return 0
	}
	return time.Since(r.appliedAt)
}

func (r *Replica) handleStatus(w http.ResponseWriter, req *http.Request) {
	if req.URL.Query().Get("all") == "" {
		httpapi.WriteJSON(w, http.StatusOK, r.Status())
		return
	}
	ctx, cancel := context.WithTimeout(req.Context(), clusterStatusTimeout)
	defer cancel()
	httpapi.WriteJSON(w, http.StatusOK, r.clusterStatus(ctx))
}

// clusterStatus requests the status of all known hosts, with bounded concurrency.
func (r *Replica) clusterStatus(ctx context.Context) ClusterStatus {
	entries := r.members.All()
	entries = entries[:min(len(entries), maxStatuses)]
	cluster := ClusterStatus{Hosts: make([]HostStatus, len(entries))}
	slots := make(chan struct{}, maxConcurrentStatusCalls)
	var calls sync.WaitGroup
	for i, e := range entries {
		slots <- struct{}{}
		calls.Go(func() {
			defer func() { <-slots }()
			cluster.Hosts[i] = r.statusOf(ctx, e)
		})
	}
	calls.Wait()
	for _, h := range cluster.Hosts {
		cluster.Newest = max(cluster.Newest, h.Version)
	}
	for i := range cluster.Hosts {
		cluster.Hosts[i].LagReason = lagReason(&cluster.Hosts[i], cluster.Newest)
	}
	return cluster
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
	if err := r.peerClients.Call(ctx, m.PeerAddr, statusServiceName+".Get", &StatusArgs{}, &reply); err != nil {
		known.Error = "no answer: " + err.Error()
		return known
	}
	return HostStatus{Status: reply}
}

// lagReason returns why a host does not have the newest version in force, or "".
func lagReason(h *HostStatus, newest uint64) string {
	switch {
	case h.Error != "":
		return "not known: " + h.Error
	case len(h.NotInForce) > 0:
		return "cannot be put into force: " + h.NotInForce[0].Error
	case h.Version >= newest:
		return ""
	case !h.UpToDate:
		return fmt.Sprintf("ticket %d has not arrived, and the host knows that it is not fresh", newest)
	default:
		return fmt.Sprintf("ticket %d has not arrived yet", newest)
	}
}

// StatusArgs holds the arguments of a status call, of which there are none.
type StatusArgs struct{}

// statusServer serves this host's status to other hosts.
type statusServer struct{ replica *Replica }

// Get returns the status without the lists of members.
func (p *statusServer) Get(_ *StatusArgs, reply *Status) error {
	*reply = p.replica.Status()
	return nil
}

func (r *Replica) handleReady(w http.ResponseWriter, _ *http.Request) {
	if reason := r.unreadyReason(); reason != "" {
		httpapi.WriteError(w, http.StatusServiceUnavailable, errors.New(reason))
		return
	}
	_, _ = io.WriteString(w, "ready\n")
}
