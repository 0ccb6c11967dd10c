package gateway

import (
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cassiawind/cassiawind/core/catalog"
	"github.com/cassiawind/cassiawind/core/exchange"
	"github.com/cassiawind/cassiawind/core/serverlimit"
	"github.com/cassiawind/cassiawind/core/steering"
	"github.com/cassiawind/cassiawind/entry/ingress"
)

// Guards against servers that get more requests than the limit that they name.
func TestServerGetsNoMoreThanItsNamedLimit(t *testing.T) {
	const limit, requestInterval, settleTime, window = 5, 25 * time.Millisecond, 4 * time.Second, 4 * time.Second
	start := time.Now()
	var mu sync.Mutex
	var arrivals []time.Duration
	limited := func(r *http.Request) string {
		mu.Lock()
		arrivals = append(arrivals, time.Since(start))
		mu.Unlock()
		return strings.Replace(respondWith(200, "ok")(r), "\r\n", "\r\nServer-Limit: 5\r\n", 1)
	}
	b := &standInBackends{handlers: map[string]func(*http.Request) string{"s1": limited, "s2": respondWith(200, "ok"), "far": respondWith(200, "ok")}}
	runInVirtualTime(t, b, testConfig(), func(n *Node, serve func(*ingress.Request) *ingress.Response) {
		start = time.Now()
		for time.Since(start) < 12*time.Second {
			reportToSelf(n)
			serve(newRequest("GET", "/look/x"))
			time.Sleep(requestInterval)
		}
	})
	require.Greater(t, arrivals[len(arrivals)-1], 10*time.Second, "the server is still used")
	for i, from := range arrivals {
		n := 0
		for _, at := range arrivals[i:] {
			if at-from < window {
				n++
			}
		}
		if from >= settleTime {
			require.LessOrEqual(t, n, int(1.5*limit*window.Seconds()+5), "requests in %v from %v", window, from)
		}
	}
}

// reportToSelf makes the node the only VM of its fleet, and its own hub.
func reportToSelf(n *Node) { reportTo(n, "vm-1") }

// reportTo makes a node, whose name is vm, the only VM of its fleet and its own hub.
func reportTo(n *Node, vm string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.now()
	n.peers.SetRoster([]exchange.Member{{Name: vm, Region: "north"}})
	n.peers.HandleReport(now, n.peers.Report(now, "north", nil, exchange.Work{}, true))
	for _, d := range n.peers.Digests(now) {
		n.handleMessage(now, peerMessage{Digest: &d})
	}
	n.updateActiveVMs(now)
}

// Guards against requests that are held, or rejected without a true Retry-After, when
// the only servers that may serve them name limits, and against a limit that outlives
// the responses that name it.
func TestRejectionWhileServersNameLimits(t *testing.T) {
	var ended atomic.Bool
	limited := func(r *http.Request) string {
		if ended.Load() {
			return respondWith(200, "ok")(r)
		}
		return strings.Replace(respondWith(200, "ok")(r), "\r\n", "\r\nServer-Limit: 2\r\n", 1)
	}
	b := &standInBackends{handlers: onAllServers(limited)}
	runInVirtualTime(t, b, testConfig(), func(n *Node, serve func(*ingress.Request) *ingress.Response) {
		reportToSelf(n)
		for range 3 {
			serve(newRequest("GET", "/look/x"))
		}
		start := time.Now()
		response := serve(newRequest("GET", "/look/x"))
		require.Equal(t, http.StatusServiceUnavailable, response.Status)
		require.Zero(t, time.Since(start), "a rejection comes at once")
		retryAfter, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
		require.NoError(t, err)
		time.Sleep(time.Duration(retryAfter * float64(time.Second)))
		reportToSelf(n)
		require.Equal(t, 200, serve(newRequest("GET", "/look/x")).Status, "after the Retry-After")

		ended.Store(true)
		time.Sleep(time.Second)
		reportToSelf(n)
		served := 0
		for range 50 {
			if serve(newRequest("GET", "/look/x")).Status == 200 {
				served++
			}
			time.Sleep(20 * time.Millisecond)
			reportToSelf(n)
		}
		require.GreaterOrEqual(t, served, 49)
	})
}

