package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"github.com/cassiawind/cassiawind/core/catalog"
	"github.com/cassiawind/cassiawind/core/ratelimit"
	"github.com/cassiawind/cassiawind/core/steering"
	"github.com/cassiawind/cassiawind/entry/ingress"
	"github.com/cassiawind/cassiawind/platform/adapter"
)

// standInBackends stands in for the backend servers. It answers each request
// with the handler of the server that the request was sent to.
type standInBackends struct {
	handlers map[string]func(r *http.Request) string

	mu       sync.Mutex
	received []string
	latest   *http.Request
}

// receivedRequests returns the requests in order, as "server method target".
func (b *standInBackends) receivedRequests() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Clone(b.received)
}

// lastRequest returns the newest request.
func (b *standInBackends) lastRequest() *http.Request {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.latest
}

// Responses of backend servers. With unresponsive and hangUp there is none, endless never
// ends.
const (
	endless      = "endless"
	unresponsive = "mute"
	hangUp       = "hang up"
	shed         = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
	misdirected  = "HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: other\r\nContent-Length: 0\r\n\r\n"
)

func respondWith(status int, body string) func(r *http.Request) string {
	return func(r *http.Request) string {
		return fmt.Sprintf("HTTP/1.1 %d %s\r\nX-Attempt-Id: %s\r\nX-Server-Seal: seal\r\nContent-Length: %d\r\n\r\n%s",
			status, http.StatusText(status), r.Header.Get("X-Attempt-Id"), len(body), body)
	}
}

func alwaysRespond(text string) func(*http.Request) string {
	return func(*http.Request) string { return text }
}

// DialContext implements upstream.Dialer. The address is the server's id.
func (b *standInBackends) DialContext(_ context.Context, _, address string) (net.Conn, error) {
	respond := b.handlers[address]
	if respond == nil {
		return nil, errors.New("connection refused")
	}
	client, server := net.Pipe()
	go func() {
		defer server.Close()
		br := bufio.NewReader(server)
		for {
			r, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			b.mu.Lock()
			b.received = append(b.received, address+" "+r.Method+" "+r.RequestURI)
			b.latest = r
			b.mu.Unlock()
			switch text := respond(r); text {
			case unresponsive:
				_, _ = br.ReadByte()
				return
			case hangUp:
				return
			case endless:
				for err == nil {
					_, err = io.WriteString(server, "HTTP/1.1 100 Continue\r\nX-More: 1\r\n\r\n")
				}
				return
			default:
				_, _ = io.WriteString(server, text)
			}
		}
	}()
	return client, nil
}

func testSettings() adapter.Settings {
	return adapter.Settings{
		VM: "vm-1", Region: "north", RegionOf: map[string]string{"a": "north", "b": "south"}, StoreAddress: "127.0.0.1:1",
		Bounds: adapter.Bounds{
			GracePeriod: 6 * time.Second, RetryBudgetRatio: 0.2, RetryBudgetMargin: 60, RetryBudgetWindow: 10 * time.Second, MaxRegionShift: 0.15,
			RateTolerance: 0.1, RateMargin: 20,
		},
	}
}

func testRoutes() []*steering.Route {
	newRoute := func(name, prefix string, idempotent bool) *steering.Route {
		return &steering.Route{
			Name: name, Host: "h", Prefix: prefix, TrafficSplit: []steering.WeightedService{{Service: "desk", Weight: 1}}, Idempotent: idempotent,
			Timeout: 1500 * time.Millisecond, Objective: 400 * time.Millisecond, MaxAttempts: 2, Priority: 1,
		}
	}
	openRoute, homedRoute := newRoute("open", "/open/", true), newRoute("homed", "/homed/", true)
	openRoute.AllowAnonymous = true
	homedRoute.HomeRegions = []string{"south"}
	return []*steering.Route{newRoute("look", "/look/", true), newRoute("book", "/book/", false), openRoute, homedRoute}
}

