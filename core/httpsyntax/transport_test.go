package httpsyntax_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cassiawind/cassiawind/core/httpsyntax"
	"github.com/cassiawind/cassiawind/core/httpsyntax/httpsyntaxtest"
)

// countingConn counts the bytes that are read.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

// Guards against heads without end that take the memory of the process: many servers may be polled
// at the same time.
func TestEndlessHeadsAreBounded(t *testing.T) {
	const bound = 80 << 10
	line := "X-More: " + strings.Repeat("x", 1000) + "\r\n"
	for name, endless := range map[string]struct{ start, text string }{
		"header":           {"HTTP/1.1 200 OK\r\n", line},
		"header, HTTP/1.0": {"HTTP/1.0 200 OK\r\n", line},
		"line":             {"HTTP/1.1 200 OK\r\nX: ", strings.Repeat("x", 1000)},
		"status line":      {"", strings.Repeat("x", 1000)},
		"interim":          {"", "HTTP/1.1 103 Early Hints\r\n" + line + "\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			address := httpsyntaxtest.Serve(t, func(c *net.TCPConn, _ *http.Request) {
				_, err := io.WriteString(c, endless.start)
				for err == nil {
					_, err = io.WriteString(c, endless.text)
				}
			})
			var bytes atomic.Int64
			transport := httpsyntax.NewTransport(&http.Transport{DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
				c, err := new(net.Dialer).DialContext(ctx, network, address)
				return countingConn{c, &bytes}, err
			}})
			r, err := http.NewRequest(http.MethodGet, "http://"+address, nil)
			require.NoError(t, err)
			_, err = transport.RoundTrip(r)
			require.Error(t, err)
			require.LessOrEqual(t, bytes.Load(), int64(bound), "bytes that were read")
		})
	}
}