// Guards against two VMs that both grant requests to a server, and against a VM that
// keeps to a limit of which its owner knows that it has ended.
func TestOnlyTheOwnerGrantsRequests(t *testing.T) {
	b := &standInBackends{handlers: onAllServers(respondWith(200, "ok"))}
	runInVirtualTime(t, b, testConfig(), func(n *Node, _ func(*ingress.Request) *ingress.Response) {
		ask := func(limit serverlimit.Shared) limitGrant {
			n.mu.Lock()
			defer n.mu.Unlock()
			reply := n.handleMessage(n.now(), peerMessage{LimitRequest: &limitRequest{ID: 7, From: "127.0.0.1:1", Limit: limit}})
			require.Len(t, reply.replies, 1)
			grant := reply.replies[0].message.LimitGrant
			require.Equal(t, uint64(7), grant.ID)
			return *grant
		}
		known := serverlimit.Shared{Server: "s1", PerSecond: 10}
		require.False(t, ask(known).Granted, "without a digest, another VM may own the limit")
		reportToSelf(n)
		first := ask(known)
		require.False(t, first.Granted, "an earlier owner may still grant requests")
		require.Positive(t, first.WaitMS)
		time.Sleep(2500 * time.Millisecond)
		require.True(t, ask(known).Granted)
		require.False(t, ask(known).Granted)
		time.Sleep(time.Second)
		n.mu.Lock()
		n.peers.ServerLimits().NotNamed("s1", n.now())
		n.mu.Unlock()
		time.Sleep(time.Second)
		known.AgeMS = 5000
		ended := ask(known)
		require.True(t, ended.Granted)
		require.True(t, ended.Limit.Ended)
	})
}

// Guards against a limit that is taken for ended because of a response which does not say
// so: a failure, a rejection, a health check or the response of another server.
func TestOnlyASuccessEndsALimit(t *testing.T) {
	withoutLimit := map[string]func(*http.Request) string{
		"failure": respondWith(500, "no"), "shed": alwaysRespond(shed), "other server": alwaysRespond(misdirected),
		"malformed": func(r *http.Request) string {
			return strings.Replace(respondWith(200, "ok")(r), "\r\n", "\r\nServer-Limit: soon\r\n", 1)
		},
		"success": respondWith(200, "ok"),
	}
	for name, second := range withoutLimit {
		var requests atomic.Int32
		b := &standInBackends{handlers: map[string]func(*http.Request) string{"s1": func(r *http.Request) string {
			if r.URL.Path == "/health" || requests.Add(1) == 1 {
				return strings.Replace(respondWith(200, "ok")(r), "\r\n", "\r\nServer-Limit: 10\r\n", 1)
			}
			return second(r)
		}}}
		runInVirtualTime(t, b, testConfig(), func(n *Node, serve func(*ingress.Request) *ingress.Response) {
			n.mu.Lock()
			n.catalog.LoadServers(0, 2, []catalog.RowChange[steering.Server]{{Key: "s1", Position: 1, Value: &steering.Server{
				ID: "s1", Service: "desk", Address: "s1", FailureDomain: "a", Region: "north", Slots: 4,
			}}})
			n.publishView(0)
			n.mu.Unlock()
			reportToSelf(n)
			serve(newRequest("GET", "/look/x"))
			require.Len(t, n.peers.ServerLimits().Limits(), 1)
			time.Sleep(2500 * time.Millisecond)
			reportToSelf(n)
			serve(newRequest("POST", "/book/x"))
			require.EqualValues(t, 2, requests.Load(), name)
			require.Equal(t, name != "success", len(n.peers.ServerLimits().Limits()) == 1, name)
		})
	}
}
