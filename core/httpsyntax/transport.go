package httpsyntax

import (
	"io"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
)

// Transport is an http.RoundTripper that fails with ErrInvalid if the response of another one
// is not valid HTTP/1.1. If the trailers are not valid, the body ends with that error.
type Transport struct{ base *http.Transport }

// NewTransport returns a Transport that sends its requests through base.
func NewTransport(base *http.Transport) *Transport { return &Transport{base} }

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	trace := &httptrace.ClientTrace{
		Got1xxResponse: func(_ int, header textproto.MIMEHeader) error { return CheckFields(header) },
	}
	response, err := t.base.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	if err != nil {
		return nil, err
	}
	if err := CheckResponse(response); err != nil {
		_ = response.Body.Close()
		return nil, err
	}
	response.Body = &checkedBody{response.Body, response}
	return response, nil
}

// CloseIdleConnections closes the connections that are not in use.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }

// checkedBody checks the trailers, which are known at the end of the body.
type checkedBody struct {
	io.ReadCloser
	response *http.Response
}

// Read implements io.Reader.
func (b *checkedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		if invalid := CheckFields(b.response.Trailer); invalid != nil {
			return n, invalid
		}
	}
	return n, err
}
