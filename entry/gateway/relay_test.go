package gateway

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cassiawind/cassiawind/core/placement"
	"github.com/cassiawind/cassiawind/core/relay"
	"github.com/cassiawind/cassiawind/core/steering"
	"github.com/cassiawind/cassiawind/entry/ingress"
)

// slowly responds after the time that a server works on a request.
func slowly(r *http.Request) string {
	time.Sleep(150 * time.Millisecond)
	return respondWith(200, "ok")(r)
}

const (
	// loadInterval is the time between two requests to one VM. highLoadInterval is that
	// of a load which needs more connections.
	loadInterval, highLoadInterval = 25 * time.Millisecond, 8 * time.Millisecond
	// cutDetectionBound is the time after which a VM without links to the backend servers
	// has to serve its callers again: the shortest stable window of a deployment.
	cutDetectionBound = 3 * time.Second
)

// Guards against a VM without links that relays nothing for a time, because one relay has
// no usable server while the others do.
func TestOneRelayWithoutServersDoesNotEndRelaying(t *testing.T) {
	served := 0
	runFleet(t, slowly, fleetConfig(), []string{"vm-1", "vm-2", "vm-3", "vm-4"}, func(f *fleet) {
		f.loseLinks("vm-1")
		n := f.nodes["vm-2"]
		n.mu.Lock()
		for i := range fleetServers {
			server := &steering.Server{ID: fmt.Sprintf("s%d", i), Service: "desk"}
			n.picker.RequestFinished(n.now(), &placement.Request{Service: "desk"}, placement.Choice{Server: server}, placement.Misdirected, 0)
		}
		n.mu.Unlock()
		var callers sync.WaitGroup
		for range 40 {
			callers.Go(func() {
				if f.serve(context.Background(), "vm-1", "GET", "/look/x").Status == http.StatusOK {
					f.mu.Lock()
					served++
					f.mu.Unlock()
				}
			})
			time.Sleep(10 * time.Millisecond)
		}
		callers.Wait()
	})
	require.Equal(t, 40, served)
}

// Guards against callers of a VM that has lost its links to the backend servers and gets
// their requests rejected, although the other VMs reach the servers.
func TestVMWithoutLinksToBackendServersServesItsCallers(t *testing.T) {
	for name, state := range map[string]linkState{"connections hang": linksHang, "connections are reset": linksReset, "connections are refused": linksRefuse, "connections are aborted": linksAbort} {
		for cut := 1; cut <= 3; cut++ {
			t.Run(fmt.Sprintf("%s at %d of 4 VMs", name, cut), func(t *testing.T) {
				vms := []string{"vm-1", "vm-2", "vm-3", "vm-4"}
				var served map[string]int
				runFleet(t, slowly, fleetConfig(), vms, func(f *fleet) {
					f.load(80, loadInterval)
					for _, vm := range vms[:cut] {
						f.setLinks(vm, state)
					}
					f.load(int(cutDetectionBound/highLoadInterval), highLoadInterval)
					served = f.load(200, highLoadInterval)
				})
				for _, vm := range vms[:cut] {
					require.GreaterOrEqual(t, 3*served[vm], 2*served["vm-4"], "requests served by %s: %v", vm, served)
				}
			})
		}
	}
}

// Guards against a server that is suspended because a caller left while the connection to
// the server was being opened.
func TestCallerThatLeavesDuringConnectSuspendsNoServer(t *testing.T) {
	suspended := 0
	runFleet(t, slowly, fleetConfig(), []string{"vm-1"}, func(f *fleet) {
		f.setLinks("vm-1", linksHang)
		ctx, cancel := context.WithCancel(context.Background())
		time.AfterFunc(100*time.Millisecond, cancel)
		f.serve(ctx, "vm-1", "GET", "/look/x")
		n := f.nodes["vm-1"]
		n.mu.Lock()
		defer n.mu.Unlock()
		suspended, _ = n.picker.SuspendedServers("desk")
	})
	require.Zero(t, suspended)
}

