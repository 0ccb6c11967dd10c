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
	"github.com/cassiawind/cassiawind/core/steering"
	"github.com/cassiawind/cassiawind/entry/ingress"
	"github.com/cassiawind/cassiawind/platform/adapter"
)

// backends stands in for the backend servers: it answers each request by the
// function of the server that it was sent to.
type backends struct {
	serve map[string]func(r *http.Request) string

	mu   sync.Mutex
	list []string
	r    *http.Request
}

// seen returns the requests in order, as "server method target".
func (b *backends) seen() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Clone(b.list)
}

// last returns the last request.
func (b *backends) last() *http.Request {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.r
}

// Answers of backend servers.
const (
	mute     = "mute"
	hangUp   = "hang up"
	shed     = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
	elsewise = "HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: other\r\nContent-Length: 0\r\n\r\n"
)

func answering(status int, body string) func(r *http.Request) string {
	return func(r *http.Request) string {
		return fmt.Sprintf("HTTP/1.1 %d %s\r\nX-Attempt-Id: %s\r\nX-Server-Seal: seal\r\nContent-Length: %d\r\n\r\n%s",
			status, http.StatusText(status), r.Header.Get("X-Attempt-Id"), len(body), body)
	}
}

func always(text string) func(*http.Request) string {
	return func(*http.Request) string { return text }
}

// DialContext implements upstream.Dialer; the address is the server's id.
func (b *backends) DialContext(_ context.Context, _, address string) (net.Conn, error) {
	serve := b.serve[address]
	if serve == nil {
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
			b.list = append(b.list, address+" "+r.Method+" "+r.RequestURI)
			b.r = r
			b.mu.Unlock()
			switch text := serve(r); text {
			case mute:
				_, _ = br.ReadByte()
				return
			case hangUp:
				return
			default:
				_, _ = io.WriteString(server, text)
			}
		}
	}()
	return client, nil
}

func settings() adapter.Settings {
	return adapter.Settings{
		VM: "vm-1", Region: "north", RegionOf: map[string]string{"a": "north", "b": "south"}, StoreAddress: "127.0.0.1:1",
		Bounds: adapter.Bounds{
			GracePeriod: 6 * time.Second, RetryBudgetRatio: 0.2, RetryBudgetMargin: 60, RetryBudgetWindow: 10 * time.Second, MaxRegionShift: 0.15,
			RateTolerance: 0.1, RateMargin: 20,
		},
	}
}

func routes() []*steering.Route {
	one := func(name, prefix string, idempotent bool) *steering.Route {
		return &steering.Route{
			Name: name, Host: "h", Prefix: prefix, Parts: []steering.Part{{Service: "desk", Weight: 1}}, Idempotent: idempotent,
			Timeout: 1500 * time.Millisecond, Objective: 400 * time.Millisecond, MaxAttempts: 2, Rank: 1,
		}
	}
	open, homed := one("open", "/open/", true), one("homed", "/homed/", true)
	open.Open = true
	homed.Homes = []string{"south"}
	return []*steering.Route{one("look", "/look/", true), one("book", "/book/", false), open, homed}
}

func configuration(accounts ...*steering.Account) *steering.Config {
	if accounts == nil {
		accounts = []*steering.Account{{Name: "t1", Keys: []string{"k1"}}}
	}
	return steering.NewConfig(1, routes(), []*steering.Service{{Name: "desk", HealthPath: "/health"}}, accounts, steering.Limits{})
}

// ready returns a node that knows a configuration and two servers of its own
// region, and one of another.
func ready(b *backends, config *steering.Config) *Node {
	n := newNode(settings(), logr.Discard(), b, nil)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.catalog.ApplyConfig(config)
	n.catalog.OperatorLoaded()
	var rows []catalog.Change[steering.Server]
	for id, region := range map[string]string{"s1": "north", "s2": "north", "far": "south"} {
		rows = append(rows, catalog.Change[steering.Server]{Key: id, Version: 1, Value: &steering.Server{
			ID: id, Service: "desk", Address: id, Zone: region, Region: region, Slots: 4,
		}})
	}
	n.catalog.LoadServers(0, 1, rows)
	n.catalog.LoadVMs(1, nil)
	n.rebuild(0)
	return n
}

