package httpsyntax

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a head whose recording depends on how its bytes arrive, and against a copy of each
// HTTP/1.1 message.
func TestHeadRecorder(t *testing.T) {
	const fields = "\r\nX: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
	for text, invalid := range map[string]bool{
		"HTTP/1.0 200 OK" + fields: true, "HTTP/1.1 200 OK" + fields: false, "HTTP/1.0 200 OK\r\n\r\nbody" + fields: false,
		"HTTP/1.0 200 OK\nX: 1\ntransfer-encoding:chunked\n\n": true, "HTTP/1.0 200 OK\r\nX-Transfer-Encoding: chunked\r\n\r\n": false, "": false,
	} {
		for cut := range len(text) + 1 {
			var recorder HeadRecorder
			recorder.BeginResponse([]byte(text[:cut]))
			recorder.Record([]byte(text[cut:]))
			require.Equal(t, invalid, recorder.End() != nil, "%q, %q", text[:cut], text[cut:])
			require.NoError(t, recorder.End(), "nothing is kept")
			request := strings.ReplaceAll(strings.ReplaceAll(text, "HTTP/1.0 200 OK", "GET / HTTP/1.0"), "HTTP/1.1 200 OK", "GET / HTTP/1.1")
			recorder.BeginRequest([]byte(request[:min(cut, len(request))]))
			recorder.Record([]byte(request[min(cut, len(request)):]))
			require.Equal(t, invalid, recorder.End() != nil, "%q", request)
		}
	}
	message := []byte("HTTP/1.1 200 OK\r\nX: 1\r\n\r\n")
	require.Zero(t, testing.AllocsPerRun(100, func() {
		var recorder HeadRecorder
		recorder.BeginResponse(message)
		recorder.Record(message)
		_ = recorder.End()
	}))
}
