package ingress

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cassiawind/cassiawind/entry/bodies"
)

// fakeHandler answers each request after the delay that its path states, and
// records what happened.
type fakeHandler struct {
	limits Limits
	// mu guards the fields below: requests are served concurrently.
	mu                 sync.Mutex
	bodies             []string
	cancelled          []string
	started            []string
	closeAfterResponse bool
}

func (h *fakeHandler) Limits() Limits { return h.limits }

func (h *fakeHandler) Concurrent(r *Request) bool { return r.Method == http.MethodGet }

func (h *fakeHandler) Reject(status int) *Response {
	return &Response{Status: status, Header: http.Header{}}
}

func (h *fakeHandler) Serve(ctx context.Context, r *Request) *Response {
	h.mu.Lock()
	h.started = append(h.started, r.Path)
	h.bodies = append(h.bodies, string(r.Body))
	h.mu.Unlock()
	d, err := time.ParseDuration(strings.TrimPrefix(r.Path, "/"))
	if err != nil {
		d = 0
	}
	select {
	case <-time.After(d):
	case <-ctx.Done():
		h.mu.Lock()
		h.cancelled = append(h.cancelled, r.Path)
		h.mu.Unlock()
	}
	return &Response{Status: 200, Header: http.Header{}, Body: []byte(r.Path), Close: h.closeAfterResponse}
}

func newFakeHandler() *fakeHandler {
	return &fakeHandler{limits: Limits{MaxHeaderBytes: 2048, MaxBodyBytes: 100, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}}
}

// pipeListener accepts one connection.
type pipeListener struct{ conns chan net.Conn }

func (l *pipeListener) Accept() (net.Conn, error) {
	c, ok := <-l.conns
	if !ok {
		return nil, net.ErrClosed
	}
	return c, nil
}
func (l *pipeListener) Close() error   { return nil }
func (l *pipeListener) Addr() net.Addr { return nil }

// runInVirtualTime serves one connection in virtual time, and checks that
// nothing of it is left at the end.
func runInVirtualTime(t *testing.T, h *fakeHandler, test func(s *Server, c net.Conn, br *bufio.Reader)) {
	t.Helper()
	synctest.Test(t, func(*testing.T) {
		s := NewServer(h, NewBodyMemory())
		l := &pipeListener{conns: make(chan net.Conn, 1)}
		client, server := net.Pipe()
		l.conns <- server
		go func() { _ = s.Serve(l) }()
		test(s, client, bufio.NewReader(client))
		_ = client.Close()
		close(l.conns)
		time.Sleep(time.Minute)
		conns, inFlight, _ := s.Activity()
		require.Zero(t, conns)
		require.Zero(t, inFlight)
	})
}

func send(c net.Conn, text string) {
	go func() { _, _ = io.WriteString(c, strings.ReplaceAll(text, "\n", "\r\n")) }()
}

func getRequest(path string) string { return "GET " + path + " HTTP/1.1\nHost: h\n\n" }

func receive(t *testing.T, br *bufio.Reader) (*http.Response, string) {
	t.Helper()
	r, err := http.ReadResponse(br, nil)
	require.NoError(t, err)
	body, err := io.ReadAll(r.Body)
	require.NoError(t, err)
	return r, string(body)
}

// Guards against responses in another order than the requests, and against
// serving pipelined requests one after the other.
func TestPipelinedRequests(t *testing.T) {
	runInVirtualTime(t, newFakeHandler(), func(_ *Server, c net.Conn, br *bufio.Reader) {
		begin := time.Now()
		send(c, getRequest("/300ms")+getRequest("/100ms")+getRequest("/200ms"))
		for _, want := range []string{"/300ms", "/100ms", "/200ms"} {
			_, body := receive(t, br)
			require.Equal(t, want, body)
		}
		require.Equal(t, 300*time.Millisecond, time.Since(begin))
	})
}

