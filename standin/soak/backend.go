package soak

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cassiawind/cassiawind/standin/platformstore"
)

// behaviour is how a backend server handles requests: a Kind of server fault, or
// empty for normal operation.
type behaviour string

// execution is one request that a backend server ran.
type execution struct {
	at                    time.Time
	server, failureDomain string
	// start identifies the start of the server.
	start         string
	account, path string
	hasKey        bool
}

// executionLog records the requests that backend servers ran, by attempt id. The
// checks compare the outcomes that callers saw with it.
type executionLog struct {
	mu   sync.Mutex
	byID map[string][]execution
}

func (l *executionLog) add(id string, r execution) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.byID[id] = append(l.byID[id], r)
}

// serviceTime is how long a backend server works on a request.
const serviceTime = 15 * time.Millisecond

// backendServer stands in for one backend server.
type backendServer struct {
	id, service, failureDomain string
	listener                   net.Listener
	executions                 *executionLog
	proxy                      *proxy
	slots                      chan struct{}
	store                      *platformstore.Store
	// sequence counts the registrations, born the starts. registered is set while the
	// server is registered as ready, down while it has crashed.
	sequence, born   atomic.Int64
	registered, down atomic.Bool
	// hasPaused is set once the server has asked for a pause, recorded in pauses.
	hasPaused atomic.Bool
	pauses    *pauseLog

	mu        sync.Mutex
	behaviour behaviour
	draining  bool
	// limit is the limit that the server names in requests per second, or 0.
	limit float64
}

// newBackendServer starts a server that listens on address; gateways reach it
// through a proxy at proxyAddress.
func newBackendServer(id, service, failureDomain, address, proxyAddress string, store *platformstore.Store, executions *executionLog, pauses *pauseLog) (*backendServer, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	proxy, err := newProxy(proxyAddress, address)
	if err != nil {
		return nil, err
	}
	b := &backendServer{id: id, service: service, failureDomain: failureDomain, listener: listener, executions: executions, proxy: proxy, store: store, pauses: pauses, slots: make(chan struct{}, 16)}
	b.born.Store(1)
	server := &http.Server{Handler: b, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }()
	return b, nil
}

// register writes the registration of the server to the store.
func (b *backendServer) register(state string) error {
	b.registered.Store(state == "ready")
	return b.store.Put("servers", b.id, map[string]any{
		"service": b.service, "address": b.proxy.address, "zone": b.failureDomain, "version": "v1", "slots": 16,
		"state": state, "cold_left": "0ms", "sequence": b.sequence.Add(1), "born": b.born.Load(),
	})
}

// unregister removes the registration.
func (b *backendServer) unregister() {
	b.registered.Store(false)
	b.store.Delete("servers", b.id)
}

func (b *backendServer) setLimit(perSecond float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limit = perSecond
}

// nameLimit adds the current limit to a response.
func (b *backendServer) nameLimit(h http.Header) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.limit > 0 {
		h.Set("Server-Limit", strconv.FormatFloat(b.limit, 'f', -1, 64))
	}
}

func (b *backendServer) setBehaviour(v behaviour) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.behaviour = v
}

// headerStart names the start of the server that made a response.
const headerStart = "Soak-Start"

func (b *backendServer) startName() string { return fmt.Sprint(b.id, "@", b.born.Load()) }

// ServeHTTP implements http.Handler.
func (b *backendServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	b.mu.Lock()
	current, draining, start := b.behaviour, b.draining, b.startName()
	b.mu.Unlock()
	w.Header().Set("X-Instance-Id", b.id)
	w.Header().Set(headerStart, start)
	if draining {
		w.Header().Set("Server-Leaving", "1")
	}
	if r.URL.Path == "/health" {
		if draining {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	id := r.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", id)
	if r.Header.Get("X-Expect-Instance") != b.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if pausing := current == behaviour(ServerPauses); pausing || b.hasPaused.Load() {
		b.hasPaused.Store(true)
		b.pauses.add(b.id, id, pausing)
		if pausing {
			rejectWithPause(w)
			return
		}
	}
	select {
	case b.slots <- struct{}{}:
		defer func() { <-b.slots }()
	default:
		current = behaviour(ServerSheds)
	}
	if current == behaviour(ServerSheds) {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	b.executions.add(id, execution{
		at: time.Now(), server: b.id, start: start, failureDomain: b.failureDomain, account: r.Header.Get("X-Tenant"), path: r.RequestURI,
		hasKey: r.Header.Get("Authorization") != "",
	})
	if current == behaviour(ServerSlow) {
		time.Sleep(10 * serviceTime)
	}
	time.Sleep(serviceTime)
	if strings.Contains(r.URL.Path, crashMarker) {
		b.crash()
		panic(http.ErrAbortHandler)
	}
	b.nameLimit(w.Header())
	switch current {
	case behaviour(ServerAborts):
		panic(http.ErrAbortHandler)
	case behaviour(ServerTruncates):
		w.Header().Set("Content-Length", "1000")
		_, _ = w.Write([]byte("cut off"))
		panic(http.ErrAbortHandler)
	case behaviour(ServerFails):
		w.Header().Set("X-Server-Seal", "seal")
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("X-Server-Seal", "seal")
	_, _ = fmt.Fprintf(w, "%s %s %s", id, r.RequestURI, body)
}
