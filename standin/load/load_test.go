package load

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cassiawind/cassiawind/standin/backend"
	"github.com/cassiawind/cassiawind/standin/headers"
)

// fakeEntryVM is an entry VM that sends the next of the given responses to each
// request.
type fakeEntryVM struct {
	server          *httptest.Server
	mu              sync.Mutex
	responses       []func(w http.ResponseWriter, echo backend.Echo)
	idempotencyKeys []string // Idempotency-Key of each request
}

func newFakeEntryVM(t *testing.T, responses ...func(http.ResponseWriter, backend.Echo)) *fakeEntryVM {
	e := &fakeEntryVM{responses: responses}
	e.server = httptest.NewServer(e)
	t.Cleanup(e.server.Close)
	return e
}

func (e *fakeEntryVM) address() string { return strings.TrimPrefix(e.server.URL, schemePrefix) }

func (e *fakeEntryVM) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == pathLocate {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	var body backend.BookingBody
	content, _ := io.ReadAll(r.Body)
	_ = json.Unmarshal(content, &body)
	e.mu.Lock()
	e.idempotencyKeys = append(e.idempotencyKeys, r.Header.Get(headers.IdempotencyKey))
	respond := e.responses[0]
	e.responses = e.responses[1:]
	e.mu.Unlock()
	respond(w, backend.Echo{Account: "a", Target: r.URL.RequestURI(), Booking: body.Booking})
}

func respondOK(w http.ResponseWriter, echo backend.Echo) { _ = json.NewEncoder(w).Encode(echo) }

func abortConn(http.ResponseWriter, backend.Echo) { panic(http.ErrAbortHandler) }

func respondMismatched(w http.ResponseWriter, echo backend.Echo) {
	echo.Target += "x"
	respondOK(w, echo)
}

func reject(run, code string) func(http.ResponseWriter, backend.Echo) {
	return func(w http.ResponseWriter, _ backend.Echo) {
		w.Header().Set(headers.Run, run)
		w.WriteHeader(http.StatusServiceUnavailable)
		_ = json.NewEncoder(w).Encode(problem{Code: code, Run: run})
	}
}

// sendAll sends n requests one after the other through the entry VMs.
func sendAll(t *testing.T, spec requestSpec, n int, entries ...string) []record {
	cfg := Config{Entries: entries, RetryIntervalMS: 1, BookingTimeoutMS: 2000}.withDefaults()
	transport := newTransport("")
	defer transport.CloseIdleConnections()
	// Each request starts with the first entry VM.
	c := &client{cfg: cfg, clientConfig: ClientConfig{Account: "a", Key: "k"}, transport: transport,
		locator: &locator{transport: transport, initialEntries: entries}}
	var records []record
	for range n {
		c.nextEntry.Store(uint64(len(entries)) - 1)
		records = append(records, c.send(t.Context(), time.Now(), spec))
	}
	return records
}

var (
	lookup  = requestSpec{target: "/lots?lookup=1"}
	booking = requestSpec{target: "/payments", booking: "b1"}
)

// Guards against giving up a booking, or retrying it with a new key, after its first
// response was lost. The caller could not learn the outcome.
func TestBookingIsRetriedWithItsKey(t *testing.T) {
	first := newFakeEntryVM(t, abortConn)
	second := newFakeEntryVM(t, reject(headers.MayHaveRun, "outcome_unknown"), reject(headers.NotRun, "rate_exceeded"), respondOK)
	remaining := second.responses
	rec := sendAll(t, booking, 1, first.address(), second.address(), second.address(), second.address())[0]
	require.Equal(t, answered, rec.lastAttempt.outcome)
	require.Len(t, remaining, rec.attempts-1)
	require.False(t, rec.outcomeUnknown)
	require.Equal(t, []string{"b1", "b1", "b1"}, second.idempotencyKeys)
	require.Len(t, rec.brokenConns, 1)
	require.Equal(t, first.address(), rec.brokenConns[0].entry)
}

// Guards against retrying a booking after a rejection with "not run", which is its
// final outcome.
func TestNotRunEndsABooking(t *testing.T) {
	vm := newFakeEntryVM(t, reject(headers.NotRun, "rate_exceeded"))
	rec := sendAll(t, booking, 1, vm.address())[0]
	require.Equal(t, rejected, rec.lastAttempt.outcome)
	require.Equal(t, "rate_exceeded", rec.lastAttempt.code)
	require.False(t, rec.mayHaveRun)
}

