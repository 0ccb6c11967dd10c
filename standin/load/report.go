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

// Latencies are recorded in microseconds, up to one minute.
const (
	minLatencyMicros         = 1
	maxLatencyMicros         = 60_000_000
	latencySignificantDigits = 3
	microsPerMS              = 1000
	p50                      = 50
	p99                      = 99
)

// Report is the result of a run.
type Report struct {
	Clients  []ClientReport `json:"clients"`
	Bookings BookingReport  `json:"bookings"`
	// BrokenInPlannedStop counts the connections that broke after a part of a
	// request was sent and after the planned stop of the entry VM had begun.
	// BrokenOtherwise counts all others that broke after a part of a request was
	// sent.
	BrokenInPlannedStop int `json:"cut_in_planned_stop"`
	BrokenOtherwise     int `json:"cut_other"`
	// FailedLocates counts the failed requests for the addresses of entry VMs.
	FailedLocates int `json:"failed_locates"`
	// Promises are the results of the checks of what the system promises to
	// callers.
	Promises []Promise `json:"promises"`
}

// ClientReport summarizes the outcomes of one client's requests.
type ClientReport struct {
	Name     string `json:"name"`
	Account  string `json:"account"`
	Sent     int    `json:"sent"`
	Answered int    `json:"answered"`
	Rejected int    `json:"refused"`
	// Failed counts requests that got neither their own response nor a rejection.
	Failed int `json:"failed"`
	// Dropped counts requests that were not sent, because too many were in flight.
	Dropped int `json:"dropped"`
	// Codes counts rejections by code.
	Codes map[string]int `json:"codes"`
	// RejectedBySecond counts rejections by the second of the run.
	RejectedBySecond map[int]int `json:"refused_by_second"`
	// P50MS and P99MS are latencies of answered requests, from the scheduled start
	// of the request to the complete response, including retries.
	P50MS float64 `json:"p50_ms"`
	P99MS float64 `json:"p99_ms"`
}

// BookingReport compares the outcomes that callers know with what backend servers
// ran.
type BookingReport struct {
	Sent     int `json:"sent"`
	Answered int `json:"answered"`
	// Run is the number of runs at backend servers, RunTwice the number of bookings
	// that ran more than once.
	Run      int `json:"run"`
	RunTwice int `json:"run_twice"`
	// OutcomeUnknown counts bookings whose outcome was unknown when the caller gave
	// up.
	OutcomeUnknown int `json:"unknown"`
	// Retried counts bookings that were sent more than once.
	Retried int `json:"repeated"`
	// RejectedButRun counts bookings that ran although every rejection said "not
	// run".
	RejectedButRun int `json:"refused_but_run"`
	// AnsweredNotRun counts bookings that were answered although no backend server
	// ran them.
	AnsweredNotRun int `json:"answered_not_run"`
}

// Promise is the result of the check of one promise.
type Promise struct {
	Name string `json:"name"`
	Kept bool   `json:"kept"`
	// Seen is the number of violations or the largest excess.
	Seen float64 `json:"seen"`
	// Checked is the number of requests, bookings or events that were checked.
	Checked int `json:"checked"`
}

// BrokenPromises returns the number of promises that were not kept.
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
	report := Report{Bookings: r.bookingReport(), FailedLocates: r.failedLocates}
	for i := range r.cfg.Clients {
		report.Clients = append(report.Clients, r.clientReport(i))
	}
	report.BrokenInPlannedStop, report.BrokenOtherwise = r.countBrokenConns()
	report.Promises = r.promises(report)
	return report
}

func (r *run) clientReport(i int) ClientReport {
	c := ClientReport{Name: r.cfg.Clients[i].Name, Account: r.cfg.Clients[i].Account,
		Dropped: r.dropped[i], Codes: map[string]int{}, RejectedBySecond: map[int]int{}}
	latencies := hdrhistogram.New(minLatencyMicros, maxLatencyMicros, latencySignificantDigits)
	for _, rec := range r.records {
		if rec.client != i {
			continue
		}
		c.Sent++
		switch rec.lastAttempt.outcome {
		case answered:
			c.Answered++
			// Latencies above the maximum are recorded as the maximum.
			_ = latencies.RecordValue(min(rec.lastAttempt.ended.Sub(rec.scheduledAt).Microseconds(), maxLatencyMicros))
		case rejected:
			c.Rejected++
			c.Codes[rec.lastAttempt.code]++
			c.RejectedBySecond[int(rec.lastAttempt.ended.Sub(r.start).Seconds())]++
		default:
			c.Failed++
		}
	}
	c.P50MS = float64(latencies.ValueAtPercentile(p50)) / microsPerMS
	c.P99MS = float64(latencies.ValueAtPercentile(p99)) / microsPerMS
	return c
}

const (
	clientHeader    = "client\tsent\tanswered\trefused\tfailed\tp50 ms\tp99 ms\trejection codes"
	clientLine      = "%s\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t%s\n"
	bookingsLine    = "\nbookings: sent %d, answered %d, repeated %d, outcome unknown %d; run %d, run twice %d\n"
	brokenConnsLine = "requests cut: %d by the planned stop, %d otherwise\n\n"
	promiseHeader   = "promise\tseen\tchecked\t"
	promiseLine     = "%s\t%g\t%d\t%s\n"
	codeFormat      = "%s %d  "
	promiseKept     = "kept"
	promiseBroken   = "BROKEN"
	columnPadding   = 2
)

// WriteTable writes the report as a table.
func (r Report) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, columnPadding, ' ', 0)
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
	fmt.Fprintf(w, brokenConnsLine, r.BrokenInPlannedStop, r.BrokenOtherwise)
	fmt.Fprintln(t, promiseHeader)
	for _, p := range r.Promises {
		verdict := promiseKept
		if !p.Kept {
			verdict = promiseBroken
		}
		fmt.Fprintf(t, promiseLine, p.Name, p.Seen, p.Checked, verdict)
	}
	return t.Flush()
}

const reportFileMode = 0o644

// Save writes the report as JSON.
func (r Report) Save(file string) error {
	content, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(file, append(content, '\n'), reportFileMode)
}
