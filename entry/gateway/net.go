package gateway

import (
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// keepAlive finds connections that went silent. With three lost probes a peer
// counts as gone after some 4 s, which is within the time after which the
// platform expects service again.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 1500 * time.Millisecond, Interval: time.Second, Count: 2}

// userTimeout bounds the time for which sent bytes stay unconfirmed. Several
// retransmissions fit into it at the round trips between regions.
const userTimeout = 2500 * time.Millisecond

func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var failed error
	err := c.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}

func newServerDialer() *net.Dialer {
	return &net.Dialer{KeepAliveConfig: keepAlive, Control: setUserTimeout}
}

// storeDialTimeout and storeIdle bound connections to the store.
const (
	storeDialTimeout = 2 * time.Second
	storeIdle        = 30 * time.Second
)

func newStoreTransport() *http.Transport {
	dialer := &net.Dialer{Timeout: storeDialTimeout, KeepAliveConfig: keepAlive, Control: setUserTimeout}
	return &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 4, IdleConnTimeout: storeIdle, DisableCompression: true}
}

func joinPort(ip string, port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
