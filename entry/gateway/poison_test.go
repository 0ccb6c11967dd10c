package gateway

import (
	"bufio"
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cassiawind/cassiawind/core/catalog"
	"github.com/cassiawind/cassiawind/core/poison"
	"github.com/cassiawind/cassiawind/core/steering"
	"github.com/cassiawind/cassiawind/entry/ingress"
	"github.com/cassiawind/cassiawind/entry/upstream"
	"github.com/cassiawind/cassiawind/platform"
	"github.com/cassiawind/cassiawind/platform/adapter"
)

const (
	// crashAfter is how long a server runs a request that crashes it, and restartTime how
	// long it is down.
	crashAfter  = 60 * time.Millisecond
	restartTime = 4 * time.Second
	// stableWindow is the shortest one of a deployment. Retries of a request count from
	// then on after it has crashed the third server, and maxCrashRetries are allowed.
	stableWindow    = 3 * time.Second
	maxCrashRetries = 3
)

// failEvery is the number of requests of which a failing server fails one.
const failEvery = 3

// crashingServers are the backend servers of a fleet. Each crashes when it runs a request
// whose target contains "poison", unless it is mended, and is back after restartTime.
type crashingServers struct {
	fleet *fleet

	mu     sync.Mutex
	mended bool
	// failing is set if servers answer one of failEvery requests with a failure at once.
	failing   bool
	requests  int
	downUntil map[string]time.Time
	// arrivals and crashes are the times of the requests that crash a server, by target.
	arrivals, crashes map[string][]time.Time
}

// respond is the handler of the server that the request names.
func (c *crashingServers) respond(r *http.Request) string {
	server := r.Header.Get("X-Expect-Instance")
	if r.URL.Path == "/health" {
		server = r.Host
	}
	if c.fails(r) {
		return respondWith(500, "no")(r)
	}
	if !strings.Contains(r.RequestURI, "poison") || c.isMended() {
		if r.URL.Path != "/health" {
			time.Sleep(crashAfter)
		}
		if c.isDown(server) {
			return hangUp
		}
		return strings.Replace(respondWith(200, "ok")(r), "\r\n", "\r\nX-Instance-Id: "+server+"\r\n", 1)
	}
	c.mu.Lock()
	c.arrivals[r.RequestURI] = append(c.arrivals[r.RequestURI], time.Now())
	c.mu.Unlock()
	time.Sleep(crashAfter)
	c.crash(server, r.RequestURI)
	return hangUp
}

// fails reports whether a request is answered with a failure before it runs.
func (c *crashingServers) fails(r *http.Request) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests++
	return c.failing && r.URL.Path != "/health" && c.requests%failEvery == 0
}

func (c *crashingServers) isMended() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.mended
}

func (c *crashingServers) isDown(server string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Now().Before(c.downUntil[server])
}

// crash ends a server: its connections are closed, and new ones are refused.
func (c *crashingServers) crash(server, target string) {
	if c.isDown(server) {
		return
	}
	c.mu.Lock()
	c.downUntil[server] = time.Now().Add(restartTime)
	c.crashes[target] = append(c.crashes[target], time.Now())
	c.mu.Unlock()
	c.fleet.closeConns(server)
}

// total returns the number of crashes.
func (c *crashingServers) total() (crashes int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, times := range c.crashes {
		crashes += len(times)
	}
	return crashes
}

// lateArrivals returns how often a request reached a server later than stableWindow after
// it had crashed the third one.
func (c *crashingServers) lateArrivals(target string) (late int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.crashes[target]) < 3 {
		return 0
	}
	for _, at := range c.arrivals[target] {
		if at.Sub(c.crashes[target][2]) > stableWindow {
			late++
		}
	}
	return late
}

// closeConns closes the connections of all VMs to a server.
func (f *fleet) closeConns(server string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.conns {
		if c.server == server {
			_ = c.Conn.Close()
		}
	}
}

