package forward

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"github.com/cassiawind/cassiawind/core/quota"
	"github.com/cassiawind/cassiawind/core/routing"
	"github.com/cassiawind/cassiawind/declare"
	"github.com/cassiawind/cassiawind/entry/policy"
	"github.com/cassiawind/cassiawind/entry/service"
	"github.com/cassiawind/cassiawind/entry/telemetry"
	peerv1 "github.com/cassiawind/cassiawind/peerapi/peer/v1"
	"github.com/cassiawind/cassiawind/platform/memory"
)

const testKey = "test-key"

// fakeControl admits requests while the lease is valid and tokens are left.
type fakeControl struct {
	policy     *policy.Policy
	leaseValid atomic.Bool

	mu     sync.Mutex
	tokens map[string]float64
}

func (f *fakeControl) Policy() *policy.Policy        { return f.policy }
func (f *fakeControl) LeaseValid(time.Time) bool     { return f.leaseValid.Load() }
func (f *fakeControl) UnitsArrived() <-chan struct{} { return make(chan struct{}) }
func (f *fakeControl) tokensLeft(limit string) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.tokens[limit]
}
func (f *fakeControl) setTokens(limit string, n float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.tokens[limit] = n
}
func (f *fakeControl) Refund(_ time.Time, l string, n float64) { f.setTokens(l, f.tokensLeft(l)+n) }

func (f *fakeControl) Retry(now time.Time, limit string, n float64) quota.Decision {
	return f.Take(now, limit, n)
}

func (f *fakeControl) Take(_ time.Time, limit string, n float64) quota.Decision {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.tokens[limit] < n {
		return quota.Decision{RetryAfter: 2 * time.Second}
	}
	f.tokens[limit] -= n
	return quota.Decision{OK: true}
}

type fakeFleet struct{}

func (fakeFleet) Self() *peerv1.Member { return &peerv1.Member{Vm: "vm1", Incarnation: 1} }
func (fakeFleet) Size() int            { return 1 }

// fakeRegions has one region with a quota limit.
type fakeRegions struct{}

func (fakeRegions) Choose(_ time.Time, _ string, _ *service.Service, take func(string) bool, _ func(string)) (routing.RegionChoice, error) {
	if !take(quota.RegionLimit("r1")) {
		return routing.RegionChoice{}, &routing.NoRegionError{RetryAfter: time.Second}
	}
	return routing.RegionChoice{Region: "r1"}, nil
}

func (fakeRegions) Done(time.Time, string) {}

type fakeServices struct{ s *service.Service }

func (f fakeServices) Service(string) *service.Service { return f.s }

// fixture is a Handler in front of the backend servers of a test.
type fixture struct {
	handler *Handler
	control *fakeControl
	table   *memory.Table
	objects *memory.Objects
	server  *httptest.Server
}

func newFixture(t *testing.T, backends ...http.HandlerFunc) *fixture {
	t.Helper()
	var servers []declare.BackendServer
	for i, b := range backends {
		srv := httptest.NewServer(b)
		t.Cleanup(srv.Close)
		servers = append(servers, declare.BackendServer{
			Name: string(rune('a' + i)), Address: strings.TrimPrefix(srv.URL, "http://"), Region: "r1", FailureDomain: "d1", Slots: 8, Connections: 100,
		})
	}
	return newFixtureWithServers(t, servers)
}

func newFixtureWithServers(t *testing.T, servers []declare.BackendServer) *fixture {
	t.Helper()
	digest := sha256.Sum256([]byte(testKey))
	p, err := policy.Compile(1, &declare.Config{
		Accounts: []declare.Account{{Name: "acme", RatePerSecond: 10, Burst: 10}},
		Keys:     []declare.Key{{Name: "k", Account: "acme", SHA256: hex.EncodeToString(digest[:])}},
		Services: []declare.Service{{Name: "s", BackendServers: servers}},
		Routes: []declare.Route{
			{Name: "lookup", PathPrefix: "/lots", Service: "s", Idempotent: true, DeadlineMS: 5000},
			{Name: "booking", PathPrefix: "/book", Service: "s", DeadlineMS: 5000},
			{Name: "open", PathPrefix: "/open", Service: "s", Idempotent: true, Open: true, DeadlineMS: 5000},
		},
	})
	require.NoError(t, err)
	f := &fixture{
		control: &fakeControl{policy: p, tokens: map[string]float64{quota.AccountLimit("acme"): 100, quota.RegionLimit("r1"): 100}},
		table:   memory.NewTable(), objects: memory.NewObjects(),
	}
	f.control.leaseValid.Store(true)
	svc := service.New("s", 1)
	svc.Configure(time.Now(), p, 1)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	f.handler = New(Config{MaxBodyBytes: 1 << 20, MaxHeaderBytes: 32 << 10}, Deps{
		Control: f.control, Regions: fakeRegions{}, Services: fakeServices{svc},
		Bookings: NewBookings(ctx, f.table, f.objects, fakeFleet{}, logr.Discard()),
		Metrics:  telemetry.New(time.Now()), Log: logr.Discard(),
	})
	f.server = httptest.NewServer(f.handler)
	t.Cleanup(f.server.Close)
	return f
}

// do sends a request with the test key.
func (f *fixture) do(t *testing.T, method, path, body string, header ...string) *http.Response {
	t.Helper()
	req, err := http.NewRequest(method, f.server.URL+path, strings.NewReader(body))
	require.NoError(t, err)
	req.Header.Set("Authorization", "Bearer "+testKey)
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	t.Cleanup(func() { resp.Body.Close() })
	return resp
}
