package forward

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/cassiawind/cassiawind/core/balance"
	"github.com/cassiawind/cassiawind/entry/problem"
)

const (
	dialTimeout = time.Second
	// idleTimeout closes lookup connections that were idle this long.
	idleTimeout = 30 * time.Second
	// maxResponseHeaderBytes bounds the head of an answer.
	maxResponseHeaderBytes = 64 << 10
	// maxWholeBytes is the largest answer that is read whole before the first
	// byte is passed on. A broken answer of this size can be tried again.
	maxWholeBytes = 64 << 10
)

// Errors of one attempt.
var (
	// ErrConnectFailed means that no connection was opened: not run.
	ErrConnectFailed = errors.New("connection to the backend server was not established")
	// ErrShed means that the backend server answered "not run".
	ErrShed = errors.New("backend server did not run the request")
	// ErrResponseTimeout means that no answer began in time.
	ErrResponseTimeout = errors.New("backend server did not answer in time")
	// ErrIncompleteResponse means that the answer was not received whole.
	ErrIncompleteResponse = errors.New("answer of the backend server was not received whole")
	// ErrRequestIDMismatch means that the answer carries the id of another request.
	ErrRequestIDMismatch = errors.New("answer of the backend server belongs to another request")
)

// transports open connections to backend servers.
type transports struct {
	lookup  *http.Transport
	booking *http.Transport
}

func newTransports() *transports {
	dial := (&net.Dialer{Timeout: dialTimeout}).DialContext
	return &transports{
		lookup: &http.Transport{
			DialContext: dial, IdleConnTimeout: idleTimeout, MaxIdleConnsPerHost: 64,
			MaxResponseHeaderBytes: maxResponseHeaderBytes, DisableCompression: true,
		},
		// A booking goes on a connection of its own: on a kept connection that
		// the backend server closes at the same moment, nobody could tell
		// whether the booking was run.
		booking: &http.Transport{
			DialContext: dial, DisableKeepAlives: true,
			MaxResponseHeaderBytes: maxResponseHeaderBytes, DisableCompression: true,
		},
	}
}

// attempt sends a request once to one backend server.
type attempt struct {
	call   *call
	body   *requestBody
	server balance.Server
	// headTimeout is the time for the answer to begin.
	headTimeout time.Duration
	transport   *http.Transport

	connected atomic.Bool
	timedOut  atomic.Bool
	cancel    context.CancelFunc
}

// answer is a response of which the head, and if small the whole body, has
// been received.
type answer struct {
	resp *http.Response
	// whole is the body if isWhole, else it is still to be read.
	whole   []byte
	isWhole bool
	release context.CancelFunc
}

func (a *answer) close() {
	a.resp.Body.Close()
	a.release()
}

// do runs the attempt. A nil error means that the answer's head is complete
// and, if the answer is small, its body too.
func (a *attempt) do(ctx context.Context, header http.Header) (*answer, error) {
	ctx, a.cancel = context.WithCancel(ctx)
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { a.connected.Store(true) },
	})
	timer := time.AfterFunc(a.headTimeout, func() {
		a.timedOut.Store(true)
		a.cancel()
	})
	resp, err := a.transport.RoundTrip(a.request(ctx, header))
	if !timer.Stop() && err == nil {
		// The timer fired while the head arrived; the body can not be read.
		resp.Body.Close()
		err = ErrResponseTimeout
	}
	if err != nil {
		a.cancel()
		return nil, a.classify(err)
	}
	ans := &answer{resp: resp, release: a.cancel}
	if err := a.check(ans); err != nil {
		ans.close()
		return nil, err
	}
	return ans, nil
}

func (a *attempt) request(ctx context.Context, header http.Header) *http.Request {
	url := *a.call.r.URL
	url.Scheme = "http"
	url.Host = a.server.Address
	url.User = nil
	req := &http.Request{
		Method: a.call.r.Method, URL: &url, Host: a.call.r.Host, Header: header,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Body: a.body.reader(), ContentLength: a.body.length,
	}
	if a.body.isKept && len(a.body.kept) == 0 && a.call.route.Idempotent {
		req.Body = http.NoBody
	}
	return req.WithContext(ctx)
}

func (a *attempt) classify(err error) error {
	switch {
	case !a.connected.Load():
		return errors.Wrap(ErrConnectFailed, err.Error())
	case a.timedOut.Load():
		return ErrResponseTimeout
	default:
		return errors.Wrap(ErrIncompleteResponse, err.Error())
	}
}

// check reads a small answer whole and rejects answers that can not be passed
// on as whole.
func (a *attempt) check(ans *answer) error {
	resp := ans.resp
	if resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(problem.HeaderRun) == string(problem.NotRun) {
		return ErrShed
	}
	if id := resp.Header.Get(problem.HeaderRequestID); id != "" && id != a.call.id {
		return ErrRequestIDMismatch
	}
	if unframed(resp, a.call.r.Method) {
		return errors.Wrap(ErrIncompleteResponse, "the answer has no length")
	}
	if resp.ContentLength >= 0 && resp.ContentLength <= maxWholeBytes {
		var buf bytes.Buffer
		buf.Grow(int(resp.ContentLength))
		if _, err := io.Copy(&buf, resp.Body); err != nil {
			return errors.Wrap(ErrIncompleteResponse, err.Error())
		}
		ans.whole, ans.isWhole = buf.Bytes(), true
	}
	return nil
}

// unframed reports that the end of the body is told by the end of the
// connection only, so that a cut answer looks like a whole one.
func unframed(resp *http.Response, method string) bool {
	if method == http.MethodHead || resp.ContentLength >= 0 {
		return false
	}
	return len(resp.TransferEncoding) == 0
}
