// Package platformstore stands in for the users' platform's store: tables of
// rows with transactions, reads and feeds over HTTP, with faults that can be
// switched on.
package platformstore

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Row is a row as the store writes it.
type Row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

type rows struct {
	Rows    []Row  `json:"rows"`
	More    bool   `json:"has_more"`
	Version uint64 `json:"ver"`
}

type transaction struct {
	Precondition []struct {
		Table   string `json:"table"`
		Key     string `json:"key"`
		Version uint64 `json:"ver"`
	} `json:"precondition"`
	Put    []Row `json:"put"`
	Delete []Row `json:"delete"`
}

// Faults are what goes wrong.
type Faults struct {
	// Busy answers 503 to every call.
	Busy bool
	// Delay is added to every call.
	Delay time.Duration
	// LoseAnswers does writes and closes their connection without an answer.
	LoseAnswers bool
}

// pageRows is the largest number of rows in an answer.
const pageRows = 500

// Store is safe for concurrent use.
type Store struct {
	mu      sync.Mutex
	faults  Faults
	version uint64
	// oldest is the version after which the history is kept.
	oldest  uint64
	current map[string]Row
	history []Row
	changed chan struct{}
	calls   int
}

// New returns an empty store.
func New() *Store { return &Store{current: make(map[string]Row), changed: make(chan struct{})} }

// SetFaults switches faults.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// DropHistory forgets the history, as the platform may at any time.
func (s *Store) DropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.oldest = nil, s.version
}

// Calls returns the number of calls so far.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Put writes a row as the operator or a backend server does, faults or not.
func (s *Store) Put(table, key string, value any) error {
	raw, err := json.Marshal(value)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(Row{Table: table, Key: key, Value: raw})
	return nil
}

// Delete removes a row.
func (s *Store) Delete(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(Row{Table: table, Key: key, Deleted: true})
}

// Rows returns the rows of a table.
func (s *Store) Rows(table string) []Row {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.list(table, "")
}

func (s *Store) write(r Row) {
	s.version++
	r.Version = s.version
	id := r.Table + "/" + r.Key
	if r.Deleted {
		delete(s.current, id)
	} else {
		s.current[id] = r
	}
	s.history = append(s.history, r)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) list(table, from string) []Row {
	var out []Row
	for _, r := range s.current {
		if r.Table == table && r.Key >= from {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b Row) int { return strings.Compare(a.Key, b.Key) })
	return out
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.calls++
	faults := s.faults
	s.mu.Unlock()
	time.Sleep(faults.Delay)
	if faults.Busy {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	switch r.URL.Path {
	case "/v1/rows-get":
		s.get(w, r)
	case "/v1/rows-feed":
		s.feed(w, r)
	case "/v1/rows-tx":
		s.transact(w, r, faults.LoseAnswers)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	list := s.list(r.URL.Query().Get("table"), r.URL.Query().Get("from"))
	answer := rows{Rows: list, Version: s.version}
	s.mu.Unlock()
	if len(list) > pageRows {
		answer.Rows, answer.More = list[:pageRows], true
	}
	reply(w, http.StatusOK, answer)
}

func (s *Store) feed(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	wait, errWait := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	if err != nil || errWait != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	table := r.URL.Query().Get("table")
	for {
		s.mu.Lock()
		gone, list, version, changed := after < s.oldest, s.since(table, after), s.version, s.changed
		s.mu.Unlock()
		if gone {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(list) > 0 {
			reply(w, http.StatusOK, rows{Rows: list, Version: version})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			reply(w, http.StatusOK, rows{Version: version})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) since(table string, after uint64) []Row {
	var out []Row
	for _, r := range s.history {
		if r.Table == table && r.Version > after {
			out = append(out, r)
		}
	}
	return out
}

func (s *Store) transact(w http.ResponseWriter, r *http.Request, loseAnswer bool) {
	var tx transaction
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	status := http.StatusOK
	for _, c := range tx.Precondition {
		if s.current[c.Table+"/"+c.Key].Version != c.Version {
			status = http.StatusPreconditionFailed
		}
	}
	if status == http.StatusOK {
		for _, row := range tx.Put {
			s.write(row)
		}
		for _, row := range tx.Delete {
			row.Deleted = true
			s.write(row)
		}
	}
	answer := rows{Version: s.version}
	s.mu.Unlock()
	if loseAnswer {
		panic(http.ErrAbortHandler)
	}
	reply(w, status, answer)
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A caller that left does not need the rest.
	_ = json.NewEncoder(w).Encode(v)
}