// Guards against a non-idempotent request that starts before the requests ahead
// of it are answered: their connection may still end.
func TestNonIdempotentRequestWaitsForEarlierOnes(t *testing.T) {
	h := newFakeHandler()
	runInVirtualTime(t, h, func(_ *Server, c net.Conn, br *bufio.Reader) {
		send(c, getRequest("/300ms")+"POST /b HTTP/1.1\nHost: h\nContent-Length: 2\n\nhi"+getRequest("/c"))
		time.Sleep(200 * time.Millisecond)
		h.mu.Lock()
		require.Equal(t, []string{"/300ms"}, h.started)
		h.mu.Unlock()
		for range 3 {
			receive(t, br)
		}
		h.mu.Lock()
		defer h.mu.Unlock()
		require.Equal(t, []string{"", "hi", ""}, h.bodies)
	})
}

// Guards against working for a caller that has disconnected, also if it has
// sent further requests whose bytes are waiting.
func TestCallerDisconnectCancelsRequests(t *testing.T) {
	h := newFakeHandler()
	runInVirtualTime(t, h, func(_ *Server, c net.Conn, _ *bufio.Reader) {
		send(c, getRequest("/10s")+getRequest("/11s"))
		time.Sleep(100 * time.Millisecond)
		_ = c.Close()
		time.Sleep(time.Millisecond)
		h.mu.Lock()
		defer h.mu.Unlock()
		require.ElementsMatch(t, []string{"/10s", "/11s"}, h.cancelled)
	})
}

// Guards against working for a caller that has disconnected after a request
// with "Connection: close".
func TestCallerDisconnectAfterItsLastRequestCancelsIt(t *testing.T) {
	h := newFakeHandler()
	runInVirtualTime(t, h, func(_ *Server, c net.Conn, _ *bufio.Reader) {
		send(c, "GET /10s HTTP/1.1\nHost: h\nConnection: close\n\n")
		time.Sleep(100 * time.Millisecond)
		_ = c.Close()
		time.Sleep(time.Millisecond)
		h.mu.Lock()
		defer h.mu.Unlock()
		require.Equal(t, []string{"/10s"}, h.cancelled)
	})
	runInVirtualTime(t, newFakeHandler(), func(_ *Server, c net.Conn, br *bufio.Reader) {
		send(c, "GET /1s HTTP/1.1\nHost: h\nConnection: close\n\n")
		r, body := receive(t, br)
		require.Equal(t, "/1s", body)
		require.True(t, r.Close)
	})
}

// Guards against requests that exceed the limits or break the protocol: each is
// rejected with its own status, and the connection is closed because the start
// of the next request is not known.
func TestLimits(t *testing.T) {
	for name, c := range map[string]struct {
		request string
		status  int
	}{
		"head too large":          {"GET / HTTP/1.1\nHost: h\nX: " + strings.Repeat("x", 4096) + "\n\n", 431},
		"body too large":          {"POST / HTTP/1.1\nHost: h\nContent-Length: 101\n\n", 413},
		"chunked body too large":  {"POST / HTTP/1.1\nHost: h\nTransfer-Encoding: chunked\n\n70\n" + strings.Repeat("x", 112) + "\n0\n\n", 413},
		"no request":              {"hello\n\n", 400},
		"two lengths":             {"POST / HTTP/1.1\nHost: h\nContent-Length: 1\nContent-Length: 2\n\nxx", 400},
		"no path":                 {"GET http://h/ HTTP/1.1\nHost: h\n\n", 400},
		"bad length":              {"POST / HTTP/1.1\nHost: h\nContent-Length: -1\n\n", 400},
		"unknown transfer coding": {"POST / HTTP/1.1\nHost: h\nTransfer-Encoding: gzip, chunked\n\n0\n\n", 400},
	} {
		t.Run(name, func(t *testing.T) {
			h := newFakeHandler()
			runInVirtualTime(t, h, func(_ *Server, nc net.Conn, br *bufio.Reader) {
				send(nc, c.request)
				r, _ := receive(t, br)
				require.Equal(t, c.status, r.StatusCode)
				require.True(t, r.Close)
				_, err := br.ReadByte()
				require.ErrorIs(t, err, io.EOF)
				h.mu.Lock()
				defer h.mu.Unlock()
				require.Empty(t, h.started)
			})
		})
	}
}

