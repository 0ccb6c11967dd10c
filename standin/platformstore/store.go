// Package platformstore stands in for the users' platform's store: tables of
// rows with transactions, reads and feeds, and raw objects, over HTTP, with
// faults that can be switched on.
package platformstore

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cassiawind/cassiawind/platform/memory"
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
	// Now is the store's steady clock in milliseconds.
	ClockMS int64 `json:"now"`
}

// Faults are what goes wrong, by the types of the services in memory.
type Faults = memory.Faults

// pageRows is the largest number of rows in an answer.
const pageRows = 500

// maxRowBytes, maxTransactionRows and maxObjectBytes are the store's limits.
const (
	maxRowBytes        = 64 << 10
	maxTransactionRows = 100
	maxObjectBytes     = 8 << 20
	maxKeyBytes        = 200
)

// Store is safe for concurrent use.
type Store struct {
	mu      sync.Mutex
	started time.Time
	faults  Faults
	version uint64
	// oldest is the version after which the history is kept.
	oldest  uint64
	current map[string]Row
	history []Row
	objects map[string][]byte
	changed chan struct{}
	calls   int
}

// New returns an empty store.
func New() *Store {
	return &Store{
		started: time.Now(), current: make(map[string]Row), objects: make(map[string][]byte), changed: make(chan struct{}),
	}
}

// SetFaults switches faults.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Faults returns the faults in force.
func (s *Store) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
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
	s.version++
	s.write(Row{Table: table, Key: key, Value: raw})
	return nil
}

// Delete removes a row.
func (s *Store) Delete(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.write(Row{Table: table, Key: key, Deleted: true})
}

// Rows returns the rows of a table.
func (s *Store) Rows(table string) []Row {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.list(table, "", "")
}

// write puts a row of the newest transaction in force; the caller holds mu.
func (s *Store) write(r Row) {
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

func (s *Store) list(table, from, before string) []Row {
	var out []Row
	for _, r := range s.current {
		if r.Table == table && r.Key >= from && (before == "" || r.Key < before) {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b Row) int { return strings.Compare(a.Key, b.Key) })
	return out
}

// answer returns an answer about rows; the caller holds mu.
func (s *Store) answer(list []Row) rows {
	return rows{Rows: list, Version: s.version, ClockMS: time.Since(s.started).Milliseconds()}
}

// consume returns the faults of a call. A write uses up one of its losses.
func (s *Store) consume(write bool) Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if write {
		return s.faults.TakeForWrite()
	}
	f := s.faults
	f.LoseAnswers, f.LoseRequests = 0, 0
	return f
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	faults := s.consume(r.Method != http.MethodGet)
	switch {
	case faults.Unresponsive:
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	case faults.Down:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case faults.LoseRequests > 0:
		panic(http.ErrAbortHandler)
	}
	status, body := s.perform(r)
	time.Sleep(time.Duration(faults.DelayMS) * time.Millisecond)
	if faults.LoseAnswers > 0 {
		panic(http.ErrAbortHandler)
	}
	switch body := body.(type) {
	case nil:
		w.WriteHeader(status)
	case []byte:
		// A caller that left does not need the rest.
		_, _ = w.Write(body)
	default:
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(status)
		_ = json.NewEncoder(w).Encode(body)
	}
}

func (s *Store) perform(r *http.Request) (status int, body any) {
	if rest, found := strings.CutPrefix(r.URL.Path, "/v1/blob-"); found {
		verb, name, _ := strings.Cut(rest, "/")
		return s.object(r, verb, name)
	}
	switch r.URL.Path {
	case "/v1/rows-get":
		return s.get(r)
	case "/v1/rows-feed":
		return s.feed(r)
	case "/v1/rows-tx":
		return s.transact(r)
	default:
		return http.StatusNotFound, nil
	}
}
