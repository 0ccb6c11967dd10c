package backend

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cassiawind/cassiawind/standin/headers"
)

const seed = 11

var testConfig = ServerConfig{Name: "s1", Slots: 2, ServiceTimeMS: 100}

func newTestServer(cfg ServerConfig) *Server {
	return NewServer(cfg, NewBookingLog(), rand.New(rand.NewPCG(seed, 0)))
}

// send calls the handler with one request. It returns nil if the handler aborted
// the response.
func send(ctx context.Context, s *Server, method, target, body string, h map[string]string) (rec *httptest.ResponseRecorder) {
	req := httptest.NewRequestWithContext(ctx, method, target, strings.NewReader(body))
	for name, value := range h {
		req.Header.Set(name, value)
	}
	defer func() {
		if recover() != nil {
			rec = nil
		}
	}()
	recorder := httptest.NewRecorder()
	s.ServeHTTP(recorder, req)
	return recorder
}

func requireNotRun(t *testing.T, rec *httptest.ResponseRecorder) {
	require.NotNil(t, rec)
	require.Equal(t, http.StatusServiceUnavailable, rec.Code)
	require.Equal(t, headers.NotRun, rec.Header().Get(headers.Run))
}

func health(t *testing.T, s *Server) Health {
	var h Health
	require.NoError(t, json.Unmarshal(send(t.Context(), s, http.MethodGet, PathHealth, "", nil).Body.Bytes(), &h))
	return h
}

// Guards against a booking that runs after its deadline. It could run twice, since
// an entry VM may have released its record of the booking by then.
func TestExpiredRequestsAreNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestServer(testConfig)
		h := map[string]string{headers.Deadline: strconv.FormatInt(time.Now().Add(time.Second).UnixMilli(), 10)}
		require.Equal(t, http.StatusOK, send(t.Context(), s, http.MethodPost, "/allocations", `{"booking":"b1"}`, h).Code)
		time.Sleep(time.Second)
		requireNotRun(t, send(t.Context(), s, http.MethodPost, "/allocations", `{"booking":"b2"}`, h))
		require.Equal(t, map[string]int{"/b1": 1}, s.bookings.Report().Counts)
		require.Equal(t, 1, s.Status().Expired)
	})
}

// Guards against rejections with "not run" for a request that ran, and against a
// server that runs more requests than it has slots.
func TestFullAndLeavingServersRejectWithoutRunning(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestServer(testConfig)
		for range s.cfg.Slots {
			go send(t.Context(), s, http.MethodPost, "/payments", `{"booking":"first"}`, nil)
		}
		synctest.Wait()
		requireNotRun(t, send(t.Context(), s, http.MethodPost, "/payments", `{"booking":"second"}`, nil))
		time.Sleep(time.Second)
		leaving := true
		s.Apply(ServerChange{Leaving: &leaving})
		requireNotRun(t, send(t.Context(), s, http.MethodPost, "/payments", `{"booking":"third"}`, nil))
		require.Equal(t, stateLeaving, health(t, s).State)
		require.Equal(t, map[string]int{"/first": 2}, s.bookings.Report().Counts)
		require.Equal(t, 2, s.Status().Shed)
	})
}

// Guards against a second run of a booking that is not counted because the attempt
// has another request id, and against equal booking ids of two accounts that are
// counted as one booking.
func TestDoubleRunsAreCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestServer(testConfig)
		for _, h := range []map[string]string{
			{headers.Account: "a", headers.RequestID: "r1", headers.IdempotencyKey: "k"},
			{headers.Account: "a", headers.RequestID: "r2", headers.IdempotencyKey: "k"},
			{headers.Account: "b", headers.RequestID: "r3", headers.IdempotencyKey: "k"},
			{headers.Account: "b", headers.RequestID: "r4"},
		} {
			send(t.Context(), s, http.MethodPost, "/payments", "", h)
		}
		send(t.Context(), s, http.MethodGet, "/scores", "", map[string]string{headers.RequestID: "r5"})
		report := s.bookings.Report()
		require.Equal(t, []string{"a/k"}, report.Twice)
		require.Equal(t, map[string]int{"a/k": 2, "b/k": 1, "b/r4": 1}, report.Counts)
	})
}

// Guards against slots that stay taken after the caller cancelled its request.
func TestCancelFreesTheSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestServer(testConfig)
		ctx, cancel := context.WithCancel(t.Context())
		go send(ctx, s, http.MethodGet, "/lots", "", nil)
		synctest.Wait()
		require.Equal(t, 1, health(t, s).InFlight)
		cancel()
		synctest.Wait()
		require.Equal(t, 0, health(t, s).InFlight)
		require.Equal(t, 1, s.Status().Cancelled)
	})
}

// Guards against fault modes without effect, since other tests rely on them.
func TestModes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cfg := testConfig
		cfg.ColdStartMS, cfg.ColdFactor = 1000, 3
		s := newTestServer(cfg)
		elapsed := func() time.Duration {
			begin := time.Now()
			send(t.Context(), s, http.MethodGet, "/lots", "", map[string]string{headers.Authorization: "Bearer k"})
			return time.Since(begin)
		}
		require.Equal(t, stateCold, health(t, s).State)
		require.Equal(t, 300*time.Millisecond, elapsed())
		time.Sleep(time.Second)
		require.Equal(t, stateServing, health(t, s).State)
		require.Equal(t, 100*time.Millisecond, elapsed())
		mode := Misreporting
		s.Apply(ServerChange{Mode: &mode})
		go elapsed()
		synctest.Wait()
		require.Equal(t, Health{State: stateServing, Slots: 2}, health(t, s))
		require.Equal(t, 2*time.Second, elapsed())
		require.Equal(t, 4, s.Status().WithAuthorization)
		mode = Unresponsive
		s.Apply(ServerChange{Mode: &mode})
		ctx, cancel := context.WithTimeout(t.Context(), time.Hour)
		defer cancel()
		require.Nil(t, send(ctx, s, http.MethodGet, PathHealth, "", nil))
	})
}

// Guards against a control endpoint without effect and against blackholing that
// also affects new connections.
func TestControlBlackholesOpenConnectionsOnly(t *testing.T) {
	g := NewGroup(Config{Servers: []ServerConfig{testConfig}})
	server := httptest.NewUnstartedServer(nil)
	server.Config = g.servers[0].HTTP()
	server.Start()
	defer server.Close()
	openBefore, openedAfter := &http.Transport{}, &http.Transport{}
	defer openBefore.CloseIdleConnections()
	defer openedAfter.CloseIdleConnections()
	get := func(ctx context.Context, transport *http.Transport) error {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, server.URL+PathHealth, nil)
		require.NoError(t, err)
		resp, err := transport.RoundTrip(req)
		if err != nil {
			return err
		}
		_, err = io.Copy(io.Discard, resp.Body)
		require.NoError(t, err)
		return resp.Body.Close()
	}
	require.NoError(t, get(t.Context(), openBefore))
	rec := httptest.NewRecorder()
	g.ControlHandler().ServeHTTP(rec, httptest.NewRequest(http.MethodPut, PathServers+"/s1", strings.NewReader(`{"silence_connections":true}`)))
	require.Equal(t, http.StatusOK, rec.Code)
	require.NoError(t, get(t.Context(), openedAfter))
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	require.ErrorIs(t, get(ctx, openBefore), context.DeadlineExceeded)
}
