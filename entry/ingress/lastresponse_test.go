package ingress

import (
	"bufio"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against the memory of a request that was read and is not served, because its connection had
// its last response meanwhile.
func TestBodyOfARequestAfterTheLastResponseIsReleased(t *testing.T) {
	h := newFakeHandler()
	h.closeAfterResponse = true
	var used int64
	runInVirtualTime(t, h, func(s *Server, c net.Conn, br *bufio.Reader) {
		send(c, strings.Repeat(getRequest("/300ms"), pipelineDepth)+"POST /a HTTP/1.1\nHost: h\nContent-Length: 10\n\n0123456789")
		receive(t, br)
		time.Sleep(time.Minute)
		used = s.bodyMemory.Used()
	})
	require.Zero(t, used, "bytes")
}
