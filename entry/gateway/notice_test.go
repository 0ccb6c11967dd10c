package gateway

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cassiawind/cassiawind/core/catalog"
	"github.com/cassiawind/cassiawind/core/placement"
	"github.com/cassiawind/cassiawind/core/steering"
	"github.com/cassiawind/cassiawind/entry/ingress"
	"github.com/cassiawind/cassiawind/platform"
)

// withHeader returns a handler whose responses have a header in addition.
func withHeader(header string, respond func(*http.Request) string) func(*http.Request) string {
	return func(r *http.Request) string { return strings.Replace(respond(r), "\r\n", "\r\n"+header+"\r\n", 1) }
}

// received counts the requests that a server got.
func (b *standInBackends) receivedBy(server string) (n int) {
	for _, request := range b.receivedRequests() {
		if strings.HasPrefix(request, server+" ") {
			n++
		}
	}
	return n
}

// register writes the registration of a server of the service desk, or removes it.
func register(n *Node, position platform.Position, id string, incarnation int64, present bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	change := catalog.RowChange[steering.Server]{Key: id, Position: position}
	if present {
		change.Value = &steering.Server{ID: id, Service: "desk", Address: id, FailureDomain: "north", Region: "north", Slots: 4, Incarnation: incarnation}
	}
	n.catalog.ApplyServer(n.now(), change)
	n.publishView(n.now())
}

// Guards against requests to a server that has said in a response that it leaves, while
// the store does not say so or has its registration again.
func TestLeavingServerGetsNoMoreRequests(t *testing.T) {
	leaving := withHeader("Server-Leaving: 1", respondWith(200, "ok"))
	for name, first := range map[string]func(*http.Request) string{
		"success": leaving, "failure": withHeader("Server-Leaving: 1", respondWith(500, "no")), "rejection": withHeader("Server-Leaving: 1", alwaysRespond(shed)),
	} {
		t.Run(name, func(t *testing.T) {
			b := &standInBackends{handlers: map[string]func(*http.Request) string{"s1": first, "s2": respondWith(200, "ok"), "far": respondWith(200, "ok")}}
			runInVirtualTime(t, b, testConfig(), func(n *Node, serve func(*ingress.Request) *ingress.Response) {
				register(n, 5, "s1", 7, true)
				load := func() {
					for range 100 {
						serve(newRequest("GET", "/look/x"))
						time.Sleep(20 * time.Millisecond)
					}
				}
				load()
				require.Equal(t, 1, b.receivedBy("s1"))
				register(n, 6, "s1", 7, false)
				register(n, 7, "s1", 7, true)
				load()
				require.Equal(t, 1, b.receivedBy("s1"), "the registration is back")
				register(n, 8, "s1", 8, true)
				b.handlers["s1"] = respondWith(200, "ok")
				load()
				require.Greater(t, b.receivedBy("s1"), 1, "a later start of the server")
			})
		})
	}
}

// Guards against a leaving server that gets requests from a VM again which had reached it
// through a relay.
func TestLeavingServerIsKnownFromRelayedResponses(t *testing.T) {
	var leaving atomic.Bool
	var mu sync.Mutex
	left := make(map[string]bool)
	late := 0
	respond := func(r *http.Request) string {
		server := r.Header.Get("X-Expect-Instance")
		mu.Lock()
		defer mu.Unlock()
		if left[server] && !leaving.Load() {
			late++
		}
		if !leaving.Load() || server == "" {
			return respondWith(200, "ok")(r)
		}
		left[server] = true
		return withHeader("Server-Leaving: 1", respondWith(200, "ok"))(r)
	}
	runFleet(t, respond, fleetConfig(), []string{"vm-1", "vm-2"}, func(f *fleet) {
		f.loseLinks("vm-1")
		leaving.Store(true)
		for range 3 {
			require.Equal(t, http.StatusOK, f.serve(context.Background(), "vm-1", "GET", "/look/x").Status)
		}
		leaving.Store(false)
		f.setLinks("vm-1", linksUp)
		time.Sleep(10 * time.Second)
		for i := range 200 {
			f.serve(context.Background(), "vm-1", "GET", fmt.Sprint("/look/", i))
		}
	})
	require.Len(t, left, 3)
	require.Zero(t, late)
}

