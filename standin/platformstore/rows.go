package platformstore

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// transaction is the body of a request to write and delete rows. It applies only if
// each row of the precondition has the given version; version 0 means that there is
// no such row.
type transaction struct {
	Precondition []Row `json:"precondition"`
	Put          []Row `json:"put"`
	Delete       []Row `json:"delete"`
}

// get returns the first page of a table's rows with keys from "from" up to, but not
// including, "target".
func (s *Store) get(r *http.Request) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	query := r.URL.Query()
	page := s.newPage(s.scan(query.Get("table"), query.Get("from"), query.Get("target")))
	if len(page.Rows) > maxRowsPerPage {
		page.Rows, page.More = page.Rows[:maxRowsPerPage], true
	}
	return http.StatusOK, page
}

// feed returns the changes of a table after a version. It waits up to wait_ms until
// there are any, and fails with 410 if the history does not reach back that far or
// if the store does not have the version.
func (s *Store) feed(r *http.Request) (int, any) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	waitMS, errWait := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	if err != nil || errWait != nil {
		return http.StatusBadRequest, nil
	}
	timer := time.NewTimer(time.Duration(waitMS) * time.Millisecond)
	defer timer.Stop()
	table := r.URL.Query().Get("table")
	for {
		s.mu.Lock()
		unknown, page, changed := after < s.historyStart || after > s.version, s.newPage(s.since(table, after)), s.changed
		s.mu.Unlock()
		if unknown {
			return http.StatusGone, nil
		}
		if len(page.Rows) > 0 {
			return http.StatusOK, page
		}
		select {
		case <-changed:
		case <-timer.C:
			return http.StatusOK, page
		case <-r.Context().Done():
			return http.StatusOK, page
		}
	}
}

// since returns the changes of a table after a version. The caller holds mu.
func (s *Store) since(table string, after uint64) []Row {
	var changes []Row
	for _, r := range s.history {
		if r.Table == table && r.Version > after {
			changes = append(changes, r)
		}
	}
	return changes
}

// transact applies a transaction. If its precondition does not hold, it fails with
// 412 and returns the current rows of the precondition.
func (s *Store) transact(r *http.Request) (int, any) {
	var tx transaction
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil || !tx.valid() {
		return http.StatusBadRequest, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var current []Row
	satisfied := true
	for _, condition := range tx.Precondition {
		row, exists := s.current[condition.Table+"/"+condition.Key]
		satisfied = satisfied && row.Version == condition.Version
		if exists {
			current = append(current, row)
		}
	}
	if !satisfied {
		return http.StatusPreconditionFailed, s.newPage(current)
	}
	s.version++
	for _, row := range tx.Put {
		s.write(row)
	}
	for _, row := range tx.Delete {
		row.Deleted = true
		s.write(row)
	}
	return http.StatusOK, s.newPage(nil)
}

// valid reports whether the transaction is within the limits of the store and
// writes each row at most once.
func (t *transaction) valid() bool {
	if len(t.Precondition)+len(t.Put)+len(t.Delete) > maxTransactionRows {
		return false
	}
	written := make(map[string]bool)
	for _, list := range [][]Row{t.Put, t.Delete} {
		for _, row := range list {
			id := row.Table + "/" + row.Key
			if written[id] || len(row.Key) > maxKeyBytes || len(row.Value) > maxRowBytes {
				return false
			}
			written[id] = true
		}
	}
	return true
}