// Guards against request bodies that fill the memory of the process. Beyond the
// bound callers get status 503, and the memory of rejected requests is
// released.
func TestBodiesInMemoryAreBounded(t *testing.T) {
	h := newFakeHandler()
	runInVirtualTime(t, h, func(s *Server, c net.Conn, br *bufio.Reader) {
		fill := func(size int64) error {
			_, err := bodies.Read(zeros{}, size, maxBodyMemoryBytes, s.bodyMemory.Reserve(""))
			return err
		}
		require.NoError(t, fill(maxBodyMemoryBytes))
		require.ErrorIs(t, fill(bodies.ShortBytes+1), bodies.ErrMemoryFull, "the rest is for short bodies")
		for range shortBodyReserveBytes/bodies.ShortBytes - 1 {
			require.NoError(t, fill(bodies.ShortBytes))
		}
		require.NoError(t, fill(bodies.ShortBytes-10))
		send(c, "POST /a HTTP/1.1\nHost: h\nContent-Length: 10\n\n0123456789POST /b HTTP/1.1\nHost: h\nContent-Length: 11\n\n0123456789a")
		r, _ := receive(t, br)
		require.Equal(t, 200, r.StatusCode)
		r, _ = receive(t, br)
		require.Equal(t, 503, r.StatusCode)
		time.Sleep(time.Second)
		require.Equal(t, int64(maxBodyMemoryBytes+shortBodyReserveBytes-10), s.bodyMemory.Used())
	})
}

// zeros is an endless reader.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) { return len(p), nil }

// Guards against request smuggling, in which a part of a body is read as
// another request: a body has one end, whatever lengths the request states.
func TestNoRequestIsReadFromABody(t *testing.T) {
	h := newFakeHandler()
	runInVirtualTime(t, h, func(_ *Server, c net.Conn, br *bufio.Reader) {
		hidden := getRequest("/hidden")
		size := len(strings.ReplaceAll(hidden, "\n", "\r\n"))
		send(c, "POST /a HTTP/1.1\nHost: h\nContent-Length: "+itoa(size)+"\n\n"+hidden+getRequest("/next"))
		receive(t, br)
		_, body := receive(t, br)
		require.Equal(t, "/next", body)
		h.mu.Lock()
		defer h.mu.Unlock()
		require.Equal(t, []string{"/a", "/next"}, h.started)
	})
}

func itoa(n int) string {
	if n < 10 {
		return string(rune('0' + n))
	}
	return itoa(n/10) + itoa(n%10)
}

// Guards against a caller that sends its head too slowly and so keeps a
// connection forever.
func TestSlowHeadEndsTheConnection(t *testing.T) {
	runInVirtualTime(t, newFakeHandler(), func(_ *Server, c net.Conn, br *bufio.Reader) {
		begin := time.Now()
		send(c, "GET / HT")
		_, err := br.ReadByte()
		require.ErrorIs(t, err, io.EOF)
		require.Equal(t, 3*time.Second, time.Since(begin))
	})
}

// Guards against closing a connection that its caller may still reuse, and
// against keeping an idle one forever.
func TestIdleConnection(t *testing.T) {
	runInVirtualTime(t, newFakeHandler(), func(_ *Server, c net.Conn, br *bufio.Reader) {
		send(c, getRequest("/a"))
		receive(t, br)
		time.Sleep(12 * time.Second)
		send(c, getRequest("/b"))
		receive(t, br)
		begin := time.Now()
		_, err := br.ReadByte()
		require.ErrorIs(t, err, io.EOF)
		require.Equal(t, 15*time.Second+idleTimeoutMargin, time.Since(begin))
	})
}

