package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
)

// scripted is a backend server whose connections follow scripts, one each.
type scripted struct {
	scripts []func(c net.Conn, br *bufio.Reader)
	dialed  int
}

func (s *scripted) DialContext(context.Context, string, string) (net.Conn, error) {
	if s.dialed >= len(s.scripts) {
		return nil, errors.New("refused")
	}
	client, server := net.Pipe()
	script := s.scripts[s.dialed]
	s.dialed++
	go func() {
		defer server.Close()
		script(server, bufio.NewReader(server))
	}()
	return client, nil
}

// read reads one request and returns its id.
func read(br *bufio.Reader) string {
	r, err := http.ReadRequest(br)
	if err != nil {
		return ""
	}
	_, _ = io.Copy(io.Discard, r.Body)
	return r.Header.Get("X-Attempt-Id")
}

func write(c net.Conn, text string) { _, _ = io.WriteString(c, strings.ReplaceAll(text, "\n", "\r\n")) }

func ok(id, body string) string {
	return "HTTP/1.1 200 OK\nX-Attempt-Id: " + id + "\nX-Server-Seal: s\nContent-Length: " + itoa(len(body)) + "\n\n" + body
}

func itoa(n int) string { return string(rune('0' + n)) }

func call(id string) *Call {
	return &Call{
		ServerID: "s1", Address: "x", Method: "GET", Target: "/a?b=c", Host: "h", Header: http.Header{"X-Attempt-Id": {id}},
		AttemptID: id, Idempotent: true, Deadline: time.Now().Add(2 * time.Second),
	}
}

// run runs a test in virtual time with a server that follows scripts.
func run(t *testing.T, test func(p *Pool, s *scripted), scripts ...func(c net.Conn, br *bufio.Reader)) {
	t.Helper()
	synctest.Test(t, func(*testing.T) {
		s := &scripted{scripts: scripts}
		p := NewPool(s)
		test(p, s)
		p.CloseIdle("s1")
		// Longer than any script sleeps.
		time.Sleep(time.Minute)
	})
}

// Guards against a new connection for each request.
func TestConnectionIsReused(t *testing.T) {
	run(t, func(p *Pool, s *scripted) {
		for _, id := range []string{"a", "b"} {
			got, trace, err := p.Do(context.Background(), call(id))
			require.NoError(t, err)
			require.Equal(t, "hi", string(got.Body))
			require.True(t, got.ServerHeaders.Sealed)
			require.True(t, trace.Sent)
		}
		require.Equal(t, 1, s.dialed)
	}, func(c net.Conn, br *bufio.Reader) {
		for id := read(br); id != ""; id = read(br) {
			write(c, ok(id, "hi"))
		}
	})
}

// Guards against handing on the answer to another request: an extra answer may
// stand where the next one is expected.
func TestAnswerToAnotherRequestIsSkipped(t *testing.T) {
	run(t, func(p *Pool, _ *scripted) {
		got, _, err := p.Do(context.Background(), call("b"))
		require.NoError(t, err)
		require.Equal(t, "mine", string(got.Body))
	}, func(c net.Conn, br *bufio.Reader) {
		id := read(br)
		write(c, ok("a", "other")+ok(id, "mine"))
	})
}

// Guards against reusing a connection on which bytes follow a whole answer.
func TestBytesAfterAnAnswerEndTheConnection(t *testing.T) {
	serve := func(extra string) func(c net.Conn, br *bufio.Reader) {
		return func(c net.Conn, br *bufio.Reader) { id := read(br); write(c, ok(id, "hi")+extra); read(br) }
	}
	run(t, func(p *Pool, s *scripted) {
		for _, id := range []string{"a", "b"} {
			got, _, err := p.Do(context.Background(), call(id))
			require.NoError(t, err)
			require.Equal(t, "hi", string(got.Body))
		}
		require.Equal(t, 2, s.dialed)
	}, serve("HTTP/1.1 200 OK\n"), serve(""))
}

// Guards against answers that are cut off, are none or have no end, and count
// as whole.
func TestMalformedAnswers(t *testing.T) {
	for name, c := range map[string]struct {
		answer string
		kind   error
	}{
		"cut off":           {"HTTP/1.1 200 OK\nX-Attempt-Id: a\nContent-Length: 9\n\nhalf", ErrMalformed},
		"cut off chunk":     {"HTTP/1.1 200 OK\nX-Attempt-Id: a\nTransfer-Encoding: chunked\n\n5\nhel", ErrMalformed},
		"cut off head":      {"HTTP/1.1 200 OK\nX-Att", ErrMalformed},
		"no answer at all":  {"", ErrBroken},
		"no HTTP":           {"hello world\n\n", ErrMalformed},
		"without id":        {"HTTP/1.1 200 OK\nContent-Length: 0\n\n", ErrMalformed},
		"only other answer": {ok("z", "x"), ErrBroken},
	} {
		t.Run(name, func(t *testing.T) {
			run(t, func(p *Pool, _ *scripted) {
				_, trace, err := p.Do(context.Background(), call("a"))
				require.ErrorIs(t, err, c.kind)
				require.True(t, trace.Sent, "the request may have run")
			}, func(nc net.Conn, br *bufio.Reader) { read(br); write(nc, c.answer) })
		})
	}
}

// Guards against reusing a connection whose answer ended with it, and against
// refusing such an answer.
func TestAnswerWithoutLength(t *testing.T) {
	run(t, func(p *Pool, s *scripted) {
		got, _, err := p.Do(context.Background(), call("a"))
		require.NoError(t, err)
		require.Equal(t, "all of it", string(got.Body))
		require.Empty(t, p.kept["s1"])
	}, func(c net.Conn, br *bufio.Reader) {
		id := read(br)
		write(c, "HTTP/1.1 200 OK\nX-Attempt-Id: "+id+"\n\nall of it")
	})
}