// Guards against requests and health checks that reach a server before the end of the time
// for which it wants none, and against a server that is not used after it.
func TestServerThatAsksForAPauseGetsNothing(t *testing.T) {
	const pause = 3 * time.Second
	start, paused := time.Now(), time.Duration(0)
	var mu sync.Mutex
	var arrivals []time.Duration
	busy := func(r *http.Request) string {
		mu.Lock()
		defer mu.Unlock()
		now := time.Since(start)
		arrivals = append(arrivals, now)
		if now < paused || paused == 0 {
			paused = now + pause
			return withHeader("Retry-After: 3.0", alwaysRespond(shed))(r)
		}
		return withHeader("X-Instance-Id: s1", respondWith(200, "ok"))(r)
	}
	b := &standInBackends{handlers: map[string]func(*http.Request) string{"s1": busy, "s2": respondWith(200, "ok"), "far": respondWith(200, "ok")}}
	runInVirtualTime(t, b, testConfig(), func(n *Node, serve func(*ingress.Request) *ingress.Response) {
		start = time.Now()
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go n.tickLoop(ctx)
		for i := range 400 {
			require.Equal(t, 200, serve(newRequest("GET", "/look/x")).Status)
			if i == 50 {
				// A suspended server is probed, unless it has asked for a pause.
				n.mu.Lock()
				s1 := &steering.Server{ID: "s1", Service: "desk"}
				n.picker.RequestFinished(n.now(), &placement.Request{Service: "desk"}, placement.Choice{Server: s1}, placement.Unreachable, 0)
				n.mu.Unlock()
			}
			time.Sleep(20 * time.Millisecond)
		}
		b.handlers["s2"] = alwaysRespond(shed)
		require.Equal(t, 200, serve(newRequest("GET", "/look/x")).Status, "the server is used after the pause")
	})
	require.Less(t, arrivals[0], time.Second)
	require.Greater(t, len(arrivals), 1)
	require.GreaterOrEqual(t, arrivals[1]-arrivals[0], pause)
}

// Guards against requests that are held, or rejected without a true Retry-After, while all
// servers want none.
func TestRejectionWhileAllServersAskForAPause(t *testing.T) {
	for _, text := range []string{"2", "2.0", " 2"} {
		var pausing atomic.Bool
		pausing.Store(true)
		b := &standInBackends{handlers: onAllServers(func(r *http.Request) string {
			if pausing.Load() {
				return withHeader("Retry-After: "+text, alwaysRespond(shed))(r)
			}
			return respondWith(200, "ok")(r)
		})}
		runInVirtualTime(t, b, testConfig(), func(_ *Node, serve func(*ingress.Request) *ingress.Response) {
			for range 3 {
				serve(newRequest("GET", "/look/x"))
			}
			received := len(b.receivedRequests())
			begin := time.Now()
			response := serve(newRequest("GET", "/look/x"))
			require.Equal(t, http.StatusServiceUnavailable, response.Status)
			require.Zero(t, time.Since(begin), "a rejection comes at once")
			require.Len(t, b.receivedRequests(), received)
			retryAfter, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
			require.NoError(t, err)
			require.InDelta(t, 2, retryAfter, 0.01)
			pausing.Store(false)
			time.Sleep(time.Duration(retryAfter * float64(time.Second)))
			require.Equal(t, http.StatusOK, serve(newRequest("GET", "/look/x")).Status)
		})
	}
}

// Guards against health checks that reach a server which has rejected one and wants none.
func TestPauseThatAHealthCheckBrings(t *testing.T) {
	var probes atomic.Int32
	b := &standInBackends{handlers: map[string]func(*http.Request) string{
		"s1": func(r *http.Request) string {
			probes.Add(1)
			return withHeader("Retry-After: 5", alwaysRespond(shed))(r)
		}, "s2": respondWith(200, "ok"), "far": respondWith(200, "ok"),
	}}
	runInVirtualTime(t, b, testConfig(), func(n *Node, _ func(*ingress.Request) *ingress.Response) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go n.tickLoop(ctx)
		n.mu.Lock()
		s1 := &steering.Server{ID: "s1", Service: "desk"}
		n.picker.RequestFinished(n.now(), &placement.Request{Service: "desk"}, placement.Choice{Server: s1}, placement.Unreachable, 0)
		n.mu.Unlock()
		time.Sleep(4 * time.Second)
	})
	require.EqualValues(t, 1, probes.Load())
}

// Guards against a pause that is forgotten when the registration of the server, which had
// started again before it asked for the pause, is read.
func TestPauseOutlastsALaterRegistration(t *testing.T) {
	b := &standInBackends{handlers: map[string]func(*http.Request) string{
		"s1": withHeader("Retry-After: 5", alwaysRespond(shed)), "s2": respondWith(200, "ok"), "far": respondWith(200, "ok"),
	}}
	runInVirtualTime(t, b, testConfig(), func(n *Node, serve func(*ingress.Request) *ingress.Response) {
		register(n, 5, "s1", 7, true)
		for range 50 {
			serve(newRequest("GET", "/look/x"))
			time.Sleep(20 * time.Millisecond)
		}
		require.Equal(t, 1, b.receivedBy("s1"))
		register(n, 6, "s1", 8, true)
		for range 50 {
			serve(newRequest("GET", "/look/x"))
			time.Sleep(20 * time.Millisecond)
		}
		require.Equal(t, 1, b.receivedBy("s1"))
	})
}