// Guards against a planned stop that cuts off a request, and against callers
// whose responses do not say that the connection closes.
func TestDrain(t *testing.T) {
	runInVirtualTime(t, newFakeHandler(), func(s *Server, c net.Conn, br *bufio.Reader) {
		send(c, getRequest("/1s")+getRequest("/2s"))
		time.Sleep(100 * time.Millisecond)
		s.Drain()
		r, body := receive(t, br)
		require.Equal(t, "/1s", body)
		require.False(t, r.Close, "a later request of the connection is in progress")
		r, body = receive(t, br)
		require.Equal(t, "/2s", body)
		require.True(t, r.Close)
		_, err := br.ReadByte()
		require.ErrorIs(t, err, io.EOF)
	})
}

// Guards against a stop that leaves idle connections open or closes busy ones.
func TestClose(t *testing.T) {
	runInVirtualTime(t, newFakeHandler(), func(s *Server, c net.Conn, br *bufio.Reader) {
		send(c, getRequest("/1s"))
		time.Sleep(100 * time.Millisecond)
		s.Close()
		r, _ := receive(t, br)
		require.True(t, r.Close)
		_, err := br.ReadByte()
		require.ErrorIs(t, err, io.EOF)
	})
	runInVirtualTime(t, newFakeHandler(), func(s *Server, _ net.Conn, br *bufio.Reader) {
		time.Sleep(100 * time.Millisecond)
		s.Close()
		_, err := br.ReadByte()
		require.ErrorIs(t, err, io.EOF)
	})
}

// Guards against a planned stop that cuts off a request of which a part has arrived, and
// against one that cuts off a request whose bytes have arrived but were not read yet.
func TestRequestThatArrivesAtTheStopIsAnswered(t *testing.T) {
	runInVirtualTime(t, newFakeHandler(), func(s *Server, c net.Conn, br *bufio.Reader) {
		send(c, "POST /a HTTP/1.1\nHost: h\nContent-Length: 2\n\nh")
		time.Sleep(100 * time.Millisecond)
		s.Close()
		time.Sleep(100 * time.Millisecond)
		send(c, "i")
		r, body := receive(t, br)
		require.Equal(t, "/a", body)
		require.True(t, r.Close)
	})
	runInVirtualTime(t, newFakeHandler(), func(s *Server, c net.Conn, br *bufio.Reader) {
		send(c, getRequest("/a"))
		receive(t, br)
		time.Sleep(100 * time.Millisecond)
		s.Close()
		send(c, getRequest("/b"))
		r, body := receive(t, br)
		require.Equal(t, "/b", body)
		require.True(t, r.Close)
	})
}

// Guards against a planned stop that closes connections which were accepted after it
// without an answer to their request, and against one that waits for idle ones.
func TestConnectionAcceptedAfterTheStopIsAnswered(t *testing.T) {
	synctest.Test(t, func(*testing.T) {
		s := NewServer(newFakeHandler(), NewBodyMemory())
		l := &pipeListener{conns: make(chan net.Conn, 2)}
		go func() { _ = s.Serve(l) }()
		s.Close()
		client, server := net.Pipe()
		l.conns <- server
		time.Sleep(50 * time.Millisecond)
		send(client, getRequest("/a"))
		r, body := receive(t, bufio.NewReader(client))
		require.Equal(t, "/a", body)
		require.True(t, r.Close)
		_ = client.Close()
		idle, server := net.Pipe()
		l.conns <- server
		begin := time.Now()
		_, err := idle.Read(make([]byte, 1))
		require.ErrorIs(t, err, io.EOF)
		require.LessOrEqual(t, time.Since(begin), time.Second)
		close(l.conns)
		time.Sleep(time.Minute)
	})
}

