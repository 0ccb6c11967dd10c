package gateway

import (
	"context"
	"fmt"
	"maps"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"github.com/cassiawind/cassiawind/core/catalog"
	"github.com/cassiawind/cassiawind/core/steering"
	"github.com/cassiawind/cassiawind/entry/ingress"
	"github.com/cassiawind/cassiawind/platform/adapter"
)

// linkState is what happens to the connections between a VM and the backend servers.
type linkState int

const (
	linksUp linkState = iota
	// linksHang lose the bytes of all connections.
	linksHang
	// linksReset close open connections and lose the bytes of new ones.
	linksReset
	// linksRefuse refuse new connections, while open ones work.
	linksRefuse
	// linksAbort close open connections, and new ones once they are open.
	linksAbort
)

// fleet is a fleet of nodes in virtual time. The links of each VM to the backend servers
// have a state of their own.
type fleet struct {
	nodes    map[string]*Node
	backends *standInBackends
	// relays are the listeners for relayed requests, by address.
	relays map[string]*pipeListener
	// withoutRelay holds the addresses of VMs of an earlier version, which do not listen.
	withoutRelay map[string]bool

	mu    sync.Mutex
	links map[string]linkState
	// spared are the servers that are reached whatever the state of the links is.
	spared map[string]bool
	// isDown reports whether a server refuses connections; nil if none does.
	isDown     func(server string) bool
	conns      map[*linkConn]bool
	relayConns []net.Conn
	// servers and vms are the registrations, and stop ends the work of the nodes.
	config  *steering.Config
	servers []catalog.RowChange[steering.Server]
	vms     []catalog.RowChange[steering.VM]
	stop    context.CancelFunc
	// quarantine keeps the quarantined requests.
	quarantine memoryQuarantine
}

// memoryQuarantine stands in for the table of quarantined requests.
type memoryQuarantine struct {
	mu   sync.Mutex
	rows map[string][]byte
	// era counts the restorations, reads and writes the calls. While failing is set, calls
	// fail.
	era           uint64
	reads, writes int
	failing       bool
}

var errStoreUnavailable = errors.New("store unavailable")

// Read implements quarantineRows.
func (q *memoryQuarantine) Read(context.Context, string) (adapter.Rows, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.reads++; q.failing {
		return adapter.Rows{}, errStoreUnavailable
	}
	var rows adapter.Rows
	for key, value := range q.rows {
		rows.Rows = append(rows.Rows, adapter.Row{Key: key, Value: value})
	}
	return rows, nil
}

// Update implements quarantineRows.
func (q *memoryQuarantine) Update(_ context.Context, _ string, put map[string][]byte, deleted []string) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.writes++; q.failing {
		return errStoreUnavailable
	}
	if q.rows == nil {
		q.rows = make(map[string][]byte)
	}
	maps.Copy(q.rows, put)
	for _, key := range deleted {
		delete(q.rows, key)
	}
	return nil
}

// Era implements quarantineRows.
func (q *memoryQuarantine) Era() uint64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.era
}

// startNodes starts a node on each VM, without anything that an earlier one knew.
func (f *fleet) startNodes(vms []string) {
	ctx, cancel := context.WithCancel(context.Background())
	f.stop = cancel
	for _, vm := range vms {
		settings := testSettings()
		settings.VM, settings.IP, settings.PeerPort, settings.Region = vm, vmIP(vm), 7600, regionOf(vm)
		n := newNode(settings, logr.Discard(), &vmDialer{f, vm}, nil)
		f.nodes[vm], n.quarantineRows = n, &f.quarantine
		n.mu.Lock()
		n.catalog.ApplyConfig(f.config)
		n.catalog.MarkOperatorLoaded()
		n.catalog.LoadServers(0, 1, f.servers)
		n.catalog.LoadVMs(0, 1, f.vms)
		n.publishView(0)
		n.mu.Unlock()
		l := &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
		f.relays[joinHostPort(vmIP(vm), n.relayPort())] = l
		go func() { _ = n.relayServer.Serve(l) }()
		go n.tickLoop(ctx)
		go n.loadQuarantine(ctx)
	}
}

