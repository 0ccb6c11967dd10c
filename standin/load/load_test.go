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

// entryVM plays one entry VM: each request takes the next step of a script.
type entryVM struct {
	server *httptest.Server
	mu     sync.Mutex
	script []func(w http.ResponseWriter, echo backend.Echo)
	keys   []string // Idempotency-Key of each request
}

func newEntryVM(t *testing.T, script ...func(http.ResponseWriter, backend.Echo)) *entryVM {
	e := &entryVM{script: script}
	e.server = httptest.NewServer(e)
	t.Cleanup(e.server.Close)
	return e
}

func (e *entryVM) address() string { return strings.TrimPrefix(e.server.URL, schemePrefix) }

func (e *entryVM) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == pathLocate {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	var body backend.BookingBody
	content, _ := io.ReadAll(r.Body)
	_ = json.Unmarshal(content, &body)
	e.mu.Lock()
	e.keys = append(e.keys, r.Header.Get(headers.IdempotencyKey))
	step := e.script[0]
	e.script = e.script[1:]
	e.mu.Unlock()
	step(w, backend.Echo{Account: "a", Target: r.URL.RequestURI(), Booking: body.Booking})
}

func ok(w http.ResponseWriter, echo backend.Echo) { _ = json.NewEncoder(w).Encode(echo) }

func cutOff(http.ResponseWriter, backend.Echo) { panic(http.ErrAbortHandler) }

func crossed(w http.ResponseWriter, echo backend.Echo) {
	echo.Target += "x"
	ok(w, echo)
}

func refuse(run, code string) func(http.ResponseWriter, backend.Echo) {
	return func(w http.ResponseWriter, _ backend.Echo) {
		w.Header().Set(headers.Run, run)
		w.WriteHeader(http.StatusServiceUnavailable)
		_ = json.NewEncoder(w).Encode(problem{Code: code, Run: run})
	}
}

// play sends n requests one after the other through the entry VMs.
func play(t *testing.T, q request, n int, entries ...string) []record {
	cfg := Config{Entries: entries, RetryIntervalMS: 1, BookingTimeoutMS: 2000}.withDefaults()
	transport := newTransport("")
	defer transport.CloseIdleConnections()
	// The first turn begins with the first entry VM.
	c := &client{cfg: cfg, client: ClientConfig{Account: "a", Key: "k"}, transport: transport,
		locator: &locator{transport: transport, seeds: entries}}
	var records []record
	for range n {
		c.turn.Store(uint64(len(entries)) - 1)
		records = append(records, c.do(t.Context(), time.Now(), q))
	}
	return records
}

var (
	lookup  = request{target: "/lots?lookup=1"}
	booking = request{target: "/payments", booking: "b1"}
)

// Guards against a booking that is given up or sent under a new key when its
// first answer was lost: the caller could not learn the outcome.
func TestBookingIsRetriedWithItsKey(t *testing.T) {
	first := newEntryVM(t, cutOff)
	second := newEntryVM(t, refuse(headers.MayHaveRun, "outcome_unknown"), refuse(headers.NotRun, "rate_exceeded"), ok)
	script := second.script
	rec := play(t, booking, 1, first.address(), second.address(), second.address(), second.address())[0]
	require.Equal(t, answered, rec.last.outcome)
	require.Len(t, script, rec.attempts-1)
	require.False(t, rec.unknown)
	require.Equal(t, []string{"b1", "b1", "b1"}, second.keys)
	require.Len(t, rec.cuts, 1)
	require.Equal(t, first.address(), rec.cuts[0].entry)
}

// Guards against a final rejection that is repeated: 'not run' is the outcome.
func TestNotRunEndsABooking(t *testing.T) {
	vm := newEntryVM(t, refuse(headers.NotRun, "rate_exceeded"))
	rec := play(t, booking, 1, vm.address())[0]
	require.Equal(t, refused, rec.last.outcome)
	require.Equal(t, "rate_exceeded", rec.last.code)
	require.False(t, rec.mayHaveRun)
}

// Guards against a cut request that the HTTP transport hides by repeating the
// GET on another connection.
func TestBrokenReusedConnectionIsCounted(t *testing.T) {
	vm := newEntryVM(t, ok, cutOff, ok)
	records := play(t, lookup, 2, vm.address())
	require.Empty(t, records[0].cuts)
	require.Equal(t, answered, records[1].last.outcome)
	require.Len(t, records[1].cuts, 1)
}

// Guards against a stopped VM that counts as a cut request or as a failure
// although the next VM of the list answers.
func TestFailedEntryVMIsSkipped(t *testing.T) {
	down := newEntryVM(t)
	down.server.Close()
	stopping := newEntryVM(t, refuse(headers.NotRun, codeStopping))
	up := newEntryVM(t, ok)
	rec := play(t, lookup, 1, down.address(), stopping.address(), up.address())[0]
	require.Equal(t, answered, rec.last.outcome)
	require.Equal(t, 3, rec.attempts)
	require.Empty(t, rec.cuts)
}

// Guards against checks that stay green when a promise is broken.
func TestBrokenPromisesAreReported(t *testing.T) {
	vm := newEntryVM(t, crossed)
	wrongAnswer := play(t, lookup, 1, vm.address())[0]
	done := result{outcome: answered, entry: "e", sent: at(20_000), ended: at(20_000)}
	r := &run{dropped: []int{0},
		cfg: Config{Accounts: []Account{{Name: "a", RatePerSecond: 1, Burst: 1}},
			Clients: []ClientConfig{{Name: "c", Account: "a"}}},
		records: []record{
			wrongAnswer,
			{booking: "never-run", last: done},
			{booking: "refused", last: result{outcome: refused, ended: at(20_000)}},
			{last: done, cuts: []cut{{entry: "e", at: at(20_000)}, {entry: "e", at: at(1)}}},
		},
		events: []Event{
			{Event: EventPlannedStop, UnixMS: 10_000, Entry: "e"},
			{Event: EventKeyWithdrawn, UnixMS: 10_000, Client: "c"},
			{Event: EventDrain, UnixMS: 10_000, Server: "s"},
			{Event: EventBackendLeaving, UnixMS: 10_000, Server: "s"},
		},
		servers: []backend.Status{{Name: "s", LastArrivalUnixMS: 15_001, Counts: backend.Counts{WithAuthorization: 1}}},
		runs:    backend.RunReport{Twice: []string{"a/b"}, Counts: map[string]int{"a/refused": 1}},
	}
	report := r.report()
	for _, p := range report.Promises {
		require.False(t, p.Kept, p.Name)
	}
	require.Equal(t, 1, report.BrokenInPlannedStop)
	require.Equal(t, 1, report.BrokenOtherwise)
	require.Equal(t, len(report.Promises), report.BrokenPromises())
}

// Guards against a run that never ends or sends more than its bounds, and
// against events that are lost between the processes.
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
