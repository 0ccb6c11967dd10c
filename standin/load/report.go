package load

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"text/tabwriter"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Latencies are recorded in microseconds up to a minute.
const (
	lowestMicros  = 1
	highestMicros = 60_000_000
	latencyDigits = 3
	microsPerMS   = 1000
	p50           = 50
	p99           = 99
)

// Report is the outcome of a run.
type Report struct {
	Clients  []ClientReport `json:"clients"`
	Bookings BookingReport  `json:"bookings"`
	// BrokenInPlannedStop counts connections that broke after a request was sent
	// while the entry VM was in a planned stop, BrokenOtherwise all others.
	BrokenInPlannedStop int `json:"cut_in_planned_stop"`
	BrokenOtherwise     int `json:"cut_other"`
	FailedLocates       int `json:"failed_locates"`
	// Promises are the checks of what the system promises.
	Promises []Promise `json:"promises"`
}

// ClientReport is what one caller got.
type ClientReport struct {
	Name     string `json:"name"`
	Account  string `json:"account"`
	Sent     int    `json:"sent"`
	Answered int    `json:"answered"`
	Rejected int    `json:"refused"`
	// Failed requests got neither an answer nor a rejection.
	Failed  int            `json:"failed"`
	Dropped int            `json:"dropped"`
	Codes   map[string]int `json:"codes"`
	// RejectedBySecond counts rejections by the second of the run.
	RejectedBySecond map[int]int `json:"refused_by_second"`
	// P50MS and P99MS are of answered requests, from the planned begin of the
	// request to the complete answer, with all repeats.
	P50MS float64 `json:"p50_ms"`
	P99MS float64 `json:"p99_ms"`
}

// BookingReport compares what callers know with what backend servers ran.
type BookingReport struct {
	Sent     int `json:"sent"`
	Answered int `json:"answered"`
	Run      int `json:"run"`
	RunTwice int `json:"run_twice"`
	// Unknown bookings had no known outcome when the caller gave up.
	OutcomeUnknown int `json:"unknown"`
	// Repeated bookings were sent more than once.
	Retried int `json:"repeated"`
	// RejectedButRun bookings ran although every rejection said "not run".
	RejectedButRun int `json:"refused_but_run"`
	// AnsweredNotRun bookings were answered although no backend server ran
	// them.
	AnsweredNotRun int `json:"answered_not_run"`
}

// Promise is one check.
type Promise struct {
	Name string `json:"name"`
	Kept bool   `json:"kept"`
	// Seen is the number of violations or the worst value.
	Seen float64 `json:"seen"`
	// Checked is the number of requests, bookings or events looked at.
	Checked int `json:"checked"`
}

// Broken returns the number of broken promises.
func (r Report) BrokenPromises() int {
	n := 0
	for _, p := range r.Promises {
		if !p.Kept {
			n++
		}
	}
	return n
}

func (r *run) report() Report {
	report := Report{Bookings: r.bookings(), FailedLocates: r.locates}
	for i := range r.cfg.Clients {
		report.Clients = append(report.Clients, r.client(i))
	}
	report.BrokenInPlannedStop, report.BrokenOtherwise = r.cuts()
	report.Promises = r.promises(report)
	return report
}

func (r *run) client(i int) ClientReport {
	c := ClientReport{Name: r.cfg.Clients[i].Name, Account: r.cfg.Clients[i].Account,
		Dropped: r.dropped[i], Codes: map[string]int{}, RejectedBySecond: map[int]int{}}
	latencies := hdrhistogram.New(lowestMicros, highestMicros, latencyDigits)
	for _, rec := range r.records {
		if rec.client != i {
			continue
		}
		c.Sent++
		switch rec.last.outcome {
		case answered:
			c.Answered++
			// A value above the highest one is recorded as the highest.
			_ = latencies.RecordValue(min(rec.last.ended.Sub(rec.begun).Microseconds(), highestMicros))
		case refused:
			c.Rejected++
			c.Codes[rec.last.code]++
			c.RejectedBySecond[int(rec.last.ended.Sub(r.start).Seconds())]++
		default:
			c.Failed++
		}
	}
	c.P50MS = float64(latencies.ValueAtPercentile(p50)) / microsPerMS
	c.P99MS = float64(latencies.ValueAtPercentile(p99)) / microsPerMS
	return c
}

const (
	clientHeader  = "client\tsent\tanswered\trefused\tfailed\tp50 ms\tp99 ms\trejection codes"
	clientLine    = "%s\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t%s\n"
	bookingsLine  = "\nbookings: sent %d, answered %d, repeated %d, outcome unknown %d; run %d, run twice %d\n"
	cutsLine      = "requests cut: %d by the planned stop, %d otherwise\n\n"
	promiseHeader = "promise\tseen\tchecked\t"
	promiseLine   = "%s\t%g\t%d\t%s\n"
	codeFormat    = "%s %d  "
	kept          = "kept"
	notKept       = "BROKEN"
	tabPadding    = 2
)

// WriteTable writes the report as a table.
func (r Report) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, tabPadding, ' ', 0)
	fmt.Fprintln(t, clientHeader)
	for _, c := range r.Clients {
		codes := ""
		for _, code := range slices.Sorted(maps.Keys(c.Codes)) {
			codes += fmt.Sprintf(codeFormat, code, c.Codes[code])
		}
		fmt.Fprintf(t, clientLine, c.Name, c.Sent, c.Answered, c.Rejected, c.Failed, c.P50MS, c.P99MS, codes)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	b := r.Bookings
	fmt.Fprintf(w, bookingsLine, b.Sent, b.Answered, b.Retried, b.OutcomeUnknown, b.Run, b.RunTwice)
	fmt.Fprintf(w, cutsLine, r.BrokenInPlannedStop, r.BrokenOtherwise)
	fmt.Fprintln(t, promiseHeader)
	for _, p := range r.Promises {
		word := kept
		if !p.Kept {
			word = notKept
		}
		fmt.Fprintf(t, promiseLine, p.Name, p.Seen, p.Checked, word)
	}
	return t.Flush()
}

const reportMode = 0o644

// Save writes the report as JSON.
func (r Report) Save(file string) error {
	content, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(file, append(content, '\n'), reportMode)
}