func request0(method, target string, header ...string) *ingress.Request {
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

// run runs a test in virtual time.
func run(t *testing.T, b *backends, config *steering.Config, test func(n *Node, serve func(*ingress.Request) *ingress.Answer)) {
	t.Helper()
	synctest.Test(t, func(*testing.T) {
		n := ready(b, config)
		h := &handler{n}
		test(n, func(r *ingress.Request) *ingress.Answer { return h.Serve(context.Background(), r) })
		for _, id := range []string{"s1", "s2", "far"} {
			n.pool.CloseIdle(id)
		}
		time.Sleep(time.Minute)
	})
}

func every(f func(*http.Request) string) map[string]func(*http.Request) string {
	return map[string]func(*http.Request) string{"s1": f, "s2": f, "far": f}
}

// Guards against changed answers and requests: a caller gets what the server
// said, the server what the caller sent, without the key.
func TestRequestIsForwarded(t *testing.T) {
	b := &backends{serve: every(answering(200, "hello"))}
	run(t, b, configuration(), func(_ *Node, serve func(*ingress.Request) *ingress.Answer) {
		a := serve(request0("GET", "/look/x?y=1", "X-Tenant", "forged", "Accept", "text/plain"))
		require.Equal(t, 200, a.Status)
		require.Equal(t, "hello", string(a.Body))
		require.Equal(t, "seal", a.Header.Get("X-Server-Seal"))
		require.Equal(t, "/look/x?y=1", b.last().RequestURI)
		require.Empty(t, b.last().Header.Get("Authorization"))
		require.Equal(t, "t1", b.last().Header.Get("X-Tenant"))
		require.Equal(t, "text/plain", b.last().Header.Get("Accept"))
		require.Equal(t, "1500", b.last().Header.Get("X-Deadline-Ms"), "the route's time-out is shorter than the caller's")
		require.Contains(t, []string{"s1", "s2"}, b.last().Header.Get("X-Expect-Instance"))
	})
}

// Guards against denials: each unknown thing has its own status, and none is
// denied while it is not known whether the configuration is current.
func TestDenials(t *testing.T) {
	b := &backends{serve: every(answering(200, ""))}
	run(t, b, configuration(), func(n *Node, serve func(*ingress.Request) *ingress.Answer) {
		require.Equal(t, 404, serve(request0("GET", "/none/")).Status)
		require.Equal(t, 401, serve(request0("GET", "/look/", "Authorization", "Bearer k9")).Status)
		require.Equal(t, 401, serve(request0("GET", "/look/", "Authorization", "")).Status)
		require.Equal(t, 400, serve(request0("GET", "/look/", "X-Deadline-Ms", "soon")).Status)
		require.Empty(t, b.seen())
		require.Equal(t, 200, serve(request0("GET", "/open/", "Authorization", "", "X-Tenant", "forged")).Status)
		require.Empty(t, b.last().Header.Get("X-Tenant"), "nobody vouches for the account")

		n.operatorLost.Store(true)
		for _, r := range []*ingress.Request{request0("GET", "/none/"), request0("GET", "/look/", "Authorization", "Bearer k9")} {
			a := serve(r)
			require.Equal(t, 503, a.Status)
			require.NotEmpty(t, a.Header.Get("Retry-After"))
		}
	})
	synctest.Test(t, func(*testing.T) {
		n := newNode(settings(), logr.Discard(), b, nil)
		a := (&handler{n}).Serve(context.Background(), request0("GET", "/none/"))
		require.Equal(t, 503, a.Status, "a VM without a configuration cannot say that there is no route")
	})
}

// Guards against running a booking twice, and against 'not run' when it may
// have.
func TestNonIdempotentRequestIsRetriedOnlyIfItDidNotRun(t *testing.T) {
	for name, c := range map[string]struct {
		first  func(*http.Request) string
		status int
		sends  int
	}{
		"shed":            {always(shed), 200, 2},
		"other server":    {always(elsewise), 200, 2},
		"hung up":         {always(hangUp), 502, 1},
		"mute":            {always(mute), 504, 1},
		"failed":          {answering(500, "no"), 500, 1},
		"garbled":         {always("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx"), 502, 1},
		"foreign refusal": {answering(503, ""), 503, 1},
	} {
		t.Run(name, func(t *testing.T) {
			b := &backends{}
			var calls atomic.Int32
			either := func(r *http.Request) string {
				if calls.Add(1) == 1 {
					return c.first(r)
				}
				return answering(200, "ok")(r)
			}
			b.serve = every(either)
			run(t, b, configuration(), func(_ *Node, serve func(*ingress.Request) *ingress.Answer) {
				a := serve(request0("POST", "/book/"))
				require.Equal(t, c.status, a.Status)
				require.Len(t, b.seen(), c.sends)
				if a.Status == 503 {
					require.Equal(t, "seal", a.Header.Get("X-Server-Seal"), "the service's own answer, as it is")
				}
			})
		})
	}
}

// Guards against a log line that tells the failure of a look-up but not why no
// other server got it.
func TestReasonSaysWhyThereIsNoRetry(t *testing.T) {
	b := &backends{serve: every(answering(500, "mine"))}
	run(t, b, configuration(), func(n *Node, _ func(*ingress.Request) *ingress.Answer) {
		r := &request{node: n, view: n.view.Load(), in: request0("GET", "/look/")}
		require.Equal(t, 500, r.serve(context.Background()).Status)
		require.Equal(t, "failure answer of backend server; all attempts used", r.reason)
	})
}

// Guards against giving up a look-up that another server can answer, and
// against replacing a failure of the service by one of our own.
func TestIdempotentRequestIsRetried(t *testing.T) {
	for name, first := range map[string]func(*http.Request) string{
		"hung up": always(hangUp), "failed": answering(500, "no"), "shed": always(shed),
	} {
		t.Run(name, func(t *testing.T) {
			var calls atomic.Int32
			b := &backends{serve: every(func(r *http.Request) string {
				if calls.Add(1) == 1 {
					return first(r)
				}
				return answering(200, "ok")(r)
			})}
			run(t, b, configuration(), func(_ *Node, serve func(*ingress.Request) *ingress.Answer) {
				require.Equal(t, 200, serve(request0("GET", "/look/")).Status)
				require.Len(t, b.seen(), 2)
				require.NotEqual(t, b.seen()[0], b.seen()[1])
			})
		})
	}
	b := &backends{serve: every(answering(500, "mine"))}
	run(t, b, configuration(), func(_ *Node, serve func(*ingress.Request) *ingress.Answer) {
		a := serve(request0("GET", "/look/"))
		require.Equal(t, 500, a.Status)
		require.Equal(t, "mine", string(a.Body))
		require.Len(t, b.seen(), 2, "no more sends than the route allows")
	})
}

// Guards against holding a request beyond its route's time-out.
func TestRouteTimeout(t *testing.T) {
	run(t, &backends{serve: every(always(mute))}, configuration(), func(_ *Node, serve func(*ingress.Request) *ingress.Answer) {
		begin := time.Now()
		require.Equal(t, 504, serve(request0("GET", "/look/")).Status)
		require.LessOrEqual(t, time.Since(begin), 1500*time.Millisecond+answerSlack)
	})
}

// Guards against a request that runs outside its homes.
func TestHomeRegions(t *testing.T) {
	b := &backends{serve: every(answering(200, ""))}
	run(t, b, configuration(), func(_ *Node, serve func(*ingress.Request) *ingress.Answer) {
		for range 20 {
			require.Equal(t, 200, serve(request0("GET", "/homed/")).Status)
		}
		for _, s := range b.seen() {
			require.True(t, strings.HasPrefix(s, "far "), s)
		}
	})
	both := configuration(&steering.Account{Name: "t1", Keys: []string{"k1"}, Homes: []string{"north"}})
	b = &backends{serve: every(answering(200, ""))}
	run(t, b, both, func(_ *Node, serve func(*ingress.Request) *ingress.Answer) {
		require.Equal(t, 503, serve(request0("GET", "/homed/")).Status, "homes of route and account exclude each other")
		require.Empty(t, b.seen())
	})
}

// Guards against an account that exceeds its rate, against a Retry-After that
// is not true, and against charging for requests that reached no server.
func TestRate(t *testing.T) {
	limited := configuration(&steering.Account{Name: "t1", Keys: []string{"k1"}, Rate: 10, Burst: 10})
	b := &backends{serve: every(answering(200, ""))}
	run(t, b, limited, func(_ *Node, serve func(*ingress.Request) *ingress.Answer) {
		served := 0
		var a *ingress.Answer
		for range 60 {
			if a = serve(request0("GET", "/look/")); a.Status == 200 {
				served++
			}
		}
		require.Equal(t, 429, a.Status)
		require.LessOrEqual(t, float64(served), 10*1.1+20)
		require.Positive(t, served)
		wait, err := time.ParseDuration(a.Header.Get("Retry-After") + "s")
		require.NoError(t, err)
		time.Sleep(wait + time.Millisecond)
		require.Equal(t, 200, serve(request0("GET", "/look/")).Status)
	})
	b = &backends{serve: map[string]func(*http.Request) string{}}
	run(t, b, limited, func(n *Node, serve func(*ingress.Request) *ingress.Answer) {
		for range 100 {
			require.Equal(t, 503, serve(request0("GET", "/look/")).Status)
		}
	})
}

// Guards against sending on for a caller that has left, and against breaking
// off a booking that has begun.
func TestCallerLeaves(t *testing.T) {
	slow := func(r *http.Request) string { time.Sleep(time.Second); return answering(200, "")(r) }
	b := &backends{serve: every(slow)}
	run(t, b, configuration(), func(n *Node, _ func(*ingress.Request) *ingress.Answer) {
		for target, took := range map[string]time.Duration{"/look/": 100 * time.Millisecond, "/book/": time.Second} {
			ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
			begin := time.Now()
			method := map[string]string{"/look/": "GET", "/book/": "POST"}[target]
			(&handler{n}).Serve(ctx, request0(method, target))
			require.Equal(t, took, time.Since(begin), target)
			cancel()
		}
		require.Len(t, b.seen(), 2)
	})
	shedding := &backends{serve: every(func(*http.Request) string { time.Sleep(time.Second); return shed })}
	run(t, shedding, configuration(), func(n *Node, _ func(*ingress.Request) *ingress.Answer) {
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		(&handler{n}).Serve(ctx, request0("POST", "/book/"))
		require.Len(t, shedding.seen(), 1)
	})
}

// Guards against a request that a leaving VM takes and cannot finish, and
// against rejecting while callers cannot know that it leaves.
func TestLeavingVM(t *testing.T) {
	b := &backends{serve: every(answering(200, ""))}
	run(t, b, configuration(), func(n *Node, serve func(*ingress.Request) *ingress.Answer) {
		n.stopAt.Store(int64(n.now()))
		n.stopping.Store(true)
		require.Equal(t, 200, serve(request0("GET", "/look/")).Status)
		time.Sleep(4 * time.Second)
		require.Equal(t, 200, serve(request0("GET", "/look/")).Status, "it ends in time")
		time.Sleep(time.Second)
		a := serve(request0("GET", "/look/"))
		require.Equal(t, 503, a.Status)
		require.NotEmpty(t, a.Header.Get("Retry-After"))
		require.Len(t, b.seen(), 2)
	})
}

// Guards against a split that misses its weights.
func TestSplit(t *testing.T) {
	list := routes()
	list[0].Parts = []steering.Part{{Service: "desk", Weight: 3}, {Service: "none", Weight: 1}}
	config := steering.NewConfig(1, list, []*steering.Service{{Name: "desk"}, {Name: "none"}}, nil, steering.Limits{})
	b := &backends{serve: every(answering(200, ""))}
	run(t, b, config, func(_ *Node, serve func(*ingress.Request) *ingress.Answer) {
		counts := make(map[int]int)
		for range 100 {
			counts[serve(request0("GET", "/look/")).Status]++
		}
		require.InDelta(t, 75, counts[200], 1)
		require.InDelta(t, 25, counts[503], 1, "what a part cannot take is rejected, not moved")
	})
}

// Guards against headers of one connection that are handed on.
func TestConnectionHeaders(t *testing.T) {
	b := &backends{serve: every(func(r *http.Request) string {
		return "HTTP/1.1 200 OK\r\nX-Attempt-Id: id1\r\nX-Server-Seal: s\r\nConnection: X-Private\r\nX-Private: 1\r\n" +
			"Keep-Alive: timeout=5\r\nX-Public: 1\r\nContent-Length: 0\r\n\r\n"
	})}
	run(t, b, configuration(), func(_ *Node, serve func(*ingress.Request) *ingress.Answer) {
		a := serve(request0("GET", "/look/", "Connection", "X-Mine", "X-Mine", "1", "Te", "trailers"))
		require.Empty(t, a.Header.Get("X-Private"))
		require.Empty(t, a.Header.Get("Keep-Alive"))
		require.Equal(t, "1", a.Header.Get("X-Public"))
		require.Empty(t, b.last().Header.Get("X-Mine"))
		require.Empty(t, b.last().Header.Get("Te"))
	})
}