func testConfig(accounts ...*steering.Account) *steering.Config {
	if accounts == nil {
		accounts = []*steering.Account{{Name: "t1", Keys: []string{"k1"}}}
	}
	return steering.NewConfig(1, testRoutes(), []*steering.Service{{Name: "desk", HealthPath: "/health"}}, accounts, steering.Limits{})
}

// newTestNode returns a node that knows a configuration, two servers of its own
// region and one of another.
func newTestNode(b *standInBackends, config *steering.Config) *Node {
	n := newNode(testSettings(), logr.Discard(), b, nil)
	n.uptime = func() time.Duration { return n.now() + time.Second }
	n.mu.Lock()
	defer n.mu.Unlock()
	n.catalog.ApplyConfig(config)
	n.catalog.MarkOperatorLoaded()
	var rows []catalog.RowChange[steering.Server]
	for id, region := range map[string]string{"s1": "north", "s2": "north", "far": "south"} {
		rows = append(rows, catalog.RowChange[steering.Server]{Key: id, Position: 1, Value: &steering.Server{
			ID: id, Service: "desk", Address: id, FailureDomain: region, Region: region, Slots: 4,
		}})
	}
	n.catalog.LoadServers(0, 1, rows)
	n.catalog.LoadVMs(0, 1, nil)
	n.publishView(0)
	return n
}

func newRequest(method, target string, header ...string) *ingress.Request {
	h := http.Header{"X-Attempt-Id": {"id1"}, "X-Deadline-Ms": {"2000"}, "Authorization": {"Bearer k1"}}
	for i := 0; i+1 < len(header); i += 2 {
		if header[i+1] == "" {
			delete(h, header[i])
		} else {
			h[header[i]] = []string{header[i+1]}
		}
	}
	path, _, _ := strings.Cut(target, "?")
	return &ingress.Request{
		Request: &http.Request{Method: method, RequestURI: target, Host: "h", Header: h}, Path: path, Arrived: time.Now(),
	}
}

// runInVirtualTime runs a test with a node and stand-in backend servers in
// virtual time.
func runInVirtualTime(t *testing.T, b *standInBackends, config *steering.Config, test func(n *Node, serve func(*ingress.Request) *ingress.Response)) {
	t.Helper()
	synctest.Test(t, func(*testing.T) {
		n := newTestNode(b, config)
		h := &handler{n}
		test(n, func(r *ingress.Request) *ingress.Response { return h.Serve(context.Background(), r) })
		synctest.Wait()
		n.pool.CloseAllIdle()
		time.Sleep(time.Minute)
	})
}

func onAllServers(f func(*http.Request) string) map[string]func(*http.Request) string {
	return map[string]func(*http.Request) string{"s1": f, "s2": f, "far": f}
}

// Guards against changed requests and responses: the caller gets what the
// server returned, and the server what the caller sent, without the key.
func TestRequestIsForwarded(t *testing.T) {
	b := &standInBackends{handlers: onAllServers(respondWith(200, "hello"))}
	runInVirtualTime(t, b, testConfig(), func(_ *Node, serve func(*ingress.Request) *ingress.Response) {
		response := serve(newRequest("GET", "/look/x?y=1", "X-Tenant", "forged", "Accept", "text/plain"))
		require.Equal(t, 200, response.Status)
		require.Equal(t, "hello", string(response.Body))
		require.Equal(t, "seal", response.Header.Get("X-Server-Seal"))
		require.Equal(t, "/look/x?y=1", b.lastRequest().RequestURI)
		require.Empty(t, b.lastRequest().Header.Get("Authorization"))
		require.Equal(t, "t1", b.lastRequest().Header.Get("X-Tenant"))
		require.Equal(t, "text/plain", b.lastRequest().Header.Get("Accept"))
		require.Equal(t, "1500", b.lastRequest().Header.Get("X-Deadline-Ms"), "the route's timeout is shorter than the caller's")
		require.Contains(t, []string{"s1", "s2"}, b.lastRequest().Header.Get("X-Expect-Instance"))
	})
}

