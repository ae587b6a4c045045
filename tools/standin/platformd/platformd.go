// Package platformd is an in-memory stand-in for the operators' platform. It serves
// the table service, the object store and the host list over the platform's HTTP
// protocol.
package platformd

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"
	"github.com/gorilla/mux"

	"quetzalknot/platform"
	"quetzalknot/platform/httpclient"
	"quetzalknot/platform/memory"
)

// Server serves the HTTP API of one platform.
type Server struct {
	// Platform holds the data; tests may read it directly.
	Platform platform.Platform
	// Hosts is the list that the host-list service returns.
	Hosts *memory.Hosts
	// Faults holds the faults that are injected into calls.
	Faults Faults
}

// New returns a server whose table, object store and host list are empty.
func New() *Server {
	hosts := &memory.Hosts{}
	return &Server{
		Platform: platform.Platform{Table: &memory.Table{}, Objects: &memory.Objects{}, Hosts: hosts},
		Hosts:    hosts,
	}
}

// Handler returns the HTTP handler of the platform, with POST /faults to set the faults.
func (s *Server) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/faults", s.setFaults).Methods(http.MethodPost)
	services := r.NewRoute().Subrouter()
	services.Use(s.Faults.middleware)
	services.HandleFunc(httpclient.PathRow, s.row).Methods(http.MethodGet)
	services.HandleFunc(httpclient.PathChanges, s.changes).Methods(http.MethodGet)
	services.HandleFunc(httpclient.PathCommit, s.commit).Methods(http.MethodPost)
	services.HandleFunc(httpclient.PathObject, s.getObject).Methods(http.MethodGet)
	services.HandleFunc(httpclient.PathObject, s.putObject).Methods(http.MethodPut)
	services.HandleFunc(httpclient.PathObject, s.deleteObject).Methods(http.MethodDelete)
	services.HandleFunc(httpclient.PathObjects, s.listObjects).Methods(http.MethodGet)
	services.HandleFunc(httpclient.PathHosts, s.hosts).Methods(http.MethodGet)
	return r
}

func writeResponse(w http.ResponseWriter, v any, err error) {
	if err != nil {
		http.Error(w, err.Error(), statusOf(err))
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // the client may have disconnected
}

func statusOf(err error) int {
	switch {
	case errors.Is(err, platform.ErrNotFound):
		return http.StatusNotFound
	case errors.Is(err, platform.ErrConflict):
		return http.StatusConflict
	default:
		return http.StatusBadRequest
	}
}

func (s *Server) row(w http.ResponseWriter, r *http.Request) {
	row, err := s.Platform.Table.Get(r.Context(), r.FormValue("key"))
	writeResponse(w, row, err)
}

func (s *Server) changes(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseInt(r.FormValue("after"), 10, 64)
	if err != nil {
		writeResponse(w, nil, err)
		return
	}
	limit, err := strconv.Atoi(r.FormValue("limit"))
	if err != nil {
		writeResponse(w, nil, err)
		return
	}
	changes, err := s.Platform.Table.Changes(r.Context(), r.FormValue("prefix"), after, limit)
	writeResponse(w, changes, err)
}

func (s *Server) commit(w http.ResponseWriter, r *http.Request) {
	var req httpclient.CommitRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		writeResponse(w, nil, err)
		return
	}
	revision, err := s.Platform.Table.Commit(r.Context(), req.Conditions, req.Writes)
	writeResponse(w, httpclient.CommitReply{Revision: revision}, err)
}

func (s *Server) getObject(w http.ResponseWriter, r *http.Request) {
	objects := s.Platform.Objects
	var data []byte
	var err error
	var from, to int64
	if n, _ := fmt.Sscanf(r.Header.Get("Range"), "bytes=%d-%d", &from, &to); n == 2 {
		data, err = objects.GetRange(r.Context(), r.FormValue("key"), from, to-from+1)
	} else {
		data, err = objects.Get(r.Context(), r.FormValue("key"))
	}
	if err != nil {
		writeResponse(w, nil, err)
		return
	}
	_, _ = w.Write(data) // the client may have disconnected
}

func (s *Server) putObject(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(r.Body)
	if err == nil {
		err = s.Platform.Objects.Put(r.Context(), r.FormValue("key"), data)
	}
	writeResponse(w, struct{}{}, err)
}

func (s *Server) deleteObject(w http.ResponseWriter, r *http.Request) {
	writeResponse(w, struct{}{}, s.Platform.Objects.Delete(r.Context(), r.FormValue("key")))
}

func (s *Server) listObjects(w http.ResponseWriter, r *http.Request) {
	keys, err := s.Platform.Objects.List(r.Context(), r.FormValue("prefix"))
	writeResponse(w, keys, err)
}

func (s *Server) hosts(w http.ResponseWriter, r *http.Request) {
	list, err := s.Platform.Hosts.Hosts(r.Context())
	writeResponse(w, list, err)
}
