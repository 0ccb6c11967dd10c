package gateway

import (
	"context"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/cassiawind/cassiawind/core/httpsyntax"
)

// keepAliveConfig detects connections whose peer no longer responds. After two
// unanswered probes, within some 4 s, a peer counts as unreachable; the
// platform allows more time than that before it expects requests to be served
// again. On connections with a tcpUserTimeout, that time decides in place of the
// number of probes.
var keepAliveConfig = net.KeepAliveConfig{Enable: true, Idle: 1500 * time.Millisecond, Interval: time.Second, Count: 2}

// tcpUserTimeout bounds how long sent bytes may stay unacknowledged. Several
// retransmissions fit into it at the round-trip times between regions.
const tcpUserTimeout = 2500 * time.Millisecond

func setTCPUserTimeout(_, _ string, c syscall.RawConn) error {
	var sockoptErr error
	err := c.Control(func(fd uintptr) {
		sockoptErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tcpUserTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return sockoptErr
}

// networkDialer opens connections to backend servers and relays.
type networkDialer struct{ node *Node }

// DialContext implements upstream.Dialer.
func (d networkDialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{KeepAliveConfig: keepAliveConfig, Control: setTCPUserTimeout}
	if d.node.options.Load().Upstream.BindSource {
		dialer.LocalAddr = &net.TCPAddr{IP: net.ParseIP(d.node.settings.IP)}
	}
	return dialer.DialContext(ctx, network, address)
}

// storeDialTimeout bounds opening a connection to the store, and
// storeIdleTimeout how long an unused one is kept.
const (
	storeDialTimeout = 2 * time.Second
	storeIdleTimeout = 30 * time.Second
)

func newStoreTransport() http.RoundTripper {
	dialer := &net.Dialer{Timeout: storeDialTimeout, KeepAliveConfig: keepAliveConfig, Control: setTCPUserTimeout}
	return httpsyntax.NewTransport(&http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: 4, IdleConnTimeout: storeIdleTimeout, DisableCompression: true,
	})
}

func joinHostPort(ip string, port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