// messageDelay is the time that a message between VMs takes.
const messageDelay = 12 * time.Millisecond

// exchangeMessages makes the VMs of a fleet report and deliver their messages, until ctx
// ends.
func (f *fleet) exchangeMessages(ctx context.Context, lost func(from, to string) bool) {
	byAddress := make(map[string]string)
	for vm := range f.nodes {
		byAddress[vmIP(vm)+":99999"] = vm
	}
	for vm, n := range f.nodes {
		n.sendDatagram = func(address string, datagram []byte) error {
			to := byAddress[address]
			if to == "" || lost != nil && lost(vm, to) {
				return nil
			}
			time.AfterFunc(messageDelay, func() { f.nodes[to].receiveDatagram(ctx, datagram) })
			return nil
		}
		go n.reportLoop(ctx)
	}
}

// settleTime is the time in which the VMs of a fleet get to know each other.
const settleTime = 5 * time.Second

// runCrashes runs a test with a fleet whose servers crash, after its VMs have known each
// other for some time.
func runCrashes(t *testing.T, vms int, lost func(from, to string) bool, test func(f *fleet, servers *crashingServers)) {
	t.Helper()
	names := make([]string, 0, vms)
	for i := range vms {
		names = append(names, fmt.Sprintf("vm-%d", i+1))
	}
	servers := &crashingServers{downUntil: make(map[string]time.Time), arrivals: make(map[string][]time.Time), crashes: make(map[string][]time.Time)}
	runFleet(t, servers.respond, fleetConfig(), names, func(f *fleet) {
		servers.fleet = f
		f.mu.Lock()
		f.isDown = servers.isDown
		f.mu.Unlock()
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		f.exchangeMessages(ctx, lost)
		time.Sleep(settleTime)
		test(f, servers)
	})
}

// poisonTarget is the target of a request that crashes servers.
const poisonTarget = "/look/poison"

// sendEvery sends a request at each interval, to one VM after the other, and returns how
// many got each status.
func (f *fleet) sendEvery(interval, duration time.Duration, newRequest func(i int) *ingress.Request) map[int]int {
	statuses := make(map[int]int)
	var mu sync.Mutex
	var callers sync.WaitGroup
	for i := range int(duration / interval) {
		vm := fmt.Sprintf("vm-%d", i%len(f.nodes)+1)
		callers.Go(func() {
			response := (&handler{f.nodes[vm]}).Serve(context.Background(), newRequest(i))
			mu.Lock()
			defer mu.Unlock()
			statuses[response.Status]++
		})
		time.Sleep(interval)
	}
	callers.Wait()
	return statuses
}

// Guards against a fleet that loses its servers to one request, which comes again and
// again at all VMs.
func TestRequestThatCrashesServersEndsFewServers(t *testing.T) {
	for name, request := range map[string]func() *ingress.Request{
		"lookup":  func() *ingress.Request { return newRequest("GET", poisonTarget) },
		"booking": func() *ingress.Request { return newRequest("POST", "/book/poison") },
	} {
		t.Run(name, func(t *testing.T) {
			var statuses map[int]int
			var served map[string]int
			target := request().RequestURI
			var servers *crashingServers
			runCrashes(t, 4, nil, func(f *fleet, s *crashingServers) {
				servers = s
				var callers sync.WaitGroup
				callers.Go(func() {
					statuses = f.sendEvery(400*time.Millisecond, 50*time.Second, func(int) *ingress.Request { return request() })
				})
				callers.Go(func() { served = f.load(2000, loadInterval) })
				callers.Wait()
			})
			require.LessOrEqual(t, servers.lateArrivals(target), maxCrashRetries, "retries later than the stable window after the third crash")
			require.LessOrEqual(t, servers.total(), 5, "servers that ended")
			require.Zero(t, statuses[http.StatusOK])
			for vm, n := range served {
				require.GreaterOrEqual(t, n, 1960, "other requests served by %s", vm)
			}
		})
	}
}

