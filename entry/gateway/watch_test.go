package gateway

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"github.com/cassiawind/cassiawind/platform/adapter"
)

// storeStub stands in for the store, in virtual time. Its tables are empty, and its polls
// last as long as they may.
type storeStub struct {
	mu          sync.Mutex
	era         int
	unavailable bool
}

// RoundTrip implements http.RoundTripper.
func (s *storeStub) RoundTrip(r *http.Request) (*http.Response, error) {
	s.mu.Lock()
	unavailable := s.unavailable
	s.mu.Unlock()
	if wait, err := strconv.Atoi(r.URL.Query().Get("wait_ms")); err == nil && !unavailable {
		select {
		case <-time.After(time.Duration(wait) * time.Millisecond):
		case <-r.Context().Done():
			return nil, r.Context().Err()
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	response := &http.Response{
		StatusCode: http.StatusOK, ProtoMajor: 1, ProtoMinor: 1, Request: r, Body: io.NopCloser(strings.NewReader(`{"rows":[],"ver":5}`)),
		Header: http.Header{"Store-Era": {fmt.Sprint(s.era)}, "Content-Type": {"application/json"}},
	}
	if s.unavailable {
		response.StatusCode = http.StatusServiceUnavailable
	}
	return response, nil
}

func (s *storeStub) set(era int, unavailable bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era, s.unavailable = era, unavailable
}

// runWatches runs a test with the watches of a node in virtual time.
func runWatches(t *testing.T, test func(n *Node, s *storeStub)) {
	t.Helper()
	synctest.Test(t, func(*testing.T) {
		s := &storeStub{}
		n := newNode(testSettings(), logr.Discard(), &standInBackends{}, s)
		ctx, cancel := context.WithCancel(context.Background())
		for _, w := range n.watchers {
			go n.watchTable(ctx, w)
		}
		time.Sleep(15 * time.Second)
		test(n, s)
		cancel()
		time.Sleep(time.Minute)
	})
}

// Guards against registrations that are kept because the store counts as unavailable for
// as long as a poll of its servers lasts, although it answers again.
func TestStoreCountsAsAvailableOnceItAnswers(t *testing.T) {
	var during, after bool
	runWatches(t, func(n *Node, s *storeStub) {
		s.set(0, true)
		time.Sleep(3 * time.Second)
		during = n.serversUnavailable.Load()
		s.set(0, false)
		time.Sleep(maxBackoff*3/2 + recoveryPollWait)
		after = n.serversUnavailable.Load()
	})
	require.True(t, during)
	require.False(t, after)
}

// Guards against a table that stays at the state before a restoration of the store for as
// long as its poll lasts, and against a restoration that counts as an outage.
func TestRestorationEndsThePollsOfAllTables(t *testing.T) {
	eras := make(map[string]uint64)
	unavailable := false
	runWatches(t, func(n *Node, s *storeStub) {
		s.set(1, false)
		time.Sleep(operatorPollWait + time.Second)
		for _, table := range []string{adapter.TableOperator, adapter.TableServers, adapter.TableVMs} {
			position, _ := n.replicas.version(table)
			eras[table] = position.Era()
		}
		unavailable = n.serversUnavailable.Load() || n.operatorUnavailable.Load()
	})
	require.Equal(t, map[string]uint64{adapter.TableOperator: 1, adapter.TableServers: 1, adapter.TableVMs: 1}, eras)
	require.False(t, unavailable)
}
