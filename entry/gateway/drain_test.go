package gateway

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cassiawind/cassiawind/core/steering"
	"github.com/cassiawind/cassiawind/entry/ingress"
)

// patientConfig returns a configuration whose routes allow requests to take longer than
// the grace period.
func patientConfig() *steering.Config {
	routes := testRoutes()
	for _, r := range routes {
		r.Timeout = 10 * time.Second
	}
	limits := steering.Limits{MaxHeaderBytes: 16 << 10, MaxBodyBytes: 1 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 10 * time.Second}
	return steering.NewConfig(1, routes, []*steering.Service{{Name: "desk"}}, []*steering.Account{{Name: "t1", Keys: []string{"k1"}}}, limits)
}

// Guards against a request that is passed on late in the grace period, after it waited,
// and is cut off by the end of the process although another VM could have run it.
func TestRequestThatWaitedIsNotPassedOnLateInTheGracePeriod(t *testing.T) {
	const waits, works = 2500 * time.Millisecond, 2 * time.Second
	shedsLate := func(*http.Request) string { time.Sleep(waits); return shed }
	for method, target := range map[string]string{"POST": "/book/", "GET": "/look/"} {
		t.Run(target, func(t *testing.T) {
			b := &standInBackends{}
			first := true
			b.handlers = onAllServers(func(r *http.Request) string {
				if first {
					first = false
					return shedsLate(r)
				}
				time.Sleep(works)
				return respondWith(200, "")(r)
			})
			runInVirtualTime(t, b, patientConfig(), func(n *Node, serve func(*ingress.Request) *ingress.Response) {
				n.beginStop()
				time.Sleep(leaveNoticeDelay - 100*time.Millisecond)
				response := serve(newRequest(method, target, "X-Deadline-Ms", "8000"))
				require.Equal(t, http.StatusServiceUnavailable, response.Status)
				require.NotEmpty(t, response.Header.Get("Retry-After"))
				require.Len(t, b.receivedRequests(), 1, "the request is sent to no server that it cannot be awaited from")
			})
		})
	}
}