// Guards against a broken connection that the HTTP transport hides by retrying the
// GET on another connection.
func TestBrokenReusedConnectionIsCounted(t *testing.T) {
	vm := newFakeEntryVM(t, respondOK, abortConn, respondOK)
	records := sendAll(t, lookup, 2, vm.address())
	require.Empty(t, records[0].brokenConns)
	require.Equal(t, answered, records[1].lastAttempt.outcome)
	require.Len(t, records[1].brokenConns, 1)
}

// Guards against a stopped VM that is counted as a broken connection or a failed
// request although the next VM of the list serves the request.
func TestFailedEntryVMIsSkipped(t *testing.T) {
	down := newFakeEntryVM(t)
	down.server.Close()
	stopping := newFakeEntryVM(t, reject(headers.NotRun, codeStopping))
	up := newFakeEntryVM(t, respondOK)
	rec := sendAll(t, lookup, 1, down.address(), stopping.address(), up.address())[0]
	require.Equal(t, answered, rec.lastAttempt.outcome)
	require.Equal(t, 3, rec.attempts)
	require.Empty(t, rec.brokenConns)
}

// Guards against checks that pass although a promise is broken.
func TestBrokenPromisesAreReported(t *testing.T) {
	vm := newFakeEntryVM(t, respondMismatched)
	mismatchedRecord := sendAll(t, lookup, 1, vm.address())[0]
	answeredResult := attemptResult{outcome: answered, entry: "e", sent: at(20_000), ended: at(20_000)}
	r := &run{dropped: []int{0},
		cfg: Config{Accounts: []Account{{Name: "a", RatePerSecond: 1, Burst: 1}},
			Clients: []ClientConfig{{Name: "c", Account: "a"}}},
		records: []record{
			mismatchedRecord,
			{booking: "never-run", lastAttempt: answeredResult},
			{booking: "refused", lastAttempt: attemptResult{outcome: rejected, ended: at(20_000)}},
			{lastAttempt: answeredResult, brokenConns: []brokenConn{{entry: "e", at: at(20_000)}, {entry: "e", at: at(1)}}},
		},
		events: []Event{
			{Event: EventPlannedStop, UnixMS: 10_000, Entry: "e"},
			{Event: EventKeyWithdrawn, UnixMS: 10_000, Client: "c"},
			{Event: EventDrain, UnixMS: 10_000, Server: "s"},
			{Event: EventBackendLeaving, UnixMS: 10_000, Server: "s"},
		},
		servers:     []backend.Status{{Name: "s", LastArrivalUnixMS: 15_001, Counts: backend.Counts{WithAuthorization: 1}}},
		bookingRuns: backend.RunReport{Twice: []string{"a/b"}, Counts: map[string]int{"a/refused": 1}},
	}
	report := r.report()
	for _, p := range report.Promises {
		require.False(t, p.Kept, p.Name)
	}
	require.Equal(t, 1, report.BrokenInPlannedStop)
	require.Equal(t, 1, report.BrokenOtherwise)
	require.Equal(t, len(report.Promises), report.BrokenPromises())
}

// Guards against a run that does not end or sends more requests than its bound, and
// against events that are lost between the processes that write and read them.
func TestRunIsBounded(t *testing.T) {
	g := backend.NewGroup(backend.Config{Servers: []backend.ServerConfig{{Name: "s", Slots: 100}}})
	entry := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.Header.Set(headers.Account, "a")
		r.Header.Del(headers.Authorization)
		g.Servers()[1].HTTP.Handler.ServeHTTP(w, r)
	}))
	defer entry.Close()
	control := httptest.NewServer(g.ControlHandler())
	defer control.Close()
	events := filepath.Join(t.TempDir(), "events")
	require.NoError(t, AppendEvent(events, Event{Event: EventPlannedStop, Entry: "e", UnixMS: 1}))
	report, err := Run(t.Context(), Config{Seed: 5, DurationMS: 60_000, MaxRequests: 40, BackendControl: control.URL,
		EventsFile: events, Entries: []string{strings.TrimPrefix(entry.URL, schemePrefix)},
		Accounts: []Account{{Name: "a", RatePerSecond: 1000, Burst: 100}},
		Clients: []ClientConfig{{Name: "c", Account: "a", Key: "k", RatePerSecond: 1000, BookingShare: 0.5,
			Lookups: []string{"/lots"}, Bookings: []string{"/payments"}}}})
	require.NoError(t, err)
	require.Equal(t, 40, report.Clients[0].Sent)
	require.Equal(t, 40, report.Clients[0].Answered)
	require.Equal(t, report.Bookings.Sent, report.Bookings.Run)
	require.Zero(t, report.BrokenPromises())
}
