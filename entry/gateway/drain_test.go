package gateway

import (
	"bufio"
	"context"
	"fmt"
	"net"
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

// Guards against a process that ends at the moment at which the last request that it took
// is answered: a little load on the machine would cut that request off.
func TestLastRequestsAreAnsweredBeforeTheProcessEnds(t *testing.T) {
	for method, target := range map[string]string{"POST": "/book/", "GET": "/look/"} {
		t.Run(target, func(t *testing.T) {
			b := &standInBackends{handlers: onAllServers(alwaysRespond(unresponsive))}
			runInVirtualTime(t, b, patientConfig(), func(n *Node, _ func(*ingress.Request) *ingress.Response) {
				l := &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
				go func() { _ = n.ingress.Serve(l) }()
				start := time.Now()
				drained := make(chan time.Duration, 1)
				go func() {
					n.drain(context.Background())
					drained <- time.Since(start)
				}()
				time.Sleep(3 * time.Second)
				answers := make(chan time.Duration, 40)
				var timeouts []int
				for ms := 2000; ms <= 3000; ms += 50 {
					timeouts = append(timeouts, ms)
				}
				for _, ms := range timeouts {
					c, err := l.dial()
					require.NoError(t, err)
					go func() {
						defer c.Close()
						_, _ = fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: a%d\r\nX-Deadline-Ms: %d\r\nAuthorization: Bearer k1\r\nContent-Length: 0\r\n\r\n", method, target, ms, ms)
						response, err := http.ReadResponse(bufio.NewReader(c), nil)
						if err == nil && response.StatusCode >= http.StatusServiceUnavailable {
							answers <- time.Since(start)
						}
					}()
				}
				require.Less(t, <-drained, n.bounds.Load().GracePeriod)
				time.Sleep(time.Second)
				require.Len(t, answers, len(timeouts), "each request that was read is answered")
				var last time.Duration
				for range timeouts {
					last = max(last, <-answers)
				}
				require.LessOrEqual(t, last, n.bounds.Load().GracePeriod-killMargin-finalWriteMargin)
				require.NoError(t, l.Close())
			})
		})
	}
}
