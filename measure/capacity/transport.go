package capacity

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"github.com/cassiawind/cassiawind/core/outbox"
	"github.com/cassiawind/cassiawind/declare"
	"github.com/cassiawind/cassiawind/entry/peers"
	"github.com/cassiawind/cassiawind/entry/policy"
	"github.com/cassiawind/cassiawind/entry/service"
	peerv1 "github.com/cassiawind/cassiawind/peerapi/peer/v1"
)

const (
	roleTransport = "transport between entry VMs"
	roleHealth    = "health and load of sites"

	byHints   = "hints in the heartbeat"
	byServers = "backend servers"

	atExchange = "one heartbeat and its ack in an exchange, 10 at once"
	atPolling  = "every VM polls every server each second"

	loopback        = "127.0.0.1:0"
	tcp             = "tcp"
	serverFormat    = "server-%04d"
	serviceName     = "service"
	contentType     = "Content-Type"
	jsonType        = "application/json"
	healthResponse  = `{"state":"serving","slots":8,"in_flight":3}`
	hintUnits       = 95_325
	exchangeTimeout = 5 * time.Second
	// burst is the number of members that receive a heartbeat at the same time.
	// The rounds are roundInterval apart, so that both ends are idle in between.
	burst         = 10
	rounds        = 100
	warmUpRounds  = 10
	roundInterval = 20 * time.Millisecond
	pollDuration  = 3 * time.Second
)

// Series of the transports.
var (
	exchangeCPU    = Series{roleTransport, "time of both ends for an exchange", unitCPUMicros, byHints, atExchange}
	exchangeBytes  = Series{roleTransport, "bytes of both directions of an exchange, TCP payload", unitBytes, byHints, atExchange}
	exchangeMemory = Series{roleTransport, "memory of both ends of a connection", unitBytes, "connections", noConditions}
	pollMessages   = Series{roleHealth, "polls", unitPerVM, byServers, atPolling}
	pollBytes      = Series{roleHealth, "bytes of both directions, TCP payload", unitBytesPerVM, byServers, atPolling}
	pollCPU        = Series{roleHealth, "time of both ends", unitCPUPerVM, byServers, atPolling}
	pollMemory     = Series{roleHealth, "memory of core/balance and entry/service", "bytes/VM", byServers, atPolling}
)

// ErrExchange means that an exchange over loopback got no reply within
// exchangeTimeout.
var ErrExchange = errors.New("exchange got no reply in time")

// countingListener counts the bytes of its connections in both directions.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

// Accept implements net.Listener.
func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return countingConn{c, l.bytes}, err
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read implements net.Conn.
func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// endpoint is one end of the peer transport.
type endpoint struct {
	self   *peerv1.Member
	others map[string]*peerv1.Member
	acks   chan struct{}
}

// Self implements peers.Directory.
func (e *endpoint) Self() *peerv1.Member { return e.self }

// Peer implements peers.Directory.
func (e *endpoint) Peer(vm string) *peerv1.Member { return e.others[vm] }

// Receive implements peers.Handler. It acknowledges heartbeats as the granter of a
// lease does.
func (e *endpoint) Receive(from *peerv1.Member, m *peerv1.Message) []outbox.Send {
	hb := m.GetHeartbeat()
	if hb == nil {
		e.acks <- struct{}{}
		return nil
	}
	ack := &peerv1.HeartbeatAck{SentNs: hb.SentNs, Epoch: hb.Epoch, ConfigVersion: hb.ConfigVersion, TableContactAgeMs: 1}
	return []outbox.Send{{To: from.Vm, Message: &peerv1.Message{Kind: &peerv1.Message_HeartbeatAck{HeartbeatAck: ack}}}}
}

// startServer starts an HTTP server on loopback. It returns the address, the counter of
// the bytes on its connections, and the function that stops it.
func startServer(h http.Handler) (string, *atomic.Int64, func() error, error) {
	l, err := net.Listen(tcp, loopback)
	if err != nil {
		return "", nil, nil, errors.WithStack(err)
	}
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	bytes := new(atomic.Int64)
	s := &http.Server{Handler: h, Protocols: protocols}
	go s.Serve(countingListener{l, bytes})
	return l.Addr().String(), bytes, s.Close, nil
}

// heartbeat returns a heartbeat with a number of quota hints.
func heartbeat(hints int) *peerv1.Message {
	hb := &peerv1.Heartbeat{SentNs: 1 << 59, Epoch: 1, ConfigVersion: 1, TableContactAgeMs: 1}
	for i := range hints {
		hb.Hints = append(hb.Hints, &peerv1.QuotaHint{Limit: fmt.Sprintf(limitNameFormat, i), Units: hintUnits, DemandUnits: hintUnits})
	}
	return &peerv1.Message{Kind: &peerv1.Message_Heartbeat{Heartbeat: hb}}
}

