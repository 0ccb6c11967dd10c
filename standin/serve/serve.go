// Package serve runs the HTTP servers of a stand-in process until it is told to
// stop.
package serve

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/pkg/errors"
)

// ErrNotLoopback means that an address is outside 127.0.0.0/8.
var ErrNotLoopback = errors.New("stand-ins bind only to 127.0.0.0/8")

// readHeaderTimeout bounds the time for a request head.
const readHeaderTimeout = 10 * time.Second

const network = "tcp4"

// Server is one address and what it serves.
type Server struct {
	// Address is "ip:port".
	Address string
	HTTP    *http.Server
}

// All listens on all addresses, then serves until the context ends or a server
// fails. It closes open connections at the end.
func ListenAndServe(ctx context.Context, servers []Server) error {
	listeners, err := listen(servers)
	if err != nil {
		return err
	}
	ended := make(chan error, len(servers))
	for i, s := range servers {
		go func() { ended <- s.HTTP.Serve(listeners[i]) }()
	}
	select {
	case <-ctx.Done():
	case err = <-ended:
	}
	for _, s := range servers {
		_ = s.HTTP.Close()
	}
	return err
}

// NewHTTP returns a server for a handler.
func NewHTTP(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout}
}

func listen(servers []Server) ([]net.Listener, error) {
	var listeners []net.Listener
	for _, s := range servers {
		l, err := listenOne(s.Address)
		if err != nil {
			for _, open := range listeners {
				_ = open.Close()
			}
			return nil, errors.WithMessage(err, s.Address)
		}
		listeners = append(listeners, l)
	}
	return listeners, nil
}

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
