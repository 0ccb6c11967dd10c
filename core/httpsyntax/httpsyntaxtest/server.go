// Package httpsyntaxtest provides a server for tests that sends responses byte by byte as
// given, and such responses, valid and not.
package httpsyntaxtest

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// Serve starts a server on a loopback address and returns the address. answer is called for
// each connection with the first request, whose body has not been read. The connection is
// closed after it.
func Serve(t testing.TB, answer func(c *net.TCPConn, r *http.Request)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					answer(c.(*net.TCPConn), r)
				}
			}()
		}
	}()
	return listener.Addr().String()
}

// ServeText starts a server that reads each request, answers it with a text and ends the
// connection in good order.
func ServeText(t testing.TB, answer func(r *http.Request) string) string {
	t.Helper()
	return Serve(t, func(c *net.TCPConn, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(c, answer(r))
		_ = c.CloseWrite()
		_, _ = io.Copy(io.Discard, c)
	})
}