// stopNodes ends the work of the nodes.
func (f *fleet) stopNodes() {
	f.stop()
	for _, l := range f.relays {
		_ = l.Close()
	}
	for _, n := range f.nodes {
		n.relayPool.CloseAllIdle()
	}
}

// pipeListener accepts connections within the process.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
}

func (l *pipeListener) dial() (net.Conn, error) {
	client, server := net.Pipe()
	select {
	case l.conns <- server:
		return client, nil
	case <-l.closed:
		return nil, errRefused
	}
}

// Accept implements net.Listener.
func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *pipeListener) Close() error {
	close(l.closed)
	return nil
}

// Addr implements net.Listener.
func (l *pipeListener) Addr() net.Addr { return nil }

// vmDialer opens connections to backend servers on behalf of one VM.
type vmDialer struct {
	fleet *fleet
	vm    string
}

var errRefused = errors.Wrap(syscall.ECONNREFUSED, "dial")

// DialContext implements upstream.Dialer.
func (d *vmDialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	if d.fleet.withoutRelay[address] {
		return nil, errRefused
	}
	if l := d.fleet.relays[address]; l != nil {
		c, err := l.dial()
		d.fleet.mu.Lock()
		defer d.fleet.mu.Unlock()
		d.fleet.relayConns = append(d.fleet.relayConns, c)
		return c, err
	}
	switch d.fleet.linkTo(d.vm, address) {
	case linksHang, linksReset:
		<-ctx.Done()
		return nil, ctx.Err()
	case linksRefuse:
		return nil, errRefused
	case linksAbort:
		client, server := net.Pipe()
		return client, server.Close()
	}
	nc, err := d.fleet.backends.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	c := &linkConn{Conn: nc, fleet: d.fleet, vm: d.vm, server: address}
	d.fleet.mu.Lock()
	d.fleet.conns[c] = true
	d.fleet.mu.Unlock()
	return c, nil
}

// linkConn is a connection from a VM to a backend server.
type linkConn struct {
	net.Conn
	fleet      *fleet
	vm, server string
}

// Write implements net.Conn.
func (c *linkConn) Write(p []byte) (int, error) {
	if c.fleet.linkTo(c.vm, c.server) == linksHang {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Read implements net.Conn. Responses that arrive while the links hang are lost.
func (c *linkConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || c.fleet.linkTo(c.vm, c.server) != linksHang {
			return n, err
		}
	}
}

// linkTo returns the state of the link from a VM to a server.
func (f *fleet) linkTo(vm, server string) linkState {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.isDown != nil && f.isDown(server) {
		return linksRefuse
	}
	if f.spared[server] {
		return linksUp
	}
	return f.links[vm]
}

// setLinks sets the state of a VM's links to the backend servers.
func (f *fleet) setLinks(vm string, state linkState) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.links[vm] = state
	for c := range f.conns {
		if c.vm == vm && (state == linksReset || state == linksAbort) && !f.spared[c.server] {
			_ = c.Conn.Close()
		}
	}
}

// fleetConfig returns a configuration with the limits that requests need to be read from
// a connection.
func fleetConfig(accounts ...*steering.Account) *steering.Config {
	if accounts == nil {
		accounts = []*steering.Account{{Name: "t1", Keys: []string{"k1"}}}
	}
	hall := &steering.Route{
		Name: "hall", Host: "h", Prefix: "/hall/", TrafficSplit: []steering.WeightedService{{Service: "hall", Weight: 1}}, Idempotent: true,
		Timeout: 1500 * time.Millisecond, Objective: 400 * time.Millisecond, MaxAttempts: 2, Priority: 1,
	}
	services := []*steering.Service{{Name: "desk", HealthPath: "/health"}, {Name: "hall", HealthPath: "/health"}}
	config := steering.NewConfig(1, append(testRoutes(), hall), services, accounts, steering.Limits{})
	config.Limits = steering.Limits{MaxHeaderBytes: 16 << 10, MaxBodyBytes: 1 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}
	return config
}

