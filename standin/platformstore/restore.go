package platformstore

import (
	"bytes"
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

// headerEra holds the number of restorations in all responses.
const headerEra = "Store-Era"

// Copy is the content of a store at one moment.
type Copy struct {
	version, historyStart uint64
	rows                  map[string]Row
	history               []Row
	objects               map[string][]byte
}

// Copy returns the content of the store.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Copy{
		version: s.version, historyStart: s.historyStart, rows: maps.Clone(s.current),
		history: slices.Clone(s.history), objects: maps.Clone(s.objects),
	}
}

// Era returns the number of restorations.
func (s *Store) Era() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// Restore replaces the content of the store with a copy. What was written since is
// gone, and the versions are given out again.
func (s *Store) Restore(from Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.version, s.historyStart = from.version, from.historyStart
	s.current, s.history, s.objects = maps.Clone(from.rows), slices.Clone(from.history), maps.Clone(from.objects)
	s.notify()
}

// WriteAgain repeats the lost writes of the operator and of the backend servers,
// those made by Put and Delete, in a random order and spread over a duration.
func (s *Store) WriteAgain(rng *rand.Rand, duration time.Duration) {
	lost := s.lostRows()
	rng.Shuffle(len(lost), func(i, j int) { lost[i], lost[j] = lost[j], lost[i] })
	for _, id := range lost {
		time.Sleep(duration / time.Duration(len(lost)))
		s.mu.Lock()
		// The row may have been written since, or lost once more.
		if row := s.external[id]; s.isLost(id, row) {
			s.version++
			s.write(row)
		}
		s.mu.Unlock()
	}
}

// lostRows returns the rows whose last write by Put or Delete is not in the store.
func (s *Store) lostRows() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var lost []string
	for id, row := range s.external {
		if s.isLost(id, row) {
			lost = append(lost, id)
		}
	}
	slices.Sort(lost)
	return lost
}

// isLost reports whether the store does not have the state of a row. The caller
// holds mu.
func (s *Store) isLost(id string, row Row) bool {
	current, exists := s.current[id]
	return exists == row.Deleted || exists && !bytes.Equal(current.Value, row.Value)
}
