package ingress

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// exchange sends bytes to a server on a real socket, and returns the statuses of the responses
// until the server closes the connection, and the bodies of the requests that were served.
func exchange(t *testing.T, sent string) (statuses []int, bodies []string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	h := newFakeHandler()
	h.limits.MaxHeaderBytes = 64 << 10
	go func() { _ = NewServer(h, NewBodyMemory()).Serve(listener) }()
	c, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	defer c.Close()
	require.NoError(t, c.SetDeadline(time.Now().Add(10*time.Second)))
	_, err = io.WriteString(c, sent)
	require.NoError(t, err)
	require.NoError(t, c.(*net.TCPConn).CloseWrite())
	br := bufio.NewReader(c)
	for {
		response, err := http.ReadResponse(br, nil)
		if err != nil {
			require.ErrorIs(t, err, io.ErrUnexpectedEOF)
			break
		}
		_, err = io.Copy(io.Discard, response.Body)
		require.NoError(t, err)
		statuses = append(statuses, response.StatusCode)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return statuses, h.bodies
}

// smuggled is a request in the place of a body.
const smuggled = "GET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n"

// Guards against requests with an odd field name that are run, and whose body is read as the next
// request.
func TestRequestWithInvalidFields(t *testing.T) {
	length := strconv.Itoa(len(smuggled))
	chunks := strconv.FormatInt(int64(len(smuggled)), 16) + "\r\n" + smuggled + "\r\n0\r\n"
	for name, text := range map[string]string{
		"blank in a name":        "GET /a HTTP/1.1\r\nHost: h\r\nX Y: 1\r\n\r\n",
		"blank after a name":     "GET /a HTTP/1.1\r\nHost: h\r\nX-Y : 1\r\n\r\n",
		"blank after the host":   "GET /a HTTP/1.1\r\nHost : h\r\n\r\n",
		"blank after the length": "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length : " + length + "\r\n\r\n" + smuggled,
		"two lengths":            "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\nContent-Length : " + length + "\r\n\r\n" + smuggled,
		"blank after the coding": "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding : chunked\r\n\r\n" + chunks + "\r\n",
		"coding and length":      "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nTransfer-Encoding : chunked\r\n\r\n" + chunks + "\r\n",
		"blank in a trailer":     "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\nX Y: 1\r\n\r\n",
		"blank after a trailer":  "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\nX-Y : 1\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			statuses, bodies := exchange(t, text+getText("/b"))
			require.Equal(t, []int{http.StatusBadRequest}, statuses)
			require.Empty(t, bodies, "nothing is run")
		})
	}
}

func getText(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n" }

// Guards against requests with a transfer coding that their version does not have: the body would
// be read as the next request.
func TestCodingOfHTTP10Request(t *testing.T) {
	chunks := strconv.FormatInt(int64(len(smuggled)), 16) + "\r\n" + smuggled + "\r\n0\r\n\r\n"
	for name, text := range map[string]string{
		"coding":            "POST /a HTTP/1.0\r\nConnection: keep-alive\r\nTransfer-Encoding: chunked\r\n\r\n" + smuggled,
		"coding and length": "POST /a HTTP/1.0\r\nTransfer-Encoding: chunked\r\nContent-Length: " + strconv.Itoa(len(chunks)) + "\r\n\r\n" + chunks,
		"long head":         "POST /a HTTP/1.0\r\nX: " + strings.Repeat("x", 20_000) + "\r\ntransfer-encoding:chunked\r\nContent-Length: 0\r\n\r\n",
		"long target":       "POST /" + strings.Repeat("x", 20_000) + " HTTP/1.0\r\ntransfer-encoding:chunked\r\nContent-Length: 0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			statuses, bodies := exchange(t, text+getText("/b"))
			require.Equal(t, []int{http.StatusBadRequest}, statuses)
			require.Empty(t, bodies, "nothing is run")
		})
	}
	statuses, bodies := exchange(t, "POST /a HTTP/1.0\r\nConnection: keep-alive\r\nContent-Length: 2\r\n\r\nhi"+getText("/b"))
	require.Equal(t, []int{http.StatusOK, http.StatusOK}, statuses)
	require.Equal(t, []string{"hi", ""}, bodies)
}

// Guards against valid requests that are rejected because they are unusual.
func TestUnusualRequestsAreServed(t *testing.T) {
	for name, text := range map[string]string{
		"any token":        "GET /a HTTP/1.1\r\nhost: h\r\n!#$%&'*+-.^_`|~09az: 1\r\n\r\n",
		"empty value":      "GET /a HTTP/1.1\r\nHost: h\r\nX:\r\nY: \t \r\n\r\n",
		"high bytes":       "GET /a HTTP/1.1\r\nHost: h\r\nX: a\xe4\tb\r\n\r\n",
		"folded value":     "GET /a HTTP/1.1\r\nHost: h\r\nX: a\r\n b\r\n\r\n",
		"long value":       "GET /a HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 20_000) + "\r\n\r\n",
		"trailers":         "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: Chunked\r\n\r\n2\r\nhi\r\n0\r\nX-Y: 1\r\n\r\n",
		"chunk extensions": "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n02;a=b\r\nhi\r\n0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			statuses, bodies := exchange(t, text+getText("/b"))
			require.Equal(t, []int{http.StatusOK, http.StatusOK}, statuses)
			require.Len(t, bodies, 2)
			require.Contains(t, []string{"", "hi"}, bodies[0])
		})
	}
}
