package platformstore

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

type transaction struct {
	Precondition []Row `json:"precondition"`
	Put          []Row `json:"put"`
	Delete       []Row `json:"delete"`
}

func (s *Store) get(r *http.Request) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	q := r.URL.Query()
	answer := s.answer(s.list(q.Get("table"), q.Get("from"), q.Get("target")))
	if len(answer.Rows) > pageRows {
		answer.Rows, answer.More = answer.Rows[:pageRows], true
	}
	return http.StatusOK, answer
}

func (s *Store) feed(r *http.Request) (int, any) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	wait, errWait := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	if err != nil || errWait != nil {
		return http.StatusBadRequest, nil
	}
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	table := r.URL.Query().Get("table")
	for {
		s.mu.Lock()
		gone, answer, changed := after < s.oldest, s.answer(s.since(table, after)), s.changed
		s.mu.Unlock()
		if gone {
			return http.StatusGone, nil
		}
		if len(answer.Rows) > 0 {
			return http.StatusOK, answer
		}
		select {
		case <-changed:
		case <-timer.C:
			return http.StatusOK, answer
		case <-r.Context().Done():
			return http.StatusOK, answer
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

func (s *Store) transact(r *http.Request) (int, any) {
	var tx transaction
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil || !tx.valid() {
		return http.StatusBadRequest, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var current []Row
	holds := true
	for _, c := range tx.Precondition {
		row, exists := s.current[c.Table+"/"+c.Key]
		holds = holds && row.Version == c.Version
		if exists {
			current = append(current, row)
		}
	}
	if !holds {
		return http.StatusPreconditionFailed, s.answer(current)
	}
	s.version++
	for _, row := range tx.Put {
		s.write(row)
	}
	for _, row := range tx.Delete {
		row.Deleted = true
		s.write(row)
	}
	return http.StatusOK, s.answer(nil)
}

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