// Guards against denials with a wrong status, and against denying a request
// while the configuration may be out of date.
func TestDenials(t *testing.T) {
	b := &standInBackends{handlers: onAllServers(respondWith(200, ""))}
	runInVirtualTime(t, b, testConfig(), func(n *Node, serve func(*ingress.Request) *ingress.Response) {
		require.Equal(t, 404, serve(newRequest("GET", "/none/")).Status)
		require.Equal(t, 401, serve(newRequest("GET", "/look/", "Authorization", "Bearer k9")).Status)
		require.Equal(t, 401, serve(newRequest("GET", "/look/", "Authorization", "")).Status)
		require.Equal(t, 400, serve(newRequest("GET", "/look/", "X-Deadline-Ms", "soon")).Status)
		require.Empty(t, b.receivedRequests())
		require.Equal(t, 200, serve(newRequest("GET", "/open/", "Authorization", "", "X-Tenant", "forged")).Status)
		require.Empty(t, b.lastRequest().Header.Get("X-Tenant"), "the account of an anonymous request is not authenticated")

		n.operatorUnavailable.Store(true)
		for _, r := range []*ingress.Request{newRequest("GET", "/none/"), newRequest("GET", "/look/", "Authorization", "Bearer k9")} {
			response := serve(r)
			require.Equal(t, 503, response.Status)
			require.NotEmpty(t, response.Header.Get("Retry-After"))
		}
	})
	synctest.Test(t, func(*testing.T) {
		n := newNode(testSettings(), logr.Discard(), b, nil)
		response := (&handler{n}).Serve(context.Background(), newRequest("GET", "/none/"))
		require.Equal(t, 503, response.Status, "a VM without a configuration cannot say that there is no route")
	})
}

// Guards against running a non-idempotent request twice, and against telling
// the caller that it did not run when it may have.
func TestNonIdempotentRequestIsRetriedOnlyIfItDidNotRun(t *testing.T) {
	for name, c := range map[string]struct {
		first    func(*http.Request) string
		status   int
		attempts int
	}{
		"shed":               {alwaysRespond(shed), 200, 2},
		"other server":       {alwaysRespond(misdirected), 200, 2},
		"hung up":            {alwaysRespond(hangUp), 502, 1},
		"mute":               {alwaysRespond(unresponsive), 504, 1},
		"failed":             {respondWith(500, "no"), 500, 1},
		"endless":            {alwaysRespond(endless), 502, 1},
		"garbled":            {alwaysRespond("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx"), 502, 1},
		"503 of the service": {respondWith(503, ""), 503, 1},
	} {
		t.Run(name, func(t *testing.T) {
			b := &standInBackends{}
			var calls atomic.Int32
			firstThenOK := func(r *http.Request) string {
				if calls.Add(1) == 1 {
					return c.first(r)
				}
				return respondWith(200, "ok")(r)
			}
			b.handlers = onAllServers(firstThenOK)
			runInVirtualTime(t, b, testConfig(), func(_ *Node, serve func(*ingress.Request) *ingress.Response) {
				response := serve(newRequest("POST", "/book/"))
				require.Equal(t, c.status, response.Status)
				require.Len(t, b.receivedRequests(), c.attempts)
				if response.Status == 503 {
					require.Equal(t, "seal", response.Header.Get("X-Server-Seal"), "the response of the service is passed on unchanged")
				}
			})
		})
	}
}

// Guards against a log line that gives the failure of a request but not why it
// was not retried.
func TestReasonSaysWhyThereIsNoRetry(t *testing.T) {
	b := &standInBackends{handlers: onAllServers(respondWith(500, "mine"))}
	runInVirtualTime(t, b, testConfig(), func(n *Node, _ func(*ingress.Request) *ingress.Response) {
		r := &request{node: n, view: n.view.Load(), incoming: newRequest("GET", "/look/")}
		require.Equal(t, 500, r.serve(context.Background()).Status)
		require.Equal(t, "failure answer of backend server; all attempts used", r.reason)
	})
}

