// Package platformstore is a stand-in for the store of the users' platform. It
// serves tables of rows with reads, transactions and change feeds, and objects of
// bytes, over HTTP from memory, and can inject faults.
package platformstore

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cassiawind/cassiawind/platform/memory"
)

// Row is a row in the store's wire format.
type Row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

// rowPage is the body of responses that contain rows.
type rowPage struct {
	Rows    []Row  `json:"rows"`
	More    bool   `json:"has_more"`
	Version uint64 `json:"ver"`
	// ClockMS is the store's monotonic clock in milliseconds.
	ClockMS int64 `json:"now"`
	// era is that of the rows.
	era uint64
}

// Faults are the faults that a Store injects, the same as those of the in-memory
// services.
type Faults = memory.Faults

// maxRowsPerPage bounds the rows in a response to a read.
const maxRowsPerPage = 500

// Limits of the store for values, transactions, objects and keys.
const (
	maxRowBytes        = 64 << 10
	maxTransactionRows = 100
	maxObjectBytes     = 8 << 20
	maxKeyBytes        = 200
)

// Store is an in-memory store and its HTTP handler. It is safe for concurrent use.
type Store struct {
	mu      sync.Mutex
	started time.Time
	faults  Faults
	version uint64
	// era is the number of restorations.
	era uint64
	// historyStart is the version after which all changes are in history.
	historyStart uint64
	// current holds the rows by "<table>/<key>".
	current map[string]Row
	// external holds the last state of each row written by Put and Delete.
	external map[string]Row
	history  []Row
	objects  map[string][]byte
	// changed is closed and replaced at each change of a row.
	changed chan struct{}
	calls   int
}

// New returns an empty store.
func New() *Store {
	return &Store{
		started: time.Now(), current: make(map[string]Row), external: make(map[string]Row), objects: make(map[string][]byte), changed: make(chan struct{}),
	}
}

// SetFaults replaces the faults.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Faults returns the faults in effect.
func (s *Store) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// DropHistory drops the history of changes, as the platform may do at any time.
func (s *Store) DropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.historyStart = nil, s.version
}

// Calls returns the number of requests so far.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Put writes a row as the operator or a backend server does, regardless of the
// faults.
func (s *Store) Put(table, key string, value any) error {
	content, err := json.Marshal(value)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writeExternal(Row{Table: table, Key: key, Value: content})
	return nil
}

// Delete deletes a row, regardless of the faults.
func (s *Store) Delete(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writeExternal(Row{Table: table, Key: key, Deleted: true})
}

// writeExternal writes a row of the operator or of a backend server. The caller
// holds mu.
func (s *Store) writeExternal(r Row) {
	s.external[r.Table+"/"+r.Key] = r
	s.version++
	s.write(r)
}

// Rows returns the rows of a table, ordered by key.
func (s *Store) Rows(table string) []Row {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.scan(table, "", "")
}

// write applies one row of the transaction with the current version. The caller
// holds mu.
func (s *Store) write(r Row) {
	r.Version = s.version
	id := r.Table + "/" + r.Key
	if r.Deleted {
		delete(s.current, id)
	} else {
		s.current[id] = r
	}
	s.history = append(s.history, r)
	s.notify()
}

// notify ends the waits for changes. The caller holds mu.
func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// scan returns the rows of a table with keys in [from, before), ordered by key; an
// empty before sets no end. The caller holds mu.
func (s *Store) scan(table, from, before string) []Row {
	var matches []Row
	for _, r := range s.current {
		if r.Table == table && r.Key >= from && (before == "" || r.Key < before) {
			matches = append(matches, r)
		}
	}
	slices.SortFunc(matches, func(a, b Row) int { return strings.Compare(a.Key, b.Key) })
	return matches
}

// newPage returns a response with rows. The caller holds mu.
func (s *Store) newPage(list []Row) rowPage {
	return rowPage{Rows: list, Version: s.version, ClockMS: time.Since(s.started).Milliseconds(), era: s.era}
}

// nextFaults returns the faults that apply to the next call. A write consumes one
// of the lost requests or responses; reads are never lost.
func (s *Store) nextFaults(write bool) Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if write {
		return s.faults.TakeForWrite()
	}
	f := s.faults
	f.LoseResponses, f.LoseRequests = 0, 0
	return f
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	// The response has the era in which the call was performed, also if it is
	// delivered after a restoration.
	setEra(w, s.Era())
	faults := s.nextFaults(r.Method != http.MethodGet)
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
	status, body := s.handle(r)
	if page, ok := body.(rowPage); ok {
		setEra(w, page.era)
	}
	time.Sleep(time.Duration(faults.DelayMS) * time.Millisecond)
	if faults.LoseResponses > 0 {
		panic(http.ErrAbortHandler)
	}
	switch body := body.(type) {
	case nil:
		w.WriteHeader(status)
	case []byte:
		// The write fails only if the client has closed the connection.
		_, _ = w.Write(body)
	default:
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(status)
		_ = json.NewEncoder(w).Encode(body)
	}
}

func setEra(w http.ResponseWriter, era uint64) {
	w.Header().Set(headerEra, strconv.FormatUint(era, 10))
}

// handle performs a request and returns the status and body of the response.
func (s *Store) handle(r *http.Request) (status int, body any) {
	if operation, found := strings.CutPrefix(r.URL.Path, "/v1/blob-"); found {
		verb, name, _ := strings.Cut(operation, "/")
		return s.handleObject(r, verb, name)
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