// Guards against a VM that has lost its links to the servers of one service and rejects the
// requests for it, although other VMs reach them.
func TestVMWithoutLinksToOneServiceServesItsCallers(t *testing.T) {
	for name, state := range map[string]linkState{"connections hang": linksHang, "connections are reset": linksReset, "connections are refused": linksRefuse} {
		t.Run(name, func(t *testing.T) {
			const requests = 50
			served, lost := 0, true
			runFleet(t, slowly, fleetConfig(), []string{"vm-1", "vm-2"}, func(f *fleet) {
				f.spared = make(map[string]bool)
				for i := range fleetServers {
					f.spared[fmt.Sprintf("s%d", i)] = true
				}
				f.serve(context.Background(), "vm-1", "GET", "/hall/x")
				f.setLinks("vm-1", state)
				var callers sync.WaitGroup
				callers.Go(func() { f.load(300, loadInterval) })
				for i := range 300 {
					callers.Go(func() {
						if f.serve(context.Background(), "vm-1", "GET", "/hall/x").Status == http.StatusOK && i >= 300-requests {
							f.mu.Lock()
							served++
							f.mu.Unlock()
						}
					})
					time.Sleep(loadInterval)
				}
				callers.Wait()
				lost = f.nodes["vm-1"].links.Lost()
			})
			require.False(t, lost, "the other servers are reached")
			require.GreaterOrEqual(t, 3*served, 2*requests)
		})
	}
}

// Guards against lookups that wait until their timeout for a response that cannot come,
// because the links were lost while they were in progress.
func TestLookupsInProgressAreRelayedWhenLinksAreLost(t *testing.T) {
	const lookups = 8
	served := 0
	runFleet(t, slowly, fleetConfig(), []string{"vm-1", "vm-2"}, func(f *fleet) {
		f.load(40, loadInterval)
		var callers sync.WaitGroup
		var mu sync.Mutex
		for range lookups {
			callers.Go(func() {
				if f.serve(context.Background(), "vm-1", "GET", "/look/x").Status == http.StatusOK {
					mu.Lock()
					served++
					mu.Unlock()
				}
			})
		}
		time.Sleep(50 * time.Millisecond)
		f.setLinks("vm-1", linksHang)
		callers.Wait()
	})
	require.Equal(t, lookups, served)
}

// Guards against a fleet that rejects its callers because new connections to the servers
// are refused, while the open ones still work. The load needs more connections than are
// open, so that some are refused at each server.
func TestOpenConnectionsAreUsedWhileNewOnesAreRefused(t *testing.T) {
	const requests = 400
	var served map[string]int
	runFleet(t, slowly, fleetConfig(), []string{"vm-1", "vm-2"}, func(f *fleet) {
		f.load(200, highLoadInterval)
		for vm := range f.nodes {
			f.setLinks(vm, linksRefuse)
		}
		served = f.load(requests, highLoadInterval/2)
	})
	require.Len(t, served, 2)
	for vm, n := range served {
		require.GreaterOrEqual(t, n, requests*2/5, "requests served by %s", vm)
	}
}

// Guards against a relayed booking that runs twice, and against telling the caller that it
// did not run, when the relay or its response is lost.
func TestRelayedBookingWhoseResponseIsLost(t *testing.T) {
	var booking, lookup *ingress.Response
	var bookings, lookups int
	runFleet(t, slowly, fleetConfig(), []string{"vm-1", "vm-2", "vm-3", "vm-4"}, func(f *fleet) {
		f.loseLinks("vm-1")
		breakRelayConns := func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			for _, c := range f.relayConns {
				_ = c.Close()
			}
		}
		time.AfterFunc(100*time.Millisecond, breakRelayConns)
		booking = f.serve(context.Background(), "vm-1", "POST", "/book/x")
		bookings = len(f.backends.receivedRequests())
		time.AfterFunc(100*time.Millisecond, breakRelayConns)
		lookup = f.serve(context.Background(), "vm-1", "GET", "/look/x")
		lookups = len(f.backends.receivedRequests()) - bookings
	})
	require.Equal(t, http.StatusBadGateway, booking.Status, "the outcome is unknown")
	require.Equal(t, 1, bookings)
	require.Equal(t, http.StatusOK, lookup.Status, "an idempotent request goes through another relay")
	require.Equal(t, 2, lookups)
}