// Guards against giving up an idempotent request that another server can
// serve, and against replacing a failure response of the service by one of the
// gateway.
func TestIdempotentRequestIsRetried(t *testing.T) {
	for name, first := range map[string]func(*http.Request) string{
		"hung up": alwaysRespond(hangUp), "failed": respondWith(500, "no"), "shed": alwaysRespond(shed), "endless": alwaysRespond(endless),
	} {
		t.Run(name, func(t *testing.T) {
			var calls atomic.Int32
			b := &standInBackends{handlers: onAllServers(func(r *http.Request) string {
				if calls.Add(1) == 1 {
					return first(r)
				}
				return respondWith(200, "ok")(r)
			})}
			runInVirtualTime(t, b, testConfig(), func(_ *Node, serve func(*ingress.Request) *ingress.Response) {
				require.Equal(t, 200, serve(newRequest("GET", "/look/")).Status)
				require.Len(t, b.receivedRequests(), 2)
				require.NotEqual(t, b.receivedRequests()[0], b.receivedRequests()[1])
			})
		})
	}
	b := &standInBackends{handlers: onAllServers(respondWith(500, "mine"))}
	runInVirtualTime(t, b, testConfig(), func(_ *Node, serve func(*ingress.Request) *ingress.Response) {
		response := serve(newRequest("GET", "/look/"))
		require.Equal(t, 500, response.Status)
		require.Equal(t, "mine", string(response.Body))
		require.Len(t, b.receivedRequests(), 2, "no more attempts than the route allows")
	})
}

// Guards against holding a request for longer than the timeout of its route.
func TestRouteTimeout(t *testing.T) {
	runInVirtualTime(t, &standInBackends{handlers: onAllServers(alwaysRespond(unresponsive))}, testConfig(), func(_ *Node, serve func(*ingress.Request) *ingress.Response) {
		begin := time.Now()
		require.Equal(t, 504, serve(newRequest("GET", "/look/")).Status)
		require.LessOrEqual(t, time.Since(begin), 1500*time.Millisecond+responseMargin)
	})
}

// Guards against a request that runs outside its home regions.
func TestHomeRegions(t *testing.T) {
	b := &standInBackends{handlers: onAllServers(respondWith(200, ""))}
	runInVirtualTime(t, b, testConfig(), func(_ *Node, serve func(*ingress.Request) *ingress.Response) {
		for range 20 {
			require.Equal(t, 200, serve(newRequest("GET", "/homed/")).Status)
		}
		for _, s := range b.receivedRequests() {
			require.True(t, strings.HasPrefix(s, "far "), s)
		}
	})
	conflicting := testConfig(&steering.Account{Name: "t1", Keys: []string{"k1"}, HomeRegions: []string{"north"}})
	b = &standInBackends{handlers: onAllServers(respondWith(200, ""))}
	runInVirtualTime(t, b, conflicting, func(_ *Node, serve func(*ingress.Request) *ingress.Response) {
		require.Equal(t, 503, serve(newRequest("GET", "/homed/")).Status, "the home regions of route and account do not overlap")
		require.Empty(t, b.receivedRequests())
	})
}

// Guards against an account that exceeds its rate, against a Retry-After after
// which the request is rejected again, and against charging the account for
// requests that reached no server.
func TestRate(t *testing.T) {
	limited := testConfig(&steering.Account{Name: "t1", Keys: []string{"k1"}, RatePerSecond: 10, Burst: 10})
	b := &standInBackends{handlers: onAllServers(respondWith(200, ""))}
	runInVirtualTime(t, b, limited, func(_ *Node, serve func(*ingress.Request) *ingress.Response) {
		served := 0
		var response *ingress.Response
		for range 60 {
			if response = serve(newRequest("GET", "/look/")); response.Status == 200 {
				served++
			}
		}
		require.Equal(t, 429, response.Status)
		require.LessOrEqual(t, float64(served), 10*1.1+20)
		require.Positive(t, served)
		wait, err := time.ParseDuration(response.Header.Get("Retry-After") + "s")
		require.NoError(t, err)
		time.Sleep(wait + time.Millisecond)
		require.Equal(t, 200, serve(newRequest("GET", "/look/")).Status)
	})
	b = &standInBackends{handlers: map[string]func(*http.Request) string{}}
	runInVirtualTime(t, b, limited, func(n *Node, serve func(*ingress.Request) *ingress.Response) {
		for range 100 {
			require.Equal(t, 503, serve(newRequest("GET", "/look/")).Status)
		}
	})
}