// fleetServers and hallServers are the numbers of backend servers of the two services.
const (
	fleetServers = 12
	hallServers  = 4
)

// regionOf returns the region of a VM. All servers are in the region north.
func regionOf(vm string) string {
	if vm == "vm-south" {
		return "south"
	}
	return "north"
}

// vmIP returns the address of a VM.
func vmIP(vm string) string { return fmt.Sprintf("127.0.1.%d", vm[len(vm)-1]) }

// runFleet runs a test with a fleet of nodes in virtual time.
func runFleet(t *testing.T, respond func(*http.Request) string, config *steering.Config, vms []string, test func(f *fleet)) {
	t.Helper()
	synctest.Test(t, func(*testing.T) {
		f := &fleet{
			nodes: make(map[string]*Node), backends: &standInBackends{handlers: make(map[string]func(*http.Request) string)},
			links: make(map[string]linkState), conns: make(map[*linkConn]bool), relays: make(map[string]*pipeListener), withoutRelay: make(map[string]bool),
		}
		var servers []catalog.RowChange[steering.Server]
		for i := range fleetServers + hallServers {
			id, service := fmt.Sprintf("s%d", i), "desk"
			if i >= fleetServers {
				id, service = fmt.Sprintf("h%d", i-fleetServers), "hall"
			}
			f.backends.handlers[id] = respond
			servers = append(servers, catalog.RowChange[steering.Server]{Key: id, Position: 1, Value: &steering.Server{
				ID: id, Service: service, Address: id, FailureDomain: []string{"a", "b"}[i%2], Region: "north", Slots: 8,
			}})
		}
		var rows []catalog.RowChange[steering.VM]
		for _, vm := range vms {
			rows = append(rows, catalog.RowChange[steering.VM]{Key: vm, Position: 1, Value: &steering.VM{
				// The nodes have no socket for messages to this port, which needs no look-up.
				Name: vm, FailureDomain: "a", Region: regionOf(vm), FrontAddress: vm + ":8206", PeerAddress: vmIP(vm) + ":99999", Weight: 1,
			}})
		}
		f.config, f.servers, f.vms = config, servers, rows
		f.startNodes(vms)
		test(f)
		f.stopNodes()
		f.mu.Lock()
		for c := range f.conns {
			_ = c.Conn.Close()
		}
		f.mu.Unlock()
		time.Sleep(time.Minute)
	})
}

// serve sends a request to a VM.
func (f *fleet) serve(ctx context.Context, vm, method, target string) *ingress.Response {
	return (&handler{f.nodes[vm]}).Serve(ctx, newRequest(method, target))
}

// load sends requests to each VM, lookups and bookings in turn, and returns the number of
// requests that were served by VM. The requests of a VM overlap.
func (f *fleet) load(perVM int, interval time.Duration) map[string]int {
	served := make(map[string]int)
	var mu sync.Mutex
	var callers sync.WaitGroup
	for i := range perVM {
		for vm := range f.nodes {
			callers.Go(func() {
				method, target := "GET", "/look/x"
				if i%2 == 1 {
					method, target = "POST", "/book/x"
				}
				if f.serve(context.Background(), vm, method, target).Status == http.StatusOK {
					mu.Lock()
					served[vm]++
					mu.Unlock()
				}
			})
		}
		time.Sleep(interval)
	}
	callers.Wait()
	return served
}

// loseLinks makes a VM lose its links to the backend servers and waits until it has
// noticed.
func (f *fleet) loseLinks(vm string) {
	f.setLinks(vm, linksReset)
	n := f.nodes[vm]
	for {
		n.mu.Lock()
		lost := n.links.Lost()
		for i := range fleetServers {
			n.links.ConnectFailed(fmt.Sprintf("s%d", i))
		}
		n.mu.Unlock()
		if lost {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}
