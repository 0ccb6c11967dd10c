package upstream

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cassiawind/cassiawind/core/httpsyntax/httpsyntaxtest"
)

// uploadBytes is the size of an upload that the buffers of a connection do not hold.
const uploadBytes = 8 << 20

// upload calls a server with a long upload.
func upload(t *testing.T, answer func(c *net.TCPConn)) (*Response, Trace, error) {
	t.Helper()
	call := newCall("a")
	call.Method, call.Body, call.HasBody = http.MethodPost, make([]byte, uploadBytes), true
	call.Deadline = time.Now().Add(10 * time.Second)
	call.Address = httpsyntaxtest.Serve(t, func(c *net.TCPConn, _ *http.Request) { answer(c) })
	return NewPool(&net.Dialer{}, NewBodyMemory()).Do(context.Background(), call)
}

// awaitUnread waits until bytes have arrived that were not read. Closing a connection resets it then;
// without such bytes it ends in good order.
func awaitUnread(c *net.TCPConn) {
	raw, err := c.SyscallConn()
	if err != nil {
		return
	}
	var buf [1]byte
	_ = raw.Read(func(fd uintptr) bool {
		_, _, err := syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return err != syscall.EAGAIN
	})
}

const headWithoutLength = "HTTP/1.1 200 OK\r\nX-Attempt-Id: a\r\nX-Server-Seal: s\r\n\r\n"

// Guards against a part of a response that is taken for the whole, because the reset of the
// connection reached the upload and only the end of the connection was read.
func TestResetDuringAnUploadIsNotTheEndOfAResponse(t *testing.T) {
	resets := map[string]func(c *net.TCPConn){
		"reset":               func(c *net.TCPConn) { _ = c.SetLinger(0); _ = c.Close() },
		"closed with a rest":  func(c *net.TCPConn) { awaitUnread(c); _ = c.Close() },
		"read, then reset":    func(c *net.TCPConn) { _, _ = io.CopyN(io.Discard, c, 1<<20); _ = c.SetLinger(0); _ = c.Close() },
		"reset after a while": func(c *net.TCPConn) { time.Sleep(20 * time.Millisecond); _ = c.SetLinger(0); _ = c.Close() },
	}
	for name, reset := range resets {
		t.Run(name, func(t *testing.T) {
			taken := 0
			for range 30 {
				got, trace, err := upload(t, func(c *net.TCPConn) {
					_, _ = io.WriteString(c, headWithoutLength+strings.Repeat("x", 2000))
					reset(c)
				})
				require.True(t, trace.Sent)
				if err == nil {
					got.Release()
					taken++
				}
			}
			require.Zero(t, taken, "of 30 parts of a response")
		})
	}
}

// Guards against responses to long uploads that are valid and rejected: the server ends them in
// good order before it has read the upload, or while it reads it, or ends them with their length.
func TestEarlyResponseToAnUploadIsComplete(t *testing.T) {
	const text = "all of it"
	answers := map[string]func(c *net.TCPConn){
		"end in good order": func(c *net.TCPConn) {
			_, _ = io.WriteString(c, headWithoutLength+text)
			_ = c.CloseWrite()
			time.Sleep(20 * time.Millisecond)
		},
		"end in good order, then reset": func(c *net.TCPConn) {
			_, _ = io.WriteString(c, headWithoutLength+text)
			_ = c.CloseWrite()
			_ = c.SetLinger(0)
			_ = c.Close()
		},
		"end in good order, upload read": func(c *net.TCPConn) {
			_, _ = io.WriteString(c, headWithoutLength+text)
			_ = c.CloseWrite()
			_, _ = io.Copy(io.Discard, c)
		},
		"end after the upload": func(c *net.TCPConn) {
			_, _ = io.CopyN(io.Discard, c, uploadBytes-1<<20)
			_, _ = io.WriteString(c, headWithoutLength+text)
			_ = c.CloseWrite()
			_, _ = io.Copy(io.Discard, c)
		},
		"length, then reset": func(c *net.TCPConn) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Attempt-Id: a\r\nContent-Length: 9\r\n\r\n"+text)
			time.Sleep(20 * time.Millisecond)
			_ = c.SetLinger(0)
			_ = c.Close()
		},
		"silence after the end": func(c *net.TCPConn) {
			_, _ = io.WriteString(c, headWithoutLength+text)
			_ = c.CloseWrite()
			time.Sleep(time.Second)
		},
	}
	for name, answer := range answers {
		t.Run(name, func(t *testing.T) {
			for range 10 {
				got, _, err := upload(t, answer)
				require.NoError(t, err)
				require.Equal(t, text, string(got.Body))
				got.Release()
			}
		})
	}
}