// Guards against a process that stops for good after it was suspended: the grant for
// which a request waits has been dropped in the meantime, and the request would wait
// for it with the lock held.
func TestGrantThatWasDroppedWhileSuspended(t *testing.T) {
	account := &steering.Account{Name: "t1", Keys: []string{"k1"}, RatePerSecond: 10, Burst: 10}
	b := &standInBackends{handlers: onAllServers(respondWith(200, ""))}
	runInVirtualTime(t, b, testConfig(account), func(n *Node, serve func(*ingress.Request) *ingress.Response) {
		reply := make(chan ratelimit.Grant, 1)
		n.mu.Lock()
		n.pendingGrants[7] = &pendingGrant{account: "t1", sentAt: n.now(), reply: reply}
		n.dropPendingGrants(n.now() + grantValidity + time.Millisecond)
		n.mu.Unlock()
		ok, _ := n.takeCredit(account, 7, reply)
		require.True(t, ok)
		require.Equal(t, 200, serve(newRequest("GET", "/look/")).Status)
	})
}

// Guards against further attempts for a caller that has left, and against
// cancelling a non-idempotent request that was sent.
func TestCallerLeaves(t *testing.T) {
	slow := func(r *http.Request) string { time.Sleep(time.Second); return respondWith(200, "")(r) }
	b := &standInBackends{handlers: onAllServers(slow)}
	runInVirtualTime(t, b, testConfig(), func(n *Node, _ func(*ingress.Request) *ingress.Response) {
		for target, want := range map[string]time.Duration{"/look/": 100 * time.Millisecond, "/book/": time.Second} {
			ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
			begin := time.Now()
			method := map[string]string{"/look/": "GET", "/book/": "POST"}[target]
			(&handler{n}).Serve(ctx, newRequest(method, target))
			require.Equal(t, want, time.Since(begin), target)
			cancel()
		}
		require.Len(t, b.receivedRequests(), 2)
	})
	shedding := &standInBackends{handlers: onAllServers(func(*http.Request) string { time.Sleep(time.Second); return shed })}
	runInVirtualTime(t, shedding, testConfig(), func(n *Node, _ func(*ingress.Request) *ingress.Response) {
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		(&handler{n}).Serve(ctx, newRequest("POST", "/book/"))
		require.Len(t, shedding.receivedRequests(), 1)
	})
}

// Guards against a request that a leaving VM accepts and cannot finish, and
// against rejections while callers cannot know yet that the VM leaves.
func TestLeavingVM(t *testing.T) {
	b := &standInBackends{handlers: onAllServers(respondWith(200, ""))}
	runInVirtualTime(t, b, testConfig(), func(n *Node, serve func(*ingress.Request) *ingress.Response) {
		n.beginStop()
		require.Equal(t, 200, serve(newRequest("GET", "/look/")).Status)
		time.Sleep(4 * time.Second)
		require.Equal(t, 200, serve(newRequest("GET", "/look/")).Status, "the request ends before the process")
		time.Sleep(time.Second)
		response := serve(newRequest("GET", "/look/"))
		require.Equal(t, 503, response.Status)
		require.NotEmpty(t, response.Header.Get("Retry-After"))
		require.Len(t, b.receivedRequests(), 2)
	})
}

