package gateway

import (
	"context"
	"maps"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"github.com/cassiawind/cassiawind/core/catalog"
	"github.com/cassiawind/cassiawind/core/httpsyntax/httpsyntaxtest"
	"github.com/cassiawind/cassiawind/core/relay"
	"github.com/cassiawind/cassiawind/core/steering"
	"github.com/cassiawind/cassiawind/entry/ingress"
)

// responseFields are the header lines of each response to a request of newRequest, also of one
// that was relayed.
const responseFields = "X-Attempt-Id: id1\nX-Server-Seal: seal\nX-Instance-Id: s1\nCassiawind-Relay-Result: {}"

// invalidResponses returns responses that are not valid HTTP/1.1.
func invalidResponses(body string) map[string]string {
	responses := httpsyntaxtest.InvalidStatusLines(responseFields, body)
	maps.Copy(responses, httpsyntaxtest.InvalidFields(responseFields, body))
	return responses
}

// newNetworkNode returns a node that reaches its backend servers over the network.
func newNetworkNode(addresses map[string]string) *Node {
	n := newNode(testSettings(), logr.Discard(), nil, nil)
	n.uptime = func() time.Duration { return n.now() + time.Second }
	n.mu.Lock()
	defer n.mu.Unlock()
	n.catalog.ApplyConfig(testConfig())
	n.catalog.MarkOperatorLoaded()
	var rows []catalog.RowChange[steering.Server]
	for id, address := range addresses {
		rows = append(rows, catalog.RowChange[steering.Server]{Key: id, Position: 1, Value: &steering.Server{
			ID: id, Service: "desk", Address: address, FailureDomain: "a", Region: "north", Slots: 4,
		}})
	}
	n.catalog.LoadServers(0, 1, rows)
	n.catalog.LoadVMs(0, 1, nil)
	n.publishView(0)
	return n
}

// countedText starts a server that answers with a text and counts the requests.
func countedText(t *testing.T, text string) (address string, requests *atomic.Int32) {
	requests = new(atomic.Int32)
	return httpsyntaxtest.ServeText(t, func(*http.Request) string {
		requests.Add(1)
		return text
	}), requests
}

// Guards against a response that is not valid HTTP and reaches a caller: a lookup is answered by
// another server, and the outcome of a booking is unknown.
func TestInvalidResponsesReachNoCaller(t *testing.T) {
	for name, text := range invalidResponses("hi") {
		t.Run(name, func(t *testing.T) {
			broken, requests := countedText(t, text)
			other, _ := countedText(t, "HTTP/1.1 200 OK\r\nX-Attempt-Id: id1\r\nConnection: close\r\nContent-Length: 5\r\n\r\nother")
			n := newNetworkNode(map[string]string{"s1": broken, "s2": other})
			serve := func(in *ingress.Request) *ingress.Response {
				response := (&handler{n}).Serve(context.Background(), in)
				response.Done()
				return response
			}
			for range 20 {
				response := serve(newRequest("GET", "/look/"))
				require.Equal(t, "other", string(response.Body), "status %d", response.Status)
			}
			require.Positive(t, requests.Load(), "the server was tried")
			n = newNetworkNode(map[string]string{"s1": broken})
			before := requests.Load()
			response := serve(newRequest("POST", "/book/"))
			require.Equal(t, http.StatusBadGateway, response.Status, "the outcome is unknown")
			require.Empty(t, response.Header.Get("Retry-After"))
			require.Equal(t, before+1, requests.Load(), "the booking was sent once")
		})
	}
}

// Guards against a response of a relay that is not valid HTTP and reaches the caller.
func TestInvalidResponseOfARelay(t *testing.T) {
	responses := invalidResponses("hi")
	valid := respondWith(200, "hi")(newRequest("GET", "/").Request)
	responses["valid"] = valid[:len(valid)-len("\r\n\r\nhi")] + "\r\nCassiawind-Relay-Result: {}\r\n\r\nhi"
	for name, text := range responses {
		t.Run(name, func(t *testing.T) {
			address, _ := countedText(t, text)
			n := newNetworkNode(nil)
			host, port, err := net.SplitHostPort(address)
			require.NoError(t, err)
			relayPort, err := strconv.Atoi(port)
			require.NoError(t, err)
			n.settings.PeerPort = relayPort - 1
			through := func(in *ingress.Request) (*ingress.Response, relay.Outcome) {
				r := &request{node: n, view: n.view.Load(), incoming: in, deadline: time.Now().Add(2 * time.Second)}
				r.callerHeaders.AttemptID = "id1"
				r.route = n.view.Load().Config.Match("h", in.Path)
				r.selectServiceAndRegion()
				defer r.releaseBodies()
				return r.relayThrough(context.Background(), &steering.VM{Name: "vm-2", Region: "north", PeerAddress: joinHostPort(host, relayPort-1)})
			}
			response, outcome := through(newRequest("GET", "/look/"))
			if name == "valid" {
				require.Equal(t, "hi", string(response.Body))
				return
			}
			require.Nil(t, response, "another relay may serve the lookup")
			require.Equal(t, relay.Lost, outcome)
			response, outcome = through(newRequest("POST", "/book/"))
			require.Equal(t, http.StatusBadGateway, response.Status, "the outcome is unknown")
			require.Equal(t, relay.Lost, outcome)
		})
	}
}

// Guards against a health check that takes a response which is not valid HTTP for that of a
// server in good health.
func TestInvalidResponseToAHealthCheck(t *testing.T) {
	responses := invalidResponses("hi")
	maps.DeleteFunc(responses, func(_, text string) bool { return text[9:12] != "200" })
	responses["valid"] = "HTTP/1.1 200 OK\r\nX-Instance-Id: s1\r\nX-Server-Load: 1,0,4\r\nContent-Length: 0\r\n\r\n"
	for name, text := range responses {
		t.Run(name, func(t *testing.T) {
			address, _ := countedText(t, text)
			n := newNetworkNode(map[string]string{"s1": address})
			in := newRequest("GET", "/look/")
			response := (&handler{n}).Serve(context.Background(), in)
			response.Done()
			suspended := func() int {
				n.mu.Lock()
				defer n.mu.Unlock()
				count, _ := n.picker.SuspendedServers("desk")
				return count
			}
			for range 10 {
				(&handler{n}).Serve(context.Background(), newRequest("POST", "/book/")).Done()
			}
			require.Equal(t, 1, suspended())
			n.probe(context.Background(), n.view.Load().Servers["desk"][0])
			require.Equal(t, name == "valid", suspended() == 0)
		})
	}
}

// Guards against a response of a hub that is not valid HTTP and whose rows are used.
func TestInvalidResponseOfAHub(t *testing.T) {
	read := func(t *testing.T, text string) error {
		address, _ := countedText(t, text)
		return newNetworkNode(nil).readFromHub(context.Background(), address)
	}
	for name, text := range invalidResponses("{}") {
		t.Run(name, func(t *testing.T) { require.ErrorIs(t, read(t, text), ErrHubRead) })
	}
	for name, valid := range httpsyntaxtest.ValidFields(responseFields, "{}") {
		t.Run(name, func(t *testing.T) { require.NoError(t, read(t, valid.Text)) })
	}
}