// Guards against a request that is started while the process ends: a connection that is
// accepted before the last look at the connections is answered, and one after it is closed
// without being read, so that its caller can use another VM.
func TestNoRequestIsStartedAfterTheServerStopped(t *testing.T) {
	synctest.Test(t, func(*testing.T) {
		h := newFakeHandler()
		s := NewServer(h, NewBodyMemory())
		l := &pipeListener{conns: make(chan net.Conn, 2)}
		go func() { _ = s.Serve(l) }()
		s.Close()
		accepted, server := net.Pipe()
		l.conns <- server
		time.Sleep(time.Millisecond)
		s.Stop()
		conns, _, _ := s.Activity()
		require.Equal(t, 1, conns)
		send(accepted, getRequest("/a"))
		_, body := receive(t, bufio.NewReader(accepted))
		require.Equal(t, "/a", body)
		_ = accepted.Close()

		late, server := net.Pipe()
		l.conns <- server
		send(late, getRequest("/b"))
		_, err := late.Read(make([]byte, 1))
		require.ErrorIs(t, err, io.EOF)
		time.Sleep(time.Second)
		conns, _, _ = s.Activity()
		require.Zero(t, conns)
		require.Equal(t, []string{"/a"}, h.started)
		close(l.conns)
	})
}

// Guards against serving requests that follow the last response: callers send
// them again.
func TestNothingIsServedAfterTheLastResponse(t *testing.T) {
	h := newFakeHandler()
	h.closeAfterResponse = true
	runInVirtualTime(t, h, func(_ *Server, c net.Conn, br *bufio.Reader) {
		send(c, "POST /a HTTP/1.1\nHost: h\nContent-Length: 0\n\nPOST /b HTTP/1.1\nHost: h\nContent-Length: 0\n\n")
		r, _ := receive(t, br)
		require.True(t, r.Close)
		_, err := br.ReadByte()
		require.ErrorIs(t, err, io.EOF)
		h.mu.Lock()
		defer h.mu.Unlock()
		require.Equal(t, []string{"/a"}, h.started)
	})
}

// Guards against a request that is lost or misread because its connection had
// given its read buffer back, and against an idle connection that keeps the
// buffer.
func TestIdleConnectionReleasesItsBuffer(t *testing.T) {
	runInVirtualTime(t, newFakeHandler(), func(s *Server, c net.Conn, br *bufio.Reader) {
		for i := range 4 {
			send(c, getRequest("/"+itoa(i)))
			_, body := receive(t, br)
			require.Equal(t, "/"+itoa(i), body)
			time.Sleep(time.Duration(i) * bufferIdleTimeout)
		}
		synctest.Wait()
		s.mu.Lock()
		for conn := range s.conns {
			require.Nil(t, conn.br)
		}
		s.mu.Unlock()
		send(c, "POST /x HTTP/1.1\nHost: h\nContent-Length: 5\n\nhello"+getRequest("/y"))
		for _, want := range []string{"/x", "/y"} {
			_, body := receive(t, br)
			require.Equal(t, want, body)
		}
	})
}

// Guards against a first byte that is not counted, so that heads above the
// limit pass, and against a connection that stays open longer than its idle
// timeout.
func TestLimitsHoldWithoutABuffer(t *testing.T) {
	h := newFakeHandler()
	runInVirtualTime(t, h, func(_ *Server, c net.Conn, br *bufio.Reader) {
		time.Sleep(2 * bufferIdleTimeout)
		send(c, "GET / HTTP/1.1\nHost: h\nX: "+strings.Repeat("x", 2048)+"\n\n")
		r, _ := receive(t, br)
		require.Equal(t, 431, r.StatusCode)
	})
	runInVirtualTime(t, h, func(_ *Server, c net.Conn, br *bufio.Reader) {
		begin := time.Now()
		send(c, getRequest("/"))
		receive(t, br)
		_, err := br.ReadByte()
		require.Error(t, err)
		require.Equal(t, h.limits.IdleTimeout+idleTimeoutMargin, time.Since(begin))
	})
}