// Guards against a traffic split that does not follow its weights.
func TestSplit(t *testing.T) {
	list := testRoutes()
	list[0].TrafficSplit = []steering.WeightedService{{Service: "desk", Weight: 3}, {Service: "none", Weight: 1}}
	config := steering.NewConfig(1, list, []*steering.Service{{Name: "desk"}, {Name: "none"}}, nil, steering.Limits{})
	b := &standInBackends{handlers: onAllServers(respondWith(200, ""))}
	runInVirtualTime(t, b, config, func(_ *Node, serve func(*ingress.Request) *ingress.Response) {
		counts := make(map[int]int)
		for range 100 {
			counts[serve(newRequest("GET", "/look/")).Status]++
		}
		require.InDelta(t, 75, counts[200], 1)
		require.InDelta(t, 25, counts[503], 1, "requests of a service without servers are rejected, not moved to another")
	})
}

// Guards against passing on the headers that concern one connection only.
func TestConnectionHeaders(t *testing.T) {
	b := &standInBackends{handlers: onAllServers(func(r *http.Request) string {
		return "HTTP/1.1 200 OK\r\nX-Attempt-Id: id1\r\nX-Server-Seal: s\r\nConnection: X-Private\r\nX-Private: 1\r\n" +
			"Keep-Alive: timeout=5\r\nX-Public: 1\r\nContent-Length: 0\r\n\r\n"
	})}
	runInVirtualTime(t, b, testConfig(), func(_ *Node, serve func(*ingress.Request) *ingress.Response) {
		response := serve(newRequest("GET", "/look/", "Connection", "X-Mine", "X-Mine", "1", "Te", "trailers"))
		require.Empty(t, response.Header.Get("X-Private"))
		require.Empty(t, response.Header.Get("Keep-Alive"))
		require.Equal(t, "1", response.Header.Get("X-Public"))
		require.Empty(t, b.lastRequest().Header.Get("X-Mine"))
		require.Empty(t, b.lastRequest().Header.Get("Te"))
	})
}

// Guards against a running request that is given up, or sent to another server as well,
// because its server is silent for a while and loses its registration.
func TestSilentServerFinishesItsRequests(t *testing.T) {
	slow := func(r *http.Request) string {
		time.Sleep(time.Second)
		return respondWith(200, "ok")(r)
	}
	for method, target := range map[string]string{"GET": "/look/x", "POST": "/book/x"} {
		b := &standInBackends{handlers: onAllServers(slow)}
		runInVirtualTime(t, b, testConfig(), func(n *Node, serve func(*ingress.Request) *ingress.Response) {
			go func() {
				time.Sleep(300 * time.Millisecond)
				n.mu.Lock()
				defer n.mu.Unlock()
				n.catalog.MarkStoreUnresponsive()
				n.catalog.LoadServers(n.now(), 10, nil)
				n.publishView(n.now())
			}()
			require.Equal(t, 200, serve(newRequest(method, target)).Status, target)
			require.Len(t, b.receivedRequests(), 1, target)
		})
	}
}

// Guards against bodies that count as in use after the caller was answered, or no longer
// while the answer waits for the caller.
func TestBodiesAreInUseUntilTheCallerIsAnswered(t *testing.T) {
	b := &standInBackends{handlers: onAllServers(respondWith(200, strings.Repeat("x", 8<<20)))}
	runInVirtualTime(t, b, testConfig(), func(_ *Node, serve func(*ingress.Request) *ingress.Response) {
		for range 20 {
			response := serve(newRequest("GET", "/look/"))
			require.Equal(t, 200, response.Status)
			response.Done()
		}
		var waiting []*ingress.Response
		for range 8 {
			waiting = append(waiting, serve(newRequest("GET", "/look/")))
		}
		require.Equal(t, 502, serve(newRequest("GET", "/look/")).Status)
		for _, response := range waiting {
			require.Equal(t, 200, response.Status)
			response.Done()
		}
		require.Equal(t, 200, serve(newRequest("GET", "/look/")).Status)
	})
}