// Guards against a caller that varies the body of a request which crashes servers, and
// against callers of the same account and route that are rejected for it.
func TestVariedRequestThatCrashesServersEndsFewServers(t *testing.T) {
	var servers *crashingServers
	var others map[int]int
	runCrashes(t, 4, nil, func(f *fleet, s *crashingServers) {
		servers = s
		var callers sync.WaitGroup
		callers.Go(func() {
			f.sendEvery(400*time.Millisecond, 40*time.Second, func(i int) *ingress.Request {
				r := newRequest("POST", "/book/poison")
				r.Body = fmt.Append(nil, i)
				return r
			})
		})
		callers.Go(func() {
			others = f.sendEvery(50*time.Millisecond, 40*time.Second, func(i int) *ingress.Request { return newRequest("POST", fmt.Sprint("/book/", i%7)) })
		})
		callers.Wait()
	})
	require.LessOrEqual(t, servers.total(), 6, "servers that ended")
	require.GreaterOrEqual(t, others[http.StatusOK], 784, "other requests of the account that were served: %v", others)
}

// Guards against VMs that each lose servers to a request because they do not hear of each
// other.
func TestRequestThatCrashesServersEndsFewServersWhileMessagesAreLost(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 0))
	var mu sync.Mutex
	for name, lost := range map[string]func(from, to string) bool{
		"half of the messages": func(string, string) bool {
			mu.Lock()
			defer mu.Unlock()
			return rng.IntN(2) == 0
		},
		"all messages of the first hub": func(from, _ string) bool { return from == "vm-2" },
		"two halves":                    func(from, to string) bool { return (from <= "vm-2") != (to <= "vm-2") },
	} {
		t.Run(name, func(t *testing.T) {
			var servers *crashingServers
			runCrashes(t, 4, lost, func(f *fleet, s *crashingServers) {
				servers = s
				f.sendEvery(400*time.Millisecond, 2*time.Minute, func(int) *ingress.Request { return newRequest("GET", poisonTarget) })
			})
			require.LessOrEqual(t, servers.lateArrivals(poisonTarget), maxCrashRetries)
			require.LessOrEqual(t, servers.total(), 8, "servers that ended")
		})
	}
}

// Guards against a VM without links to the servers through which a quarantined request
// gets to a relay's servers.
func TestQuarantineHoldsForRelayedRequests(t *testing.T) {
	var servers *crashingServers
	var statuses map[int]int
	runCrashes(t, 4, nil, func(f *fleet, s *crashingServers) {
		servers = s
		f.loseLinks("vm-1")
		statuses = f.sendEvery(400*time.Millisecond, 30*time.Second, func(int) *ingress.Request { return newRequest("GET", poisonTarget) })
	})
	require.LessOrEqual(t, servers.lateArrivals(poisonTarget), maxCrashRetries)
	require.LessOrEqual(t, servers.total(), 5)
	require.Zero(t, statuses[http.StatusOK])
}

// Guards against a request that stays quarantined after the servers were mended, and
// against a rejection without a true Retry-After.
func TestMendedServersGetTheRequestAgain(t *testing.T) {
	runCrashes(t, 4, nil, func(f *fleet, s *crashingServers) {
		send := func(vm string) *ingress.Response {
			return (&handler{f.nodes[vm]}).Serve(context.Background(), newRequest("GET", poisonTarget))
		}
		require.Equal(t, http.StatusBadGateway, send("vm-1").Status, "the request may have run")
		time.Sleep(500 * time.Millisecond)
		begin := time.Now()
		response := send("vm-2")
		require.Equal(t, http.StatusServiceUnavailable, response.Status)
		require.Zero(t, time.Since(begin), "a rejection comes at once")
		retryAfter, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
		require.NoError(t, err)
		s.mu.Lock()
		s.mended = true
		s.mu.Unlock()
		time.Sleep(time.Duration(retryAfter * float64(time.Second)))
		require.Equal(t, http.StatusOK, send("vm-3").Status)
		time.Sleep(100 * time.Millisecond)
		for vm, n := range f.nodes {
			require.Equal(t, http.StatusOK, send(vm).Status)
			require.Empty(t, n.peers.Suspects().Quarantined())
		}
	})
}

