package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// row is a row of a table of the platform's store.
type row struct {
	Table      string `json:"table"`
	Part       string `json:"part"`
	Key        string `json:"key"`
	Value      []byte `json:"value,omitempty"`
	RowVersion uint64 `json:"rowVersion"`
	Deleted    bool   `json:"deleted,omitempty"`
}

type rowKey struct{ table, part, key string }

// store is a stand-in of the platform's store: rows-get, rows-feed and rows-tx as PROTOCOL.md says.
type store struct {
	started time.Time

	mu sync.Mutex
	// away makes the store answer every call with 503.
	away    bool
	version uint64
	rows    map[rowKey]row
	history []row
	changed chan struct{}
}

func newStore(addr string) (*store, error) {
	s := &store{started: time.Now(), rows: make(map[rowKey]row), changed: make(chan struct{})}
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/rows-get", s.get)
	mux.HandleFunc("GET /-/rows-feed", s.feed)
	mux.HandleFunc("POST /-/rows-tx", s.transact)
	go func() { _ = http.Serve(l, s.unlessAway(mux)) }()
	return s, nil
}

// unlessAway answers with 503 while the store is away.
func (s *store) unlessAway(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		away := s.away
		s.mu.Unlock()
		if away {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		h.ServeHTTP(w, r)
	})
}

// setAway begins or ends an outage. Calls that wait for changes get 503 too.
func (s *store) setAway(away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = away
	s.wake()
}

// put writes a row with an empty part, or removes it if value is nil, as operators and upstreams do.
func (s *store) put(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.write(row{Table: table, Key: key, Value: value, Deleted: value == nil})
	s.wake()
}

// write stores or removes a row at the current version. mu must be held.
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

// answer writes a response with what all of them have. mu must be held.
func (s *store) answer(w http.ResponseWriter, status int, body map[string]any) {
	body["rowVersion"] = s.version
	body["now"] = strconv.FormatInt(time.Since(s.started).Milliseconds(), 10) + "ms"
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	time.Sleep(4 * time.Millisecond)
	q := r.URL.Query()
	limit, _ := strconv.Atoi(q.Get("limit"))
	if limit <= 0 || limit > 500 {
		limit = 500
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := []row{}
	for k, v := range s.rows {
		if k.table == q.Get("table") && k.part == q.Get("part") && k.key >= q.Get("from") && (q.Get("target") == "" || k.key < q.Get("target")) {
			rows = append(rows, v)
		}
	}
	sort.Slice(rows, func(a, b int) bool { return rows[a].Key < rows[b].Key })
	more := len(rows) > limit
	s.answer(w, http.StatusOK, map[string]any{"rows": rows[:min(limit, len(rows))], "hasMore": more})
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	end := time.After(time.Duration(min(wait, 30000)) * time.Millisecond)
	for {
		s.mu.Lock()
		if s.away {
			s.mu.Unlock()
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		rows := []row{}
		for _, h := range s.history {
			if h.Table == q.Get("table") && h.RowVersion > after {
				rows = append(rows, h)
			}
		}
		if len(rows) > 0 {
			s.answer(w, http.StatusOK, map[string]any{"rows": rows})
			s.mu.Unlock()
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-end:
			s.mu.Lock()
			s.answer(w, http.StatusOK, map[string]any{"rows": rows})
			s.mu.Unlock()
			return
		}
	}
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	time.Sleep(4 * time.Millisecond)
	var t struct{ Expect, Upserts, Remove []row }
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range t.Expect {
		if s.rows[rowKey{e.Table, e.Part, e.Key}].RowVersion != e.RowVersion {
			s.answer(w, http.StatusPreconditionFailed, map[string]any{"rows": []row{}})
			return
		}
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
	s.answer(w, http.StatusOK, map[string]any{})
}
