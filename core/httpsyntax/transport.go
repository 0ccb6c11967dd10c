package httpsyntax

import (
	"net/http"
)

// Transport is an http.RoundTripper that fails with ErrInvalid if the response of another one
// is not valid HTTP/1.1.
type Transport struct{ base *http.Transport }

// NewTransport returns a Transport that sends its requests through base.
func NewTransport(base *http.Transport) *Transport { return &Transport{base} }

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := t.base.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if err := CheckResponse(response); err != nil {
		_ = response.Body.Close()
		return nil, err
	}
	return response, nil
}

// CloseIdleConnections closes the connections that are not in use.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }
