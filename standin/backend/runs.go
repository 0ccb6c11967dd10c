package backend

import (
	"slices"
	"sync"
)

// maxRuns bounds the number of recorded bookings; further ones are counted as
// Unrecorded.
const maxRuns = 1 << 20

// Runs records the bookings that all servers of a process ran. A booking is
// named "<client account>/<id>".
type BookingLog struct {
	mu         sync.Mutex
	counts     map[string]int
	unrecorded int
}

// RunReport is the record of all bookings.
type RunReport struct {
	// Run is the number of runs, Bookings the number of different bookings.
	Run      int `json:"run"`
	Bookings int `json:"bookings"`
	// Twice names the bookings that ran more than once.
	Twice      []string       `json:"twice"`
	Unrecorded int            `json:"unrecorded"`
	Counts     map[string]int `json:"counts"`
}

// NewBookingLog returns an empty record.
func NewBookingLog() *BookingLog { return &BookingLog{counts: make(map[string]int)} }

func (r *BookingLog) add(booking string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.counts[booking]; !ok && len(r.counts) >= maxRuns {
		r.unrecorded++
		return
	}
	r.counts[booking]++
}

// Report returns the record.
func (r *BookingLog) Report() RunReport {
	r.mu.Lock()
	defer r.mu.Unlock()
	report := RunReport{Bookings: len(r.counts), Unrecorded: r.unrecorded,
		Twice: []string{}, Counts: make(map[string]int, len(r.counts))}
	for booking, n := range r.counts {
		report.Counts[booking] = n
		report.Run += n
		if n > 1 {
			report.Twice = append(report.Twice, booking)
		}
	}
	slices.Sort(report.Twice)
	return report
}
