package soak

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cassiawind/cassiawind/standin/platformstore"
)

// behaviour is what a backend server does with requests.
type behaviour string

// run is one request that a backend server ran.
type run struct {
	at            time.Time
	server, zone  string
	account, path string
	key           bool
}

// ledger notes what backend servers ran. It is what callers' answers are
// compared with.
type ledger struct {
	mu   sync.Mutex
	runs map[string][]run
}

func (l *ledger) add(id string, r run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[id] = append(l.runs[id], r)
}

// workTime is how long a request takes.
const workTime = 15 * time.Millisecond

// backend stands in for one backend server.
type backend struct {
	id, service, zone string
	listener          net.Listener
	ledger            *ledger
	link              *proxy
	slots             chan struct{}

	mu       sync.Mutex
	is       behaviour
	draining bool
}

// newBackend starts a server that listens at address; gateways reach it by link.
func newBackend(id, service, zone, address, link string, l *ledger) (*backend, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p, err := newProxy(link, address)
	if err != nil {
		return nil, err
	}
	b := &backend{id: id, service: service, zone: zone, listener: listener, ledger: l, link: p, slots: make(chan struct{}, 16)}
	server := &http.Server{Handler: b, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }()
	return b, nil
}

// register writes the entry of the server.
func (b *backend) register(s *platformstore.Store, state string) error {
	return s.Put("servers", b.id, map[string]any{
		"service": b.service, "address": b.link.listener.Addr().String(), "zone": b.zone, "version": "v1", "slots": 16,
		"state": state, "cold_left": "0ms", "sequence": 1, "born": 1,
	})
}

func (b *backend) set(v behaviour) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.is = v
}

// ServeHTTP implements http.Handler.
func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	b.mu.Lock()
	is, draining := b.is, b.draining
	b.mu.Unlock()
	w.Header().Set("X-Instance-Id", b.id)
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
	select {
	case b.slots <- struct{}{}:
		defer func() { <-b.slots }()
	default:
		is = behaviour(ServerSheds)
	}
	if is == behaviour(ServerSheds) {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	b.ledger.add(id, run{
		at: time.Now(), server: b.id, zone: b.zone, account: r.Header.Get("X-Tenant"), path: r.RequestURI,
		key: r.Header.Get("Authorization") != "",
	})
	if is == behaviour(ServerSlow) {
		time.Sleep(10 * workTime)
	}
	time.Sleep(workTime)
	switch is {
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
