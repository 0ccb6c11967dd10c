package backend

import (
	"slices"
	"sync"
)

// maxBookings bounds the number of recorded bookings. Runs of further bookings are
// only counted, in RunReport.Unrecorded.
const maxBookings = 1 << 20

// BookingLog counts the runs of each booking over all servers of a process. A
// booking is named "<client account>/<id>".
type BookingLog struct {
	mu         sync.Mutex
	counts     map[string]int
	unrecorded int
}

// RunReport is the content of a BookingLog.
type RunReport struct {
	// Run is the number of recorded runs, Bookings the number of different
	// bookings.
	Run      int `json:"run"`
	Bookings int `json:"bookings"`
	// Twice lists the bookings that ran more than once.
	Twice []string `json:"twice"`
	// Unrecorded is the number of runs that were not recorded, because the log was
	// full.
	Unrecorded int `json:"unrecorded"`
	// Counts is the number of runs of each booking.
	Counts map[string]int `json:"counts"`
}

// NewBookingLog returns an empty log.
func NewBookingLog() *BookingLog { return &BookingLog{counts: make(map[string]int)} }

func (l *BookingLog) add(booking string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.counts[booking]; !ok && len(l.counts) >= maxBookings {
		l.unrecorded++
		return
	}
	l.counts[booking]++
}

// Report returns a copy of the content.
func (l *BookingLog) Report() RunReport {
	l.mu.Lock()
	defer l.mu.Unlock()
	report := RunReport{Bookings: len(l.counts), Unrecorded: l.unrecorded,
		Twice: []string{}, Counts: make(map[string]int, len(l.counts))}
	for booking, n := range l.counts {
		report.Counts[booking] = n
		report.Run += n
		if n > 1 {
			report.Twice = append(report.Twice, booking)
		}
	}
	slices.Sort(report.Twice)
	return report
}
