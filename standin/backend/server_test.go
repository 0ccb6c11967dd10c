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

// do sends one request without a network; it returns nil for an aborted answer.
func do(ctx context.Context, s *Server, method, target, body string, h map[string]string) (rec *httptest.ResponseRecorder) {
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
	require.NoError(t, json.Unmarshal(do(t.Context(), s, http.MethodGet, PathHealth, "", nil).Body.Bytes(), &h))
	return h
}

// Guards against a booking that runs after its deadline, which would run twice
// once an entry VM has released its record.
func TestExpiredRequestsAreNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestServer(testConfig)
		h := map[string]string{headers.Deadline: strconv.FormatInt(time.Now().Add(time.Second).UnixMilli(), 10)}
		require.Equal(t, http.StatusOK, do(t.Context(), s, http.MethodPost, "/allocations", `{"booking":"b1"}`, h).Code)
		time.Sleep(time.Second)
		requireNotRun(t, do(t.Context(), s, http.MethodPost, "/allocations", `{"booking":"b2"}`, h))
		require.Equal(t, map[string]int{"/b1": 1}, s.runs.Report().Counts)
		require.Equal(t, 1, s.Status().Expired)
	})
}

// Guards against refusals that say "not run" for a request that ran, and
// against a server that runs more than its slots.
func TestFullAndLeavingServersRejectWithoutRunning(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestServer(testConfig)
		for range s.cfg.Slots {
			go do(t.Context(), s, http.MethodPost, "/payments", `{"booking":"first"}`, nil)
		}
		synctest.Wait()
		requireNotRun(t, do(t.Context(), s, http.MethodPost, "/payments", `{"booking":"second"}`, nil))
		time.Sleep(time.Second)
		leaving := true
		s.Apply(ServerChange{Leaving: &leaving})
		requireNotRun(t, do(t.Context(), s, http.MethodPost, "/payments", `{"booking":"third"}`, nil))
		require.Equal(t, stateLeaving, health(t, s).State)
		require.Equal(t, map[string]int{"/first": 2}, s.runs.Report().Counts)
		require.Equal(t, 2, s.Status().Shed)
	})
}

// Guards against double runs that are not counted because the second attempt
// has another request id, and against equal ids of two accounts that are
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
			do(t.Context(), s, http.MethodPost, "/payments", "", h)
		}
		do(t.Context(), s, http.MethodGet, "/scores", "", map[string]string{headers.RequestID: "r5"})
		report := s.runs.Report()
		require.Equal(t, []string{"a/k"}, report.Twice)
		require.Equal(t, map[string]int{"a/k": 2, "b/k": 1, "b/r4": 1}, report.Counts)
	})
}

// Guards against slots that stay taken by requests whose caller has gone.
func TestCancelFreesTheSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestServer(testConfig)
		ctx, cancel := context.WithCancel(t.Context())
		go do(ctx, s, http.MethodGet, "/lots", "", nil)
		synctest.Wait()
		require.Equal(t, 1, health(t, s).InFlight)
		cancel()
		synctest.Wait()
		require.Equal(t, 0, health(t, s).InFlight)
		require.Equal(t, 1, s.Status().Cancelled)
	})
}

// Guards against fault modes without effect, on which other tests rely.
func TestModes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cfg := testConfig
		cfg.ColdStartMS, cfg.ColdFactor = 1000, 3
		s := newTestServer(cfg)
		elapsed := func() time.Duration {
			begin := time.Now()
			do(t.Context(), s, http.MethodGet, "/lots", "", map[string]string{headers.Authorization: "Bearer k"})
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
		require.Nil(t, do(ctx, s, http.MethodGet, PathHealth, "", nil))
	})
}

// Guards against a control end point without effect and against silenced
// connections that silence new ones too.
func TestControlBlackholesOpenConnectionsOnly(t *testing.T) {
	g := NewGroup(Config{Servers: []ServerConfig{testConfig}})
	server := httptest.NewUnstartedServer(nil)
	server.Config = g.servers[0].HTTP()
	server.Start()
	defer server.Close()
	old, fresh := &http.Transport{}, &http.Transport{}
	defer old.CloseIdleConnections()
	defer fresh.CloseIdleConnections()
	get := func(ctx context.Context, tr *http.Transport) error {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, server.URL+PathHealth, nil)
		require.NoError(t, err)
		resp, err := tr.RoundTrip(req)
		if err != nil {
			return err
		}
		_, err = io.Copy(io.Discard, resp.Body)
		require.NoError(t, err)
		return resp.Body.Close()
	}
	require.NoError(t, get(t.Context(), old))
	rec := httptest.NewRecorder()
	g.ControlHandler().ServeHTTP(rec, httptest.NewRequest(http.MethodPut, PathServers+"/s1", strings.NewReader(`{"silence_connections":true}`)))
	require.Equal(t, http.StatusOK, rec.Code)
	require.NoError(t, get(t.Context(), fresh))
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	require.ErrorIs(t, get(ctx, old), context.DeadlineExceeded)
}