// Guards against a fault of a connection or a planned stop that is taken for a crash.
func TestOnlyCrashesMakeRequestsSuspect(t *testing.T) {
	for name, c := range map[string]struct {
		// end ends the server that has a request in progress.
		end     func(f *fleet, s *crashingServers, server string)
		suspect bool
	}{
		"crash":            {func(_ *fleet, s *crashingServers, server string) { s.crash(server, "") }, true},
		"connection reset": {func(f *fleet, _ *crashingServers, server string) { f.closeConns(server) }, false},
		"leaving server": {func(f *fleet, s *crashingServers, server string) {
			n := f.nodes["vm-1"]
			leaving := *n.view.Load().Servers["desk"][0]
			for _, registered := range n.view.Load().Servers["desk"] {
				if registered.ID == server {
					leaving = *registered
				}
			}
			leaving.Draining = true
			n.mu.Lock()
			n.catalog.ApplyServer(n.now(), catalog.RowChange[steering.Server]{Key: server, Position: 2, Value: &leaving})
			n.publishView(n.now())
			n.mu.Unlock()
			s.crash(server, "")
		}, false},
		"server that has said that it leaves": {func(f *fleet, s *crashingServers, server string) {
			n := f.nodes["vm-1"]
			n.mu.Lock()
			n.picker.ServerLeaves(n.now(), &steering.Server{ID: server, Service: "desk"})
			n.mu.Unlock()
			s.crash(server, "")
		}, false},
		"lost links, connections reset": {func(f *fleet, _ *crashingServers, _ string) { f.setLinks("vm-1", linksReset) }, false},
		"lost links, connections abort": {func(f *fleet, _ *crashingServers, _ string) { f.setLinks("vm-1", linksAbort) }, false},
	} {
		t.Run(name, func(t *testing.T) {
			runCrashes(t, 2, nil, func(f *fleet, s *crashingServers) {
				go f.serve(context.Background(), "vm-1", "POST", "/book/x")
				time.Sleep(crashAfter / 2)
				received := f.backends.receivedRequests()
				server, _, _ := strings.Cut(received[len(received)-1], " ")
				c.end(f, s, server)
				time.Sleep(2 * time.Second)
				f.nodes["vm-1"].mu.Lock()
				defer f.nodes["vm-1"].mu.Unlock()
				require.Equal(t, c.suspect, !f.nodes["vm-1"].peers.Suspects().Empty())
			})
		})
	}
}

// Guards against a server that started again at its address before the VM could notice,
// and against a request with a short deadline that counts as completed.
func TestOtherServerAtTheAddressShowsACrash(t *testing.T) {
	var restarted atomic.Bool
	respond := func(r *http.Request) string {
		if restarted.Load() {
			return misdirected
		}
		restarted.Store(true)
		return hangUp
	}
	b := &standInBackends{handlers: map[string]func(*http.Request) string{"s1": respond}}
	runInVirtualTime(t, b, testConfig(), func(n *Node, serve func(*ingress.Request) *ingress.Response) {
		serve(newRequest("POST", "/book/x"))
		require.True(t, n.peers.Suspects().Empty(), "the server accepts connections")
		serve(newRequest("POST", "/book/y"))
		require.False(t, n.peers.Suspects().Empty())
	})
	require.True(t, isCompleted(&upstream.Response{Status: 400, ServerHeaders: adapter.ServerHeaders{Sealed: true}}))
	require.False(t, isCompleted(&upstream.Response{Status: 500, ServerHeaders: adapter.ServerHeaders{Sealed: true}}))
	require.False(t, isCompleted(&upstream.Response{Status: 504, ServerHeaders: adapter.ServerHeaders{Sealed: true}}))
	require.False(t, isCompleted(&upstream.Response{Status: 503, ServerHeaders: adapter.ServerHeaders{Sealed: true, NotRun: true}}))
	require.False(t, isCompleted(nil))
}

