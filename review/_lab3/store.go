package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// row is a row of the store, spelled as PROTOCOL.md does.
type row struct {
	Table      string `json:"table"`
	Part       string `json:"part"`
	Key        string `json:"key"`
	Value      []byte `json:"value,omitempty"`
	RowVersion uint64 `json:"rowVersion"`
	Deleted    bool   `json:"deleted,omitempty"`
}

type rowKey struct{ table, part, key string }

// store is a stand-in for the platform's store. It answers linearizably and loses nothing.
type store struct {
	mu      sync.Mutex
	version uint64
	rows    map[rowKey]row
	history []row
	changed chan struct{}
	started time.Time
	// down makes the store leave all calls unanswered that arrive or wait meanwhile.
	down     bool
	listener net.Listener
}

func newStore(addr string) (*store, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	s := &store{rows: make(map[rowKey]row), changed: make(chan struct{}), started: time.Now(), listener: l}
	go func() { _ = http.Serve(l, s) }()
	return s, nil
}

func (s *store) addr() string { return s.listener.Addr().String() }

func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

func (s *store) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down
}

// put writes a row with an empty part and returns its version.
func (s *store) put(table, key, value string) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.write(row{Table: table, Key: key, Value: []byte(value)})
	s.wake()
	return s.version
}

func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.rows[rowKey{table, "", key}]; !ok {
		return
	}
	s.version++
	s.write(row{Table: table, Key: key, Deleted: true})
	s.wake()
}

func (s *store) write(r row) {
	r.RowVersion = s.version
	k := rowKey{r.Table, r.Part, r.Key}
	if r.Deleted {
		r.Value = nil
		delete(s.rows, k)
	} else {
		s.rows[k] = r
	}
	s.history = append(s.history, r)
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

type rowsAnswer struct {
	Rows       []row  `json:"rows"`
	HasMore    bool   `json:"hasMore"`
	RowVersion uint64 `json:"rowVersion"`
	Now        string `json:"now"`
}

func (s *store) answer(w http.ResponseWriter, status int, a rowsAnswer) {
	a.Now = fmt.Sprintf("%dms", time.Since(s.started).Milliseconds())
	if a.Rows == nil {
		a.Rows = []row{}
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(a)
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.isDown() {
		s.silence(r)
	}
	time.Sleep(4 * time.Millisecond)
	switch r.URL.Path {
	case "/-/rows-get":
		s.get(w, r)
	case "/-/rows-feed":
		s.feed(w, r)
	case "/-/rows-tx":
		s.transact(w, r)
	default:
		http.NotFound(w, r)
	}
}

// silence leaves a call unanswered until its caller gives up.
func (s *store) silence(r *http.Request) {
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, _ := strconv.Atoi(q.Get("limit"))
	if limit <= 0 || limit > 500 {
		limit = 500
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var rows []row
	for k, v := range s.rows {
		if k.table == q.Get("table") && k.part == q.Get("part") && k.key >= q.Get("from") && (q.Get("target") == "" || k.key < q.Get("target")) {
			rows = append(rows, v)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	more := len(rows) > limit
	s.answer(w, http.StatusOK, rowsAnswer{Rows: rows[:min(limit, len(rows))], HasMore: more, RowVersion: s.version})
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, waitErr := strconv.Atoi(q.Get("waitMs"))
	if err != nil || waitErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timeout := time.After(time.Duration(min(wait, 30_000)) * time.Millisecond)
	for {
		s.mu.Lock()
		if s.down {
			s.mu.Unlock()
			s.silence(r)
		}
		var rows []row
		for _, h := range s.history {
			if h.Table == q.Get("table") && h.RowVersion > after {
				rows = append(rows, h)
			}
		}
		version, changed := s.version, s.changed
		s.mu.Unlock()
		if len(rows) > 0 {
			s.answer(w, http.StatusOK, rowsAnswer{Rows: rows, RowVersion: version})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			if s.isDown() {
				s.silence(r)
			}
			s.answer(w, http.StatusOK, rowsAnswer{RowVersion: version})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var t struct{ Expect, Upserts, Remove []row }
	if json.NewDecoder(r.Body).Decode(&t) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, u := range append(append([]row{}, t.Upserts...), t.Remove...) {
		if u.Table == "op" || u.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	var current []row
	ok := true
	for _, e := range t.Expect {
		have := s.rows[rowKey{e.Table, e.Part, e.Key}]
		if have.RowVersion != e.RowVersion {
			ok = false
		}
		if have.RowVersion != 0 {
			current = append(current, have)
		}
	}
	if !ok {
		s.answer(w, http.StatusPreconditionFailed, rowsAnswer{Rows: current, RowVersion: s.version})
		return
	}
	s.version++
	for _, u := range t.Upserts {
		s.write(u)
	}
	for _, d := range t.Remove {
		d.Deleted = true
		s.write(d)
	}
	s.wake()
	s.answer(w, http.StatusOK, rowsAnswer{RowVersion: s.version})
}