// Guards against requests that are sent around between VMs that all have lost their links,
// that are held, or whose rejection has no true Retry-After.
func TestNoRelayIsLeft(t *testing.T) {
	vms := []string{"vm-1", "vm-2", "vm-3", "vm-4", "vm-5", "vm-6"}
	var first, second *ingress.Response
	var took, retryAfter time.Duration
	calls := 0
	runFleet(t, slowly, fleetConfig(), vms, func(f *fleet) {
		for _, vm := range vms {
			f.loseLinks(vm)
		}
		begin := time.Now()
		first = f.serve(context.Background(), "vm-1", "POST", "/book/x")
		took = time.Since(begin)
		calls = len(f.relayConns)
		seconds, _ := strconv.ParseFloat(first.Header.Get("Retry-After"), 64)
		retryAfter = time.Duration(seconds * float64(time.Second))
		for _, vm := range vms {
			f.setLinks(vm, linksUp)
		}
		time.Sleep(2 * time.Second)
		second = f.serve(context.Background(), "vm-1", "POST", "/book/x")
		require.Len(t, f.backends.receivedRequests(), 1)
	})
	require.Equal(t, http.StatusServiceUnavailable, first.Status)
	require.Zero(t, took, "a rejection comes at once")
	require.LessOrEqual(t, calls, relay.MaxTries, "relays relay nothing")
	require.GreaterOrEqual(t, retryAfter, shedRetryAfter)
	require.LessOrEqual(t, retryAfter, time.Second)
	require.Equal(t, http.StatusOK, second.Status)
}

// Guards against VMs of earlier versions, which do not listen for relayed requests, that
// leave the outcome of a booking unknown.
func TestVMsOfEarlierVersionsRelayNothing(t *testing.T) {
	var statuses []int
	executed := 0
	runFleet(t, slowly, fleetConfig(), []string{"vm-1", "vm-2", "vm-3", "vm-4"}, func(f *fleet) {
		for _, vm := range []string{"vm-2", "vm-3"} {
			f.withoutRelay[joinHostPort(vmIP(vm), f.nodes[vm].relayPort())] = true
		}
		f.loseLinks("vm-1")
		for range 5 {
			statuses = append(statuses, f.serve(context.Background(), "vm-1", "POST", "/book/x").Status)
		}
		executed = len(f.backends.receivedRequests())
	})
	require.Equal(t, []int{200, 200, 200, 200, 200}, statuses)
	require.Equal(t, 5, executed)
}

// Guards against a relayed request that reaches its server changed or with the caller's
// key, and against a response that reaches the caller changed.
func TestRelayedRequestIsUnchanged(t *testing.T) {
	var response *ingress.Response
	var received *http.Request
	runFleet(t, respondWith(200, "hello"), fleetConfig(), []string{"vm-1", "vm-2"}, func(f *fleet) {
		f.loseLinks("vm-1")
		in := newRequest("PUT", "/look/%2Fx?y=1", "X-Tenant", "forged", "Accept", "text/plain", "Cassiawind-Relay", "forged")
		in.Body, in.ContentLength = []byte("body"), 4
		response = (&handler{f.nodes["vm-1"]}).Serve(context.Background(), in)
		received = f.backends.lastRequest()
	})
	require.Equal(t, 200, response.Status)
	require.Equal(t, "hello", string(response.Body))
	require.Equal(t, "seal", response.Header.Get("X-Server-Seal"))
	require.Empty(t, response.Header.Get("Cassiawind-Relay-Result"))
	require.Equal(t, "PUT /look/%2Fx?y=1", received.Method+" "+received.RequestURI)
	require.EqualValues(t, 4, received.ContentLength)
	require.Equal(t, "t1", received.Header.Get("X-Tenant"))
	require.Equal(t, "text/plain", received.Header.Get("Accept"))
	require.Equal(t, "id1", received.Header.Get("X-Attempt-Id"))
	require.True(t, strings.HasPrefix(received.Header.Get("X-Expect-Instance"), "s"))
	for _, name := range []string{"Authorization", "Cassiawind-Relay"} {
		require.Empty(t, received.Header.Get(name))
	}
}

