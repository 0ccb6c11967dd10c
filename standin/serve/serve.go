// Package serve runs the HTTP servers of a stand-in process until its context ends.
package serve

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/pkg/errors"
)

// ErrNotLoopback means that an address is not in 127.0.0.0/8.
var ErrNotLoopback = errors.New("stand-ins listen only on addresses in 127.0.0.0/8")

// readHeaderTimeout bounds the time in which a request's header is read.
const readHeaderTimeout = 10 * time.Second

const network = "tcp4"

// Server is an HTTP server and the address that it listens on.
type Server struct {
	// Address is "ip:port".
	Address string
	HTTP    *http.Server
}

// ListenAndServe listens on the addresses of all servers, then serves until the
// context ends or a server fails. It closes all connections before it returns.
func ListenAndServe(ctx context.Context, servers []Server) error {
	listeners, err := listen(servers)
	if err != nil {
		return err
	}
	serveErrors := make(chan error, len(servers))
	for i, s := range servers {
		go func() { serveErrors <- s.HTTP.Serve(listeners[i]) }()
	}
	select {
	case <-ctx.Done():
	case err = <-serveErrors:
	}
	for _, s := range servers {
		_ = s.HTTP.Close()
	}
	return err
}

// NewHTTP returns an HTTP server for a handler.
func NewHTTP(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout}
}

// listen opens the listeners of all servers, or none if one of them fails.
func listen(servers []Server) ([]net.Listener, error) {
	var listeners []net.Listener
	for _, s := range servers {
		l, err := listenOne(s.Address)
		if err != nil {
			for _, opened := range listeners {
				_ = opened.Close()
			}
			return nil, errors.WithMessage(err, s.Address)
		}
		listeners = append(listeners, l)
	}
	return listeners, nil
}

// listenOne listens on an address, which must be an IPv4 loopback address.
func listenOne(address string) (net.Listener, error) {
	ap, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, err
	}
	if !ap.Addr().Is4() || !ap.Addr().IsLoopback() {
		return nil, ErrNotLoopback
	}
	return net.Listen(network, address)
}