// Guards against taking a refusal without id for a broken answer: servers that
// shed do not repeat the id.
func TestRejectionNeedsNoID(t *testing.T) {
	run(t, func(p *Pool, _ *scripted) {
		got, _, err := p.Do(context.Background(), call("a"))
		require.NoError(t, err)
		require.True(t, got.ServerHeaders.NotRun)
	}, func(c net.Conn, br *bufio.Reader) {
		read(br)
		write(c, "HTTP/1.1 503 Service Unavailable\nX-Not-Executed: 1\nContent-Length: 0\n\n")
	})
}

// Guards against waiting for a mute server beyond the deadline, and against
// keeping its connection.
func TestUnresponsiveServer(t *testing.T) {
	run(t, func(p *Pool, _ *scripted) {
		begin := time.Now()
		_, _, err := p.Do(context.Background(), call("a"))
		require.ErrorIs(t, err, ErrTimeout)
		require.Equal(t, 2*time.Second, time.Since(begin))
		require.Empty(t, p.kept["s1"])
	}, func(_ net.Conn, br *bufio.Reader) { read(br); read(br) })
}

// Guards against a server that works on after its caller has left.
func TestCancelledCallEndsTheConnection(t *testing.T) {
	closed := make(chan time.Time, 1)
	run(t, func(p *Pool, _ *scripted) {
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		begin := time.Now()
		_, _, err := p.Do(ctx, call("a"))
		require.ErrorIs(t, err, ErrCancelled)
		require.Equal(t, 100*time.Millisecond, (<-closed).Sub(begin))
	}, func(_ net.Conn, br *bufio.Reader) { read(br); read(br); closed <- time.Now() })
}

// Guards against a booking on a connection that the server may have dropped:
// its outcome would not be known.
func TestNonIdempotentRequestNeedsAFreshConnection(t *testing.T) {
	serve := func(c net.Conn, br *bufio.Reader) {
		for id := read(br); id != ""; id = read(br) {
			write(c, ok(id, "hi"))
		}
	}
	run(t, func(p *Pool, s *scripted) {
		_, _, err := p.Do(context.Background(), call("a"))
		require.NoError(t, err)
		time.Sleep(onceIdle + time.Millisecond)
		booking := call("b")
		booking.Idempotent = false
		_, _, err = p.Do(context.Background(), booking)
		require.NoError(t, err)
		require.Equal(t, 2, s.dialed)
		_, _, err = p.Do(context.Background(), call("c"))
		require.NoError(t, err)
		require.Equal(t, 2, s.dialed, "look-ups use what is kept")
	}, serve, serve)
}

// Guards against using a connection after the time for which its server said
// that it keeps it.
func TestKeepAliveHeaderIsHonored(t *testing.T) {
	serve := func(c net.Conn, br *bufio.Reader) {
		id := read(br)
		write(c, "HTTP/1.1 200 OK\nX-Attempt-Id: "+id+"\nKeep-Alive: timeout=2\nContent-Length: 0\n\n")
		read(br)
	}
	run(t, func(p *Pool, s *scripted) {
		_, _, err := p.Do(context.Background(), call("a"))
		require.NoError(t, err)
		time.Sleep(2*time.Second - keepAliveMargin)
		_, _, err = p.Do(context.Background(), call("b"))
		require.NoError(t, err)
		require.Equal(t, 2, s.dialed)
	}, serve, serve)
}

// Guards against the rest of a long body on a kept connection after the server
// answered early: it would be taken for a request.
func TestEarlyAnswerToALongBodyEndsTheConnection(t *testing.T) {
	run(t, func(p *Pool, _ *scripted) {
		c := call("a")
		c.Method, c.Body = "POST", make([]byte, 4*maxPooledBuffer)
		got, _, err := p.Do(context.Background(), c)
		require.NoError(t, err)
		require.Equal(t, 400, got.Status)
		require.Empty(t, p.kept["s1"])
	}, func(c net.Conn, br *bufio.Reader) {
		r, _ := http.ReadRequest(br)
		write(c, "HTTP/1.1 400 Bad Request\nX-Attempt-Id: "+r.Header.Get("X-Attempt-Id")+"\nX-Server-Seal: s\nContent-Length: 0\n\n")
		// The server neither reads on nor closes.
		time.Sleep(10 * time.Second)
	})
}

// Guards against a failed connection that counts as a request that may have
// run.
func TestNoConnectionMeansNotSent(t *testing.T) {
	run(t, func(p *Pool, _ *scripted) {
		_, trace, err := p.Do(context.Background(), call("a"))
		require.ErrorIs(t, err, ErrNotSent)
		require.False(t, trace.Sent)
	})
}

// Guards against changed targets, headers of one connection that are handed
// on, and bodies without length.
func TestRequestAsSent(t *testing.T) {
	lines := make(chan string, 1)
	run(t, func(p *Pool, _ *scripted) {
		c := call("a")
		c.Method, c.Target, c.HasBody = "PUT", "/a%2Fb//c?x=%20&y", true
		c.Header["Connection"] = []string{"close"}
		c.Header["Transfer-Encoding"] = []string{"chunked"}
		_, _, _ = p.Do(context.Background(), c)
		require.Equal(t, "PUT /a%2Fb//c?x=%20&y HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: a\r\nContent-Length: 0\r\n\r\n", <-lines)
	}, func(c net.Conn, _ *bufio.Reader) {
		buf := make([]byte, 4096)
		n, _ := c.Read(buf)
		lines <- string(buf[:n])
	})
}
