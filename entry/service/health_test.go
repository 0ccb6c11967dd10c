package service

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against polls that keep using an unresponsive connection.
func TestPollReplacesUnresponsiveConnection(t *testing.T) {
	var mu sync.Mutex
	polls := map[string]int{}
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		polls[r.RemoteAddr]++
		unresponsive := polls[r.RemoteAddr] > 1
		mu.Unlock()
		if unresponsive {
			<-r.Context().Done()
			return
		}
		io.WriteString(w, `{"state":"serving","slots":4,"in_flight":1}`)
	}))
	defer srv.Close()
	p := NewPoller()
	address := strings.TrimPrefix(srv.URL, "http://")
	for _, answered := range []bool{true, false, true} {
		_, err := p.fetchHealth(context.Background(), address)
		require.Equal(t, answered, err == nil)
	}
	require.Len(t, polls, 2, "the first two polls share a connection")
}