// Guards against a fleet that loses its servers to the same request again after all its
// VMs have restarted.
func TestQuarantineOutlivesARestartOfAllVMs(t *testing.T) {
	runCrashes(t, 4, nil, func(f *fleet, s *crashingServers) {
		poisoned := func(int) *ingress.Request { return newRequest("GET", poisonTarget) }
		f.sendEvery(400*time.Millisecond, 20*time.Second, poisoned)
		require.Equal(t, 3, s.total())
		for range 3 {
			f.stopNodes()
			f.startNodes(slices.Sorted(maps.Keys(f.nodes)))
			ctx, cancel := context.WithCancel(context.Background())
			f.exchangeMessages(ctx, nil)
			time.Sleep(time.Second)
			f.sendEvery(400*time.Millisecond, 10*time.Second, poisoned)
			cancel()
		}
		require.Equal(t, 3, s.total(), "servers that ended")
		require.LessOrEqual(t, f.quarantine.writes, 8)
	})
}

// Guards against quarantined requests that the store lost, or that it still has after they
// were released, and against an outage of the store after which they are not written.
func TestStoreHasTheQuarantinedRequests(t *testing.T) {
	runCrashes(t, 4, nil, func(f *fleet, s *crashingServers) {
		q := &f.quarantine
		set := func(change func()) int {
			q.mu.Lock()
			change()
			q.mu.Unlock()
			time.Sleep(time.Second)
			q.mu.Lock()
			defer q.mu.Unlock()
			return len(q.rows)
		}
		require.Zero(t, set(func() {}))
		require.Zero(t, q.writes, "a quiet day costs no write")
		q.failing = true
		f.serve(context.Background(), "vm-1", "GET", poisonTarget)
		require.Zero(t, set(func() {}))
		require.LessOrEqual(t, q.writes, 4, "writes of two hubs in a second of the outage")
		time.Sleep(maxBackoff)
		require.Equal(t, 1, set(func() { q.failing = false }), "after an outage")
		require.Equal(t, 1, set(func() { q.era, q.rows = 1, nil }), "after a restoration from a copy")
		s.mu.Lock()
		s.mended = true
		s.mu.Unlock()
		require.Equal(t, http.StatusOK, f.serve(context.Background(), "vm-2", "GET", poisonTarget).Status)
		require.Zero(t, set(func() {}), "after the release")
	})
}

// Guards against rows of another writer that are taken for quarantined requests, and
// against clocks that were set back.
func TestRowsOfQuarantinedRequestsAreChecked(t *testing.T) {
	now := time.UnixMilli(5000)
	row, err := decodeQuarantineRow([]byte(`{"written":3000,"suspect":{"f":"AAAAAAAAAAAAAAAAAAAAAA","c":[{"s":"s1","b":200,"a":100}]}}`), now)
	require.NoError(t, err)
	require.Equal(t, []poison.SharedCrash{{Server: "s1", SentMS: 2200, AgeMS: 2100}}, row.Crashes)
	row, err = decodeQuarantineRow([]byte(`{"written":9000,"suspect":{"f":"AAAAAAAAAAAAAAAAAAAAAA","c":[{"s":"s1","b":200,"a":100}]}}`), now)
	require.NoError(t, err)
	require.Equal(t, int64(100), row.Crashes[0].AgeMS)
	for _, raw := range []string{"", "{", `{"suspect":{"f":"short"}}`, `{"written":"soon"}`} {
		_, err := decodeQuarantineRow([]byte(raw), now)
		require.ErrorIs(t, err, ErrQuarantineRow, raw)
	}
}

