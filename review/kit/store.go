package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// maxPageRows is the largest number of rows in one answer (PROTOCOL, "The platform's
// metadata store": "at most 500 rows or 1 MB").
const maxPageRows = 500

type row struct {
	Table   string  `json:"table"`
	Part    string  `json:"part"`
	Key     string  `json:"key"`
	Value   []byte  `json:"value,omitempty"`
	Version uint64  `json:"ver"`
	Deleted bool    `json:"deleted,omitempty"`
	Want    *uint64 `json:"-"`
}

// store is a stand-in of the platform's metadata store: tables of rows with one counter,
// transactions, reads in pages and feeds. It loses nothing and is linearizable.
type store struct {
	start time.Time
	// delay is the time of an answer in addition to that of this machine.
	delay time.Duration
	// onTx and onPage are called after a transaction was applied and after a page was read
	// that is not the last one of its range. They may be nil.
	onTx   func(rows []row, deleted bool)
	onPage func(table, from string)

	mu      sync.Mutex
	version uint64
	rows    map[string]map[string]row
	changed chan struct{}
}

func newStore() *store {
	return &store{start: time.Now(), rows: make(map[string]map[string]row), changed: make(chan struct{})}
}

// put writes a row and returns its version.
func (s *store) put(table, key string, value any) uint64 {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.set(row{Table: table, Key: key, Value: raw, Version: s.version})
	return s.version
}

func (s *store) set(r row) {
	if s.rows[r.Table] == nil {
		s.rows[r.Table] = make(map[string]row)
	}
	s.rows[r.Table][r.Key] = r
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) answer(w http.ResponseWriter, status int, body map[string]any) {
	s.mu.Lock()
	if body["ver"] == nil {
		body["ver"] = s.version
	}
	s.mu.Unlock()
	body["now"] = strconv.FormatInt(time.Since(s.start).Milliseconds(), 10) + "ms"
	time.Sleep(s.delay)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/v1/rows-get":
		s.serveGet(w, r)
	case "/v1/rows-feed":
		s.serveFeed(w, r)
	case "/v1/rows-tx":
		s.serveTx(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) serveGet(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, _ := strconv.Atoi(q.Get("limit"))
	if limit <= 0 || limit > maxPageRows {
		limit = maxPageRows
	}
	s.mu.Lock()
	var keys []string
	for key, v := range s.rows[q.Get("table")] {
		if !v.Deleted && v.Part == q.Get("part") && key >= q.Get("from") && (q.Get("target") == "" || key < q.Get("target")) {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	more := len(keys) > limit
	if more {
		keys = keys[:limit]
	}
	page := make([]row, 0, len(keys))
	for _, key := range keys {
		page = append(page, s.rows[q.Get("table")][key])
	}
	version := s.version
	s.mu.Unlock()
	s.answer(w, http.StatusOK, map[string]any{"rows": page, "has_more": more, "ver": version})
	if more && s.onPage != nil {
		s.onPage(q.Get("table"), q.Get("from"))
	}
}

func (s *store) serveFeed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	timeout := time.After(time.Duration(min(wait, 30000)) * time.Millisecond)
	for {
		s.mu.Lock()
		changes := make([]row, 0)
		for _, v := range s.rows[q.Get("table")] {
			if v.Version > after {
				changes = append(changes, v)
			}
		}
		version, changed := s.version, s.changed
		s.mu.Unlock()
		if len(changes) > 0 {
			sort.Slice(changes, func(i, j int) bool { return changes[i].Version < changes[j].Version })
			s.answer(w, http.StatusOK, map[string]any{"rows": changes, "has_more": false, "ver": version})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			s.answer(w, http.StatusOK, map[string]any{"rows": changes, "has_more": false, "ver": version})
			return
		case <-r.Context().Done():
			return
		}
	}
}

type txRow struct {
	Table   string  `json:"table"`
	Part    string  `json:"part"`
	Key     string  `json:"key"`
	Value   []byte  `json:"value"`
	Version *uint64 `json:"ver"`
}

func (s *store) serveTx(w http.ResponseWriter, r *http.Request) {
	var tx struct {
		Precondition, Put, Delete []txRow
	}
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, t := range append(append([]txRow{}, tx.Put...), tx.Delete...) {
		if t.Table == "op" || t.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	s.mu.Lock()
	current := make([]row, 0)
	holds := true
	for _, t := range tx.Precondition {
		v, ok := s.rows[t.Table][t.Key]
		if ok && !v.Deleted {
			current = append(current, v)
		}
		have := uint64(0)
		if ok && !v.Deleted {
			have = v.Version
		}
		holds = holds && t.Version != nil && *t.Version == have
	}
	if !holds {
		version := s.version
		s.mu.Unlock()
		s.answer(w, http.StatusPreconditionFailed, map[string]any{"rows": current, "ver": version})
		return
	}
	s.version++
	version := s.version
	var put, deleted []row
	for _, t := range tx.Put {
		v := row{Table: t.Table, Part: t.Part, Key: t.Key, Value: t.Value, Version: version}
		s.set(v)
		put = append(put, v)
	}
	for _, t := range tx.Delete {
		v := row{Table: t.Table, Part: t.Part, Key: t.Key, Version: version, Deleted: true}
		s.set(v)
		deleted = append(deleted, v)
	}
	s.mu.Unlock()
	if s.onTx != nil {
		s.onTx(put, false)
		s.onTx(deleted, true)
	}
	s.answer(w, http.StatusOK, map[string]any{"ver": version})
}
