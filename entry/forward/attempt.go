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
	"github.com/cassiawind/cassiawind/core/httpsyntax"
	"github.com/cassiawind/cassiawind/entry/problem"
)

const (
	dialTimeout = time.Second
	// lookupIdleTimeout bounds how long an unused lookup connection stays open.
	lookupIdleTimeout = 30 * time.Second
	// maxResponseHeaderBytes bounds the status line and headers of a response.
	maxResponseHeaderBytes = 64 << 10
	// maxBufferedResponseBytes is the largest response that is read completely
	// before its first byte is forwarded. If such a response is incomplete, the
	// request can still be retried.
	maxBufferedResponseBytes = 64 << 10
)

// Errors of a single attempt.
var (
	// ErrConnectFailed means that no connection could be opened, so the request
	// was not run.
	ErrConnectFailed = errors.New("connection to the backend server was not established")
	// ErrShed means that the backend server rejected the request without
	// running it.
	ErrShed = errors.New("backend server shed the request")
	// ErrResponseTimeout means that no response headers arrived in time.
	ErrResponseTimeout = errors.New("backend server sent no response headers in time")
	// ErrIncompleteResponse means that the connection failed before the
	// complete response was received.
	ErrIncompleteResponse = errors.New("connection failed before the complete response was received")
	// ErrMalformedResponse means that the response is not valid HTTP.
	ErrMalformedResponse = errors.New("response of the backend server is not valid HTTP")
	// ErrRequestIDMismatch means that the response carries the id of another
	// request.
	ErrRequestIDMismatch = errors.New("response of the backend server carries the id of another request")
)

// transports holds the HTTP transports to the backend servers.
type transports struct {
	lookup, booking http.RoundTripper
}

func newTransports() *transports {
	dial := (&net.Dialer{Timeout: dialTimeout}).DialContext
	return &transports{
		lookup: httpsyntax.NewTransport(&http.Transport{
			DialContext: dial, IdleConnTimeout: lookupIdleTimeout, MaxIdleConnsPerHost: 64,
			MaxResponseHeaderBytes: maxResponseHeaderBytes, DisableCompression: true,
		}),
		// Every booking opens its own connection. On a reused connection that
		// the backend server closes at the same moment, it would be unknown
		// whether the booking was run.
		booking: httpsyntax.NewTransport(&http.Transport{
			DialContext: dial, DisableKeepAlives: true,
			MaxResponseHeaderBytes: maxResponseHeaderBytes, DisableCompression: true,
		}),
	}
}

// attempt sends a request to one backend server, once.
type attempt struct {
	call   *call
	body   *requestBody
	server balance.Server
	// responseTimeout bounds the time until the response headers arrive.
	responseTimeout time.Duration
	transport       http.RoundTripper

	connected atomic.Bool
	timedOut  atomic.Bool
	cancel    context.CancelFunc
}

// response is a response of a backend server. Its headers have been received,
// and its body as well if it is small.
type response struct {
	httpResp *http.Response
	// body is the complete body if isBuffered is set; otherwise the body still
	// has to be read from httpResp.
	body       []byte
	isBuffered bool
	cancel     context.CancelFunc
}

func (r *response) close() {
	r.httpResp.Body.Close()
	r.cancel()
}

// send makes the attempt. If the error is nil, the response headers are
// complete and a small response body has been read completely.
func (a *attempt) send(ctx context.Context, header http.Header) (*response, error) {
	ctx, a.cancel = context.WithCancel(ctx)
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { a.connected.Store(true) },
	})
	timer := time.AfterFunc(a.responseTimeout, func() {
		a.timedOut.Store(true)
		a.cancel()
	})
	httpResp, err := a.transport.RoundTrip(a.newRequest(ctx, header))
	if !timer.Stop() && err == nil {
		// The timer fired while the headers arrived and cancelled the context,
		// so the body cannot be read.
		httpResp.Body.Close()
		err = ErrResponseTimeout
	}
	if err != nil {
		a.cancel()
		return nil, a.classifyError(err)
	}
	resp := &response{httpResp: httpResp, cancel: a.cancel}
	if err := a.readResponse(resp); err != nil {
		resp.close()
		return nil, err
	}
	return resp, nil
}

func (a *attempt) newRequest(ctx context.Context, header http.Header) *http.Request {
	url := *a.call.r.URL
	url.Scheme = "http"
	url.Host = a.server.Address
	url.User = nil
	req := &http.Request{
		Method: a.call.r.Method, URL: &url, Host: a.call.r.Host, Header: header,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Body: a.body.newReader(), ContentLength: a.body.contentLength,
	}
	if a.body.isBuffered && len(a.body.buffered) == 0 && a.call.route.Idempotent {
		req.Body = http.NoBody
	}
	return req.WithContext(ctx)
}

func (a *attempt) classifyError(err error) error {
	switch {
	case !a.connected.Load():
		return errors.Wrap(ErrConnectFailed, err.Error())
	case a.timedOut.Load():
		return ErrResponseTimeout
	case errors.Is(err, httpsyntax.ErrInvalid):
		return errors.Wrap(ErrMalformedResponse, err.Error())
	default:
		return errors.Wrap(ErrIncompleteResponse, err.Error())
	}
}

// readResponse reads a small response body completely and returns an error for
// a response that cannot be forwarded reliably.
func (a *attempt) readResponse(resp *response) error {
	httpResp := resp.httpResp
	if id := httpResp.Header.Get(problem.HeaderRequestID); id != "" && id != a.call.id {
		return ErrRequestIDMismatch
	}
	if httpResp.StatusCode == http.StatusServiceUnavailable && httpResp.Header.Get(problem.HeaderRun) == string(problem.NotRun) {
		return ErrShed
	}
	if closeDelimited(httpResp, a.call.r.Method) {
		return errors.Wrap(ErrIncompleteResponse, "response has neither a length nor chunked encoding")
	}
	if httpResp.ContentLength >= 0 && httpResp.ContentLength <= maxBufferedResponseBytes {
		var buf bytes.Buffer
		buf.Grow(int(httpResp.ContentLength))
		if _, err := io.Copy(&buf, httpResp.Body); err != nil {
			return errors.Wrap(ErrIncompleteResponse, err.Error())
		}
		resp.body, resp.isBuffered = buf.Bytes(), true
	}
	return nil
}

// closeDelimited reports whether only the end of the connection marks the end
// of the body, so that a truncated response cannot be told from a complete one.
func closeDelimited(resp *http.Response, method string) bool {
	if method == http.MethodHead || resp.ContentLength >= 0 {
		return false
	}
	return len(resp.TransferEncoding) == 0
}