// Guards against VMs that all try a quarantined request at the moment when it is due.
func TestOneVMTriesAQuarantinedRequest(t *testing.T) {
	runCrashes(t, 4, nil, func(f *fleet, s *crashingServers) {
		f.serve(context.Background(), "vm-1", "GET", poisonTarget)
		require.Equal(t, 2, s.total())
		time.Sleep(settleTime)
		var callers sync.WaitGroup
		for vm := range f.nodes {
			callers.Go(func() { f.serve(context.Background(), vm, "GET", poisonTarget) })
		}
		callers.Wait()
		require.Equal(t, 3, s.total())
	})
}

// Guards against lookups that were in progress at a crash and fail at the next one, because
// they are sent to the same server again as the request that caused it.
func TestLookupsThatWereInProgressAtACrashAreServed(t *testing.T) {
	const lookups, maxFailed = 15000, 15
	var statuses map[int]int
	runCrashes(t, 4, nil, func(f *fleet, _ *crashingServers) {
		var callers sync.WaitGroup
		callers.Go(func() {
			// Twenty requests that crash servers, one after the other.
			f.sendEvery(500*time.Millisecond, time.Minute, func(i int) *ingress.Request { return newRequest("GET", fmt.Sprint(poisonTarget, i/6)) })
		})
		callers.Go(func() {
			statuses = f.sendEvery(time.Minute/lookups, time.Minute, func(i int) *ingress.Request { return newRequest("GET", fmt.Sprint("/look/", i%4001)) })
		})
		callers.Wait()
	})
	require.GreaterOrEqual(t, statuses[http.StatusOK], lookups-maxFailed, "%v", statuses)
}

// Guards against a request that is released from quarantine because a server failed it
// before it could crash.
func TestFailureResponseReleasesNoRequest(t *testing.T) {
	var servers *crashingServers
	runCrashes(t, 4, nil, func(f *fleet, s *crashingServers) {
		servers = s
		s.mu.Lock()
		s.failing = true
		s.mu.Unlock()
		f.sendEvery(400*time.Millisecond, 2*time.Minute, func(int) *ingress.Request { return newRequest("GET", poisonTarget) })
	})
	require.LessOrEqual(t, servers.lateArrivals(poisonTarget), maxCrashRetries)
	require.LessOrEqual(t, servers.total(), 6)
}

// crashOnRequest stands in for a server that ends when it gets a request, and refuses
// connections until it is started again.
type crashOnRequest struct{ down atomic.Bool }

// DialContext implements upstream.Dialer.
func (c *crashOnRequest) DialContext(context.Context, string, string) (net.Conn, error) {
	if c.down.Load() {
		return nil, errRefused
	}
	client, server := net.Pipe()
	go func() {
		_, _ = http.ReadRequest(bufio.NewReader(server))
		c.down.Store(true)
		_ = server.Close()
	}()
	return client, nil
}

// Guards against a server that starts again under its id and crashes once more within
// seconds: its ended connections were those of its earlier start, so that no request was
// blamed for a further crash.
func TestServerThatCrashesAgainUnderItsIDIsBlamed(t *testing.T) {
	runInVirtualTime(t, &standInBackends{}, testConfig(), func(n *Node, serve func(*ingress.Request) *ingress.Response) {
		servers := &crashOnRequest{}
		n.pool = upstream.NewPool(servers, upstream.NewBodyMemory())
		for start, status := range []int{502, 502, 503} {
			position := platform.Position(10 + start)
			servers.down.Store(false)
			n.mu.Lock()
			n.catalog.LoadServers(n.now(), position, []catalog.RowChange[steering.Server]{{Key: "s1", Position: position, Value: &steering.Server{
				ID: "s1", Service: "desk", Address: "s1", FailureDomain: "north", Region: "north", Slots: 4, Incarnation: int64(1 + start),
			}}})
			n.publishView(n.now())
			n.mu.Unlock()
			require.Equal(t, status, serve(newRequest("POST", "/book/crash")).Status, "start %d", start)
			time.Sleep(1500 * time.Millisecond)
		}
		require.False(t, servers.down.Load(), "the third start got the request")
	})
}
