package forward

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cassiawind/cassiawind/core/httpsyntax/httpsyntaxtest"
	"github.com/cassiawind/cassiawind/core/once"
	"github.com/cassiawind/cassiawind/declare"
	"github.com/cassiawind/cassiawind/entry/problem"
	"github.com/cassiawind/cassiawind/platform"
)

// rawServer starts a backend server that answers on a real socket with a text, and counts the
// requests.
func rawServer(t *testing.T, text string) (address string, requests *atomic.Int32) {
	requests = new(atomic.Int32)
	return httpsyntaxtest.ServeText(t, func(*http.Request) string {
		requests.Add(1)
		return text
	}), requests
}

func serverAt(name, address string) declare.BackendServer {
	return declare.BackendServer{Name: name, Address: address, Region: "r1", FailureDomain: "d1", Slots: 8, Connections: 100}
}

// requireInvalid checks that none of the responses reaches a caller: a lookup is answered by
// another server, and the outcome of a booking is unknown.
func requireInvalid(t *testing.T, responses map[string]string) {
	t.Helper()
	const good = "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 5\r\n\r\nother"
	for name, text := range responses {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			broken, brokenRequests := rawServer(t, text)
			other, _ := rawServer(t, good)
			f := newFixtureWithServers(t, []declare.BackendServer{serverAt("a", broken), serverAt("b", other)})
			for range 20 {
				requireBody(t, "other", f.do(t, "GET", "/lots/1", ""))
			}
			require.Positive(t, brokenRequests.Load(), "the server was tried")

			broken, brokenRequests = rawServer(t, text)
			f = newFixtureWithServers(t, []declare.BackendServer{serverAt("a", broken)})
			code, run := decodeRejection(t, f.do(t, "POST", "/book/1", "x"))
			require.Equal(t, problem.CodeBackendServerFailed, code)
			require.Equal(t, problem.MayHaveRun, run)
			for range 2 {
				_, run = decodeRejection(t, f.do(t, "POST", "/book/1", "x", "Idempotency-Key", "k"))
				require.Equal(t, problem.MayHaveRun, run)
			}
			require.Equal(t, int32(2), brokenRequests.Load(), "each booking was sent once")
		})
	}
}

func requireBody(t *testing.T, want string, resp *http.Response) {
	t.Helper()
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, resp.StatusCode, "%s", body)
	require.Equal(t, want, string(body))
}

// requireValid checks that the responses reach callers with their status and body.
func requireValid(t *testing.T, responses map[string]httpsyntaxtest.ValidResponse, want string) {
	t.Helper()
	for name, valid := range responses {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			address, _ := rawServer(t, valid.Text)
			f := newFixtureWithServers(t, []declare.BackendServer{serverAt("a", address)})
			for _, resp := range []*http.Response{
				f.do(t, "GET", "/lots/1", ""), f.do(t, "POST", "/book/1", "x"), f.do(t, "POST", "/book/1", "x", "Idempotency-Key", "k"),
			} {
				body, err := io.ReadAll(resp.Body)
				require.NoError(t, err)
				require.Equal(t, valid.Status, resp.StatusCode)
				require.Equal(t, want, string(body))
			}
		})
	}
}

// Guards against responses with a status that no response has: the caller's connection was
// closed without an answer.
func TestResponseWithInvalidStatusLine(t *testing.T) {
	requireInvalid(t, httpsyntaxtest.InvalidStatusLines("X-Other: 1", "hi"))
	requireValid(t, httpsyntaxtest.ValidStatusLines("X-Other: 1", "hi"), "hi")
}

// Guards against responses with an odd field name, whose line or whose chunk framing reaches
// the caller.
func TestResponseWithInvalidFields(t *testing.T) {
	invalid := httpsyntaxtest.InvalidFields("X-Other: 1", "hi")
	for name := range invalid {
		if strings.HasPrefix(name, "trailer") {
			// The head and the body of a response of unknown length are passed on before its
			// trailers are read.
			requireBreaksOff(t, name, invalid[name])
			delete(invalid, name)
		}
	}
	requireInvalid(t, invalid)
	requireValid(t, httpsyntaxtest.ValidFields("X-Other: 1", "hi"), "hi")
}

// requireBreaksOff checks that a caller of a lookup does not get a complete response, and that
// the outcome of a booking which is stored is unknown.
func requireBreaksOff(t *testing.T, name, text string) {
	t.Helper()
	t.Run(name, func(t *testing.T) {
		t.Parallel()
		address, requests := rawServer(t, text)
		f := newFixtureWithServers(t, []declare.BackendServer{serverAt("a", address)})
		resp := f.do(t, "GET", "/lots/1", "")
		_, err := io.ReadAll(resp.Body)
		require.ErrorIs(t, err, io.ErrUnexpectedEOF)
		requests.Store(0)
		for range 2 {
			_, run := decodeRejection(t, f.do(t, "POST", "/book/1", "x", "Idempotency-Key", "k"))
			require.Equal(t, problem.MayHaveRun, run)
		}
		require.Equal(t, int32(1), requests.Load())
	})
}

// Guards against a response with a transfer coding that its version does not have, whose chunk
// framing reaches the caller as the body.
func TestCodingOfHTTP10(t *testing.T) {
	requireInvalid(t, httpsyntaxtest.CodingOfHTTP10("X-Other: 1", "hi"))
	requireValid(t, httpsyntaxtest.ValidHTTP10("X-Other: 1", "hi"), "hi")
}

// Guards against a stored outcome that an earlier build took from a broken answer: it is not an
// outcome that can be returned.
func TestStoredOutcomeThatIsNoResponse(t *testing.T) {
	outcomes := map[string]once.Record{
		"status 000":  {Status: 0, Body: []byte("hi")},
		"status 099":  {Status: 99, Body: []byte("hi")},
		"status 999":  {Status: 999, Body: []byte("hi")},
		"field name":  {Status: 200, Header: map[string][]string{"X Y": {"1"}}, Body: []byte("hi")},
		"field value": {Status: 200, Header: map[string][]string{"X-Y": {"a\x00b"}}, Body: []byte("hi")},
	}
	for name, outcome := range outcomes {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, respondOK)
			requireBody(t, "ok", f.do(t, "POST", "/book/1", "x", "Idempotency-Key", "k"))
			key := once.RowKey("acme", "k")
			require.Eventually(t, func() bool { return f.handler.PendingBookings() == 0 }, 5*time.Second, time.Millisecond)
			row, err := f.table.Get(context.Background(), key)
			require.NoError(t, err)
			stored, err := once.ParseRecord(row.Value)
			require.NoError(t, err)
			require.Equal(t, once.StateDone, stored.State)
			stored.Status, stored.Header, stored.Body = outcome.Status, outcome.Header, outcome.Body
			value, err := json.Marshal(stored)
			require.NoError(t, err)
			_, err = f.table.Transact(context.Background(), []platform.Write{{Key: key, Value: value, IfVersion: platform.IfVersion(row.Version)}})
			require.NoError(t, err)
			resp := f.do(t, "POST", "/book/1", "x", "Idempotency-Key", "k")
			code, run := decodeRejection(t, resp)
			require.Equal(t, problem.CodeOutcomeUnknown, code)
			require.Equal(t, problem.MayHaveRun, run)
			require.Empty(t, resp.Header.Get(headerReplayed))
		})
	}
}
