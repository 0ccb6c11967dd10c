package upstream

import (
	"context"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cassiawind/cassiawind/core/httpsyntax/httpsyntaxtest"
)

// responseFields are the header lines of each response to the call with the id "a".
const responseFields = "X-Attempt-Id: a\nX-Server-Seal: s"

// doText makes a call to a server on a real socket that answers with a text.
func doText(t *testing.T, text string) (*Response, Trace, error) {
	t.Helper()
	call := newCall("a")
	call.Address = httpsyntaxtest.ServeText(t, func(*http.Request) string { return text })
	return NewPool(&net.Dialer{}, NewBodyMemory()).Do(context.Background(), call)
}

// requireInvalid checks that none of the responses is taken for the response of a server.
func requireInvalid(t *testing.T, responses map[string]string) {
	t.Helper()
	for name, text := range responses {
		t.Run(name, func(t *testing.T) {
			got, trace, err := doText(t, text)
			require.ErrorIs(t, err, ErrMalformed, "%+v", got)
			require.True(t, trace.Sent, "the request may have run")
		})
	}
}

// requireValid checks that the responses are returned with their status and body.
func requireValid(t *testing.T, responses map[string]httpsyntaxtest.ValidResponse, body string) {
	t.Helper()
	for name, valid := range responses {
		t.Run(name, func(t *testing.T) {
			got, _, err := doText(t, valid.Text)
			require.NoError(t, err)
			require.Equal(t, valid.Status, got.Status)
			require.Equal(t, body, string(got.Body))
			got.Release()
		})
	}
}

// Guards against responses with a status that no response has, such as 000, that are returned
// to the caller.
func TestResponseWithInvalidStatusLine(t *testing.T) {
	requireInvalid(t, httpsyntaxtest.InvalidStatusLines(responseFields, "hi"))
	requireValid(t, httpsyntaxtest.ValidStatusLines(responseFields, "hi"), "hi")
}

// Guards against responses with an odd field name, whose line or whose chunk framing reaches
// the caller.
func TestResponseWithInvalidFields(t *testing.T) {
	requireInvalid(t, httpsyntaxtest.InvalidFields(responseFields, "hi"))
	requireValid(t, httpsyntaxtest.ValidFields(responseFields, "hi"), "hi")
}

// Guards against a response with a transfer coding that its version does not have, whose chunk
// framing reaches the caller as the body.
func TestCodingOfHTTP10(t *testing.T) {
	requireInvalid(t, httpsyntaxtest.CodingOfHTTP10(responseFields, "hi"))
	requireValid(t, httpsyntaxtest.ValidHTTP10(responseFields, "hi"), "hi")
}
