package hop_test

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cassiawind/cassiawind/entry/hop"
)

// Guards against forwarding a hop-by-hop header, which would let a caller
// change the framing or the persistence of the next connection.
func TestRemoveDropsHeadersOfOneConnection(t *testing.T) {
	h := http.Header{
		"Connection": {"close, X-Private", " Keep-Alive ,, Upgrade"}, "X-Private": {"1"}, "Keep-Alive": {"5"},
		"Transfer-Encoding": {"chunked"}, "Te": {"trailers"}, "Upgrade": {"h2c"}, "X-Kept": {"1"}, "Content-Type": {"a/b"},
		"Proxy-Connection": {"close"}, "Content-Length": {"2"},
	}
	hop.Remove(h)
	require.Equal(t, http.Header{"X-Kept": {"1"}, "Content-Type": {"a/b"}, "Content-Length": {"2"}}, h)
}
