package gateway

import (
	"compress/gzip"
	"context"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"github.com/cassiawind/cassiawind/core/catalog"
	"github.com/cassiawind/cassiawind/core/steering"
	"github.com/cassiawind/cassiawind/platform/adapter"
)

// restoredStore stands in for the store of a large fleet, in virtual time. It has the
// registrations of the VMs. Its era grows when it is restored.
type restoredStore struct {
	vms []byte

	mu          sync.Mutex
	era, calls  int
	unavailable bool
	// cut is set for VMs that do not reach the store.
	cut map[string]bool
}

// vmStore is the store as one VM reaches it.
type vmStore struct {
	*restoredStore
	vm string
}

// RoundTrip implements http.RoundTripper.
func (s vmStore) RoundTrip(r *http.Request) (*http.Response, error) {
	for {
		s.mu.Lock()
		cut := s.cut[s.vm]
		s.mu.Unlock()
		if !cut {
			return s.restoredStore.RoundTrip(r)
		}
		select {
		case <-time.After(50 * time.Millisecond):
		case <-r.Context().Done():
			return nil, r.Context().Err()
		}
	}
}

// RoundTrip implements http.RoundTripper.
func (s *restoredStore) RoundTrip(r *http.Request) (*http.Response, error) {
	s.mu.Lock()
	s.calls++
	unavailable, era := s.unavailable, s.era
	s.mu.Unlock()
	if wait, err := strconv.Atoi(r.URL.Query().Get("wait_ms")); err == nil && !unavailable {
		for waited := 0; waited < wait && era == s.currentEra(); waited += 50 {
			select {
			case <-time.After(50 * time.Millisecond):
			case <-r.Context().Done():
				return nil, r.Context().Err()
			}
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	body := `{"rows":[],"ver":5}`
	if r.URL.Query().Get("table") == adapter.TableVMs && !r.URL.Query().Has("wait_ms") {
		body = string(s.vms)
	}
	response := &http.Response{
		StatusCode: http.StatusOK, ProtoMajor: 1, ProtoMinor: 1, Request: r, Body: io.NopCloser(strings.NewReader(body)),
		Header: http.Header{"Store-Era": {strconv.Itoa(s.era)}, "Content-Type": {"application/json"}},
	}
	switch {
	case s.unavailable:
		response.StatusCode = http.StatusServiceUnavailable
	case r.URL.Query().Has("wait_ms") && s.era != era:
		response.StatusCode = http.StatusGone
	}
	return response, nil
}

func (s *restoredStore) currentEra() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// peerTransport lets VMs read from each other.
type peerTransport map[string]*Node

// RoundTrip implements http.RoundTripper.
func (p peerTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	time.Sleep(2 * messageDelay)
	recorder := httptest.NewRecorder()
	p[r.URL.Host].serveChanges(recorder, r)
	response := recorder.Result()
	// As http.Transport does.
	decoded, err := gzip.NewReader(response.Body)
	if err != nil {
		return nil, err
	}
	response.Body = io.NopCloser(decoded)
	return response, nil
}

// storeFleet is a fleet of nodes that follow a store, in virtual time.
type storeFleet struct {
	store *restoredStore
	nodes peerTransport
}

// runStoreFleet runs a test with a fleet whose VMs have read the store and know each other.
func runStoreFleet(t *testing.T, vms int, test func(f *storeFleet)) {
	t.Helper()
	synctest.Test(t, func(*testing.T) {
		f := &storeFleet{store: &restoredStore{cut: make(map[string]bool)}, nodes: make(peerTransport)}
		type row struct {
			Key   string `json:"key"`
			Value string `json:"value"`
			Ver   int    `json:"ver"`
		}
		var rows []row
		var registered []catalog.RowChange[steering.VM]
		ctx, cancel := context.WithCancel(context.Background())
		for i := range vms {
			name, region := fmt.Sprintf("vm-%04d", i), fmt.Sprint("region-", i%3)
			settings := testSettings()
			settings.VM, settings.IP, settings.PeerPort, settings.Region = name, fmt.Sprintf("127.1.%d.%d", i/250, i%250), 7600, region
			n := newNode(settings, logr.Discard(), &standInBackends{}, vmStore{f.store, name})
			f.nodes[n.peerAddress()] = n
			raw, err := json.Marshal(vmRegistration{FailureDomain: region, Region: region, PeerAddress: n.peerAddress(), Incarnation: n.incarnation, Weight: 1})
			require.NoError(t, err)
			vm, err := DecodeVM(name, raw)
			require.NoError(t, err)
			rows = append(rows, row{name, base64.StdEncoding.EncodeToString(raw), 1})
			registered = append(registered, catalog.RowChange[steering.VM]{Key: name, Position: 1, Value: vm})
		}
		var err error
		f.store.vms, err = json.Marshal(map[string]any{"rows": rows, "ver": 5})
		require.NoError(t, err)
		for _, n := range f.nodes {
			n.hubClient.Transport = f.nodes
			n.sendDatagram = func(address string, datagram []byte) error {
				time.AfterFunc(messageDelay, func() { f.nodes[address].receiveDatagram(ctx, datagram) })
				return nil
			}
			n.mu.Lock()
			n.catalog.ApplyConfig(fleetConfig())
			n.catalog.MarkOperatorLoaded()
			n.catalog.LoadVMs(0, 1, registered)
			n.publishView(0)
			n.mu.Unlock()
			for _, w := range n.watchers {
				go n.watchTable(ctx, w)
			}
			for _, run := range []func(context.Context){n.reportLoop, n.heartbeatLoop, n.hubReadLoop, n.loadQuarantine} {
				go run(ctx)
			}
		}
		time.Sleep(20 * time.Second)
		test(f)
		cancel()
		time.Sleep(time.Minute)
	})
}

// restore restores the store after an outage and returns the time until all VMs have read
// all tables of the new era, and the calls to the store in the ten seconds from the outage.
func (f *storeFleet) restore(outage time.Duration) (agreement time.Duration, calls int) {
	f.set(func(s *restoredStore) { s.unavailable, s.calls = true, 0 })
	time.Sleep(outage)
	f.set(func(s *restoredStore) { s.unavailable, s.era = false, s.era+1 })
	begin := time.Now()
	for agreement == 0 && time.Since(begin) < time.Minute {
		time.Sleep(10 * time.Millisecond)
		if f.agrees() {
			agreement = time.Since(begin)
		}
	}
	time.Sleep(time.Until(begin.Add(10*time.Second - outage)))
	f.set(func(s *restoredStore) { calls = s.calls })
	return agreement, calls
}

func (f *storeFleet) set(change func(s *restoredStore)) {
	f.store.mu.Lock()
	defer f.store.mu.Unlock()
	change(f.store)
}

func (f *storeFleet) agrees() bool {
	for _, n := range f.nodes {
		for _, table := range replicatedTables {
			if position, _ := n.replicas.version(table); position.Era() != uint64(f.store.currentEra()) {
				return false
			}
		}
	}
	return true
}

// Guards against VMs that stay with the state from before a restoration of the store for
// longer than a configuration may take, and against a fleet that reads the store anew all
// at once.
func TestVMsAgreeSoonAfterARestoration(t *testing.T) {
	// The time in which a configuration must be in effect: that of the users' deployments,
	// and the target for 4,100 VMs.
	const configApply, targetApply = 2 * time.Second, 11 * time.Second
	for vms, bound := range map[int]time.Duration{10: configApply, 84: configApply, 300: targetApply} {
		t.Run(fmt.Sprint(vms, " VMs"), func(t *testing.T) {
			runStoreFleet(t, vms, func(f *storeFleet) {
				f.set(func(s *restoredStore) { s.calls = 0 })
				time.Sleep(10 * time.Second)
				quiet := 0
				f.set(func(s *restoredStore) { quiet = s.calls })
				for range 3 {
					agreement, calls := f.restore(300 * time.Millisecond)
					t.Log(vms, "VMs agree after", agreement, "calls in 10 s", calls, "quiet", quiet)
					require.NotZero(t, agreement)
					require.LessOrEqual(t, agreement, bound)
				}
			})
		})
	}
}

// Guards against a hub that stays with an old state because it does not reach the store,
// although the other hub does, alone or with half of the fleet.
func TestHubWithoutTheStoreLearnsFromTheOtherHub(t *testing.T) {
	const vms = 10
	for _, cut := range []int{1, vms / 2} {
		runStoreFleet(t, vms, func(f *storeFleet) {
			hubs, others := 0, 0
			for _, n := range f.nodes {
				n.mu.Lock()
				isHub := n.peers.IsHub(n.now())
				n.mu.Unlock()
				switch {
				case isHub && hubs == 0:
					hubs++
				case !isHub && others < cut-1:
					others++
				default:
					continue
				}
				f.set(func(s *restoredStore) { s.cut[n.settings.VM] = true })
			}
			time.Sleep(5 * time.Second)
			agreement, _ := f.restore(300 * time.Millisecond)
			t.Log(cut, "of", vms, "VMs cut: agreement after", agreement)
			require.NotZero(t, agreement)
			require.LessOrEqual(t, agreement, 4*time.Second)
		})
	}
}