// measureExchange measures the Connect transport of entry/peers over loopback.
// Heartbeats go to several members at the same time, each over its own connection.
func measureExchange(r *Recorder, hints []int) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	receiver := &endpoint{self: newMember(1)}
	address, bytes, stop, err := startServer(peers.New(ctx, receiver, receiver, logr.Discard()).Handler())
	if err != nil {
		return err
	}
	defer stop()
	receiver.self.PeerAddress = address
	sender := &endpoint{self: newMember(0), others: map[string]*peerv1.Member{}, acks: make(chan struct{}, burst)}
	// One VM under several names stands for several members.
	for i := range burst {
		sender.others[fmt.Sprintf(vmNameFormat, i+1)] = receiver.self
	}
	transport := peers.New(ctx, sender, sender, logr.Discard())
	for _, n := range hints {
		if err := exchangeRounds(transport, sender, heartbeat(n), warmUpRounds); err != nil {
			return err
		}
		before, cpuBefore := bytes.Load(), cpuTime()
		if err := exchangeRounds(transport, sender, heartbeat(n), rounds); err != nil {
			return err
		}
		r.Add(exchangeCPU, noConditions, float64(n), (cpuTime()-cpuBefore).Seconds()*microseconds/(rounds*burst))
		r.Add(exchangeBytes, noConditions, float64(n), float64(bytes.Load()-before)/(rounds*burst))
	}
	return nil
}

// exchangeRounds sends a message to all members in each round and waits for the acks.
func exchangeRounds(transport *peers.Transport, sender *endpoint, m *peerv1.Message, count int) error {
	var sends []outbox.Send
	for vm := range sender.others {
		sends = append(sends, outbox.Send{To: vm, Message: m})
	}
	for range count {
		transport.Send(sends)
		for range sends {
			select {
			case <-sender.acks:
			case <-time.After(exchangeTimeout):
				return ErrExchange
			}
		}
		time.Sleep(roundInterval)
	}
	return nil
}

// measureConnections measures the memory of the connections between entry VMs.
func measureConnections(r *Recorder, counts []int) error {
	for _, n := range counts {
		if err := measureConnectionMemory(r, n); err != nil {
			return err
		}
	}
	return nil
}

func measureConnectionMemory(r *Recorder, n int) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	receiver := &endpoint{self: newMember(1)}
	receiver.self.Vm = ""
	receiver.self.Incarnation = 0
	address, _, stop, err := startServer(peers.New(ctx, receiver, receiver, logr.Discard()).Handler())
	if err != nil {
		return err
	}
	defer stop()
	before := liveHeap()
	sender := &endpoint{self: newMember(0), others: map[string]*peerv1.Member{}, acks: make(chan struct{}, n)}
	transport := peers.New(ctx, sender, sender, logr.Discard())
	for i := range n {
		m := newMember(i + 1)
		// All connections go to one listener, whose VM has no name.
		m.PeerAddress = address
		sender.others[m.Vm] = m
		transport.Send([]outbox.Send{{To: m.Vm, Message: heartbeat(0)}})
	}
	time.Sleep(connectWait)
	r.Add(exchangeMemory, noConditions, float64(n), float64(liveHeap()-before))
	return nil
}

// connectWait is the time in which all connections are opened.
const connectWait = time.Second

// measurePolling measures the health polls of entry/service. All backend servers share
// one listener.
func measurePolling(r *Recorder, servers []int) error {
	var polls atomic.Int64
	address, bytes, stop, err := startServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		polls.Add(1)
		w.Header().Set(contentType, jsonType)
		_, _ = io.WriteString(w, healthResponse)
	}))
	if err != nil {
		return err
	}
	defer stop()
	for _, n := range servers {
		before := liveHeap()
		svc := service.New(serviceName, 1)
		declared := &declare.Service{Name: serviceName}
		for i := range n {
			declared.BackendServers = append(declared.BackendServers, declare.BackendServer{
				Name: fmt.Sprintf(serverFormat, i), Address: address, Region: regionName(i % regionsTarget), Slots: 8, Connections: 360,
			})
		}
		svc.Configure(time.Now(), &policy.Policy{Services: map[string]*declare.Service{serviceName: declared}}, 1)
		size := float64(n)
		r.Add(pollMemory, noConditions, size, float64(liveHeap()-before))
		ctx, cancel := context.WithTimeout(context.Background(), pollDuration)
		bytes.Store(0)
		polls.Store(0)
		cpuBefore := cpuTime()
		service.NewPoller().Run(ctx, svc)
		cancel()
		took := cpuTime() - cpuBefore
		// The polls at 0, 1 and 2 s are within pollDuration; those at 3 s may be.
		rounds := float64(polls.Load()) / size
		r.Add(pollMessages, noConditions, size, float64(polls.Load())/rounds)
		r.Add(pollBytes, noConditions, size, float64(bytes.Load())/rounds)
		r.Add(pollCPU, noConditions, size, took.Seconds()*microseconds/rounds)
	}
	return nil
}