// Guards against an account that gets more than its rate, or is charged twice, because its
// requests are relayed.
func TestRelayedRequestsCountOnce(t *testing.T) {
	account := &steering.Account{Name: "t1", Keys: []string{"k1"}, RatePerSecond: 10, Burst: 10}
	served := 0
	var elapsed time.Duration
	runFleet(t, respondWith(200, ""), fleetConfig(account), []string{"vm-1", "vm-2"}, func(f *fleet) {
		f.loseLinks("vm-1")
		begin := time.Now()
		defer func() { elapsed = time.Since(begin) }()
		for range 60 {
			if f.serve(context.Background(), "vm-1", "GET", "/look/x").Status == 200 {
				served++
			}
		}
	})
	require.LessOrEqual(t, float64(served), (10*elapsed.Seconds()+10)*1.1+20, "within %v", elapsed)
	require.GreaterOrEqual(t, served, 5)
}

// Guards against a request that leaves its home regions on the way to a relay.
func TestRelaysAreInHomeRegions(t *testing.T) {
	var homed, open *ingress.Response
	runFleet(t, slowly, fleetConfig(&steering.Account{Name: "t1", Keys: []string{"k1"}, HomeRegions: []string{"north"}}), []string{"vm-1", "vm-south"}, func(f *fleet) {
		f.loseLinks("vm-1")
		homed = f.serve(context.Background(), "vm-1", "GET", "/look/x")
	})
	runFleet(t, slowly, fleetConfig(), []string{"vm-1", "vm-south"}, func(f *fleet) {
		f.loseLinks("vm-1")
		open = f.serve(context.Background(), "vm-1", "GET", "/look/x")
	})
	require.Equal(t, 503, homed.Status)
	require.Equal(t, 200, open.Status)
}

// Guards against relayed requests that exceed the limit that a server names.
func TestRelayedRequestsKeepToNamedLimits(t *testing.T) {
	const limit = 2.0
	var mu sync.Mutex
	arrivals := make(map[string][]time.Time)
	limited := func(r *http.Request) string {
		mu.Lock()
		server := r.Header.Get("X-Expect-Instance")
		arrivals[server] = append(arrivals[server], time.Now())
		mu.Unlock()
		return strings.Replace(respondWith(200, "ok")(r), "\r\n", "\r\nServer-Limit: 2\r\n", 1)
	}
	start := time.Now()
	runFleet(t, limited, fleetConfig(), []string{"vm-1", "vm-2"}, func(f *fleet) {
		f.loseLinks("vm-1")
		start = time.Now()
		for time.Since(start) < 14*time.Second {
			reportTo(f.nodes["vm-2"], "vm-2")
			f.serve(context.Background(), "vm-1", "GET", "/look/x")
			time.Sleep(10 * time.Millisecond)
		}
	})
	used := 0
	for server, times := range arrivals {
		late := 0
		for _, at := range times {
			if at.Sub(start) >= 10*time.Second {
				late++
			}
		}
		used += late
		require.LessOrEqual(t, float64(late), 1.5*limit*4+5, "requests of server %s in 4 s", server)
	}
	require.Greater(t, used, fleetServers, "the servers are used up to their limits")
}

// Guards against checks of the links, relayed requests or any other cost while the links
// work.
func TestWorkingLinksCostNothing(t *testing.T) {
	checks, relayConns := uint64(0), 0
	runFleet(t, slowly, fleetConfig(), []string{"vm-1", "vm-2"}, func(f *fleet) {
		f.load(1000, loadInterval)
		for _, n := range f.nodes {
			n.mu.Lock()
			checks += n.linkChecks
			n.mu.Unlock()
		}
		relayConns = len(f.relayConns)
	})
	require.Zero(t, checks)
	require.Zero(t, relayConns)
}
