// Package peers exchanges batches of messages between entry VMs over Connect
// RPC. A message is delivered at most once, and messages may be lost or
// reordered; the core packages are designed for this.
package peers

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/go-logr/logr"

	"github.com/cassiawind/cassiawind/core/outbox"
	peerv1 "github.com/cassiawind/cassiawind/peerapi/peer/v1"
	"github.com/cassiawind/cassiawind/peerapi/peer/v1/peerv1connect"
)

const (
	// exchangeTimeout bounds one exchange. It is shorter than the lease of 1.5 s, so
	// that an unresponsive connection costs at most one round of heartbeats.
	exchangeTimeout = time.Second
	// configExchangeTimeout bounds an exchange with a configuration. A full
	// configuration has tens of megabytes.
	configExchangeTimeout = 10 * time.Second
	// pingAfterIdle and pingTimeout detect a connection that became
	// unresponsive while no exchange is open. writeTimeout detects a connection
	// that accepts no more bytes.
	pingAfterIdle = 5 * time.Second
	pingTimeout   = time.Second
	writeTimeout  = time.Second
	// connIdleTimeout bounds how long a replaced connection stays open.
	connIdleTimeout = 10 * time.Second
	// queueIdleTimeout bounds how long the queue of a peer is kept after the
	// last message.
	queueIdleTimeout = time.Minute
	// dialTimeout bounds the time for opening a connection.
	dialTimeout = 500 * time.Millisecond
	// maxQueuedMessages bounds the number of messages that wait for one peer.
	// Further messages are dropped.
	maxQueuedMessages = 1024
	// maxBatchBytes bounds a received batch. The largest message is a full
	// configuration.
	maxBatchBytes = 64 << 20
)

// Handler handles received messages and returns the messages to send.
type Handler interface {
	// Receive handles one message of a peer. Returned messages for that peer
	// are sent with the response, all others through their queues.
	Receive(from *peerv1.Member, msg *peerv1.Message) []outbox.Send
}

// Directory provides the addresses of peers.
type Directory interface {
	// Self returns this VM's current incarnation.
	Self() *peerv1.Member
	// Peer returns the member record of a VM, or nil if the VM is unknown.
	Peer(vm string) *peerv1.Member
}

// Transport sends and receives batches of messages. Create it with New.
type Transport struct {
	handler   Handler
	directory Directory
	log       logr.Logger
	ctx       context.Context

	mu     sync.Mutex
	queues map[string]*queue
}

// New returns a Transport. Its goroutines end when ctx is done.
func New(ctx context.Context, h Handler, directory Directory, log logr.Logger) *Transport {
	return &Transport{handler: h, directory: directory, log: log, ctx: ctx, queues: map[string]*queue{}}
}

// Send queues messages for their receivers. It does not block.
func (t *Transport) Send(sends []outbox.Send) {
	self := t.directory.Self()
	for _, s := range sends {
		if s.To == self.Vm {
			continue
		}
		if q := t.queue(s.To); q != nil {
			q.add(self, s.Message)
		}
	}
}

func (t *Transport) queue(vm string) *queue {
	member := t.directory.Peer(vm)
	t.mu.Lock()
	defer t.mu.Unlock()
	q := t.queues[vm]
	if q != nil && member != nil && q.peer.Incarnation == member.Incarnation && q.peer.PeerAddress == member.PeerAddress {
		return q
	}
	if q != nil {
		q.cancel()
		delete(t.queues, vm)
	}
	if member == nil {
		return nil
	}
	q = newQueue(t, member)
	t.queues[vm] = q
	go q.run()
	return q
}

// removeIfEmpty stops and removes a queue if it has no pending messages.
func (t *Transport) removeIfEmpty(q *queue) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.pending) > 0 {
		return false
	}
	if t.queues[q.peer.Vm] == q {
		delete(t.queues, q.peer.Vm)
	}
	q.cancel()
	return true
}

// Handler returns the HTTP handler of the peer service.
func (t *Transport) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(peerv1connect.NewPeerServiceHandler(t, connect.WithReadMaxBytes(maxBatchBytes)))
	return mux
}

// Exchange implements the peer service.
func (t *Transport) Exchange(_ context.Context, req *connect.Request[peerv1.Batch]) (*connect.Response[peerv1.Batch], error) {
	batch := req.Msg
	self := t.directory.Self()
	reply := &peerv1.Batch{From: self, ToVm: batch.From.GetVm(), ToIncarnation: batch.From.GetIncarnation()}
	if batch.From == nil || !isAddressedTo(batch, self) {
		return connect.NewResponse(reply), nil
	}
	reply.Messages = t.handleBatch(batch)
	if t.directory.Self() != self {
		// A message has started a new incarnation, and each reply may belong to
		// either incarnation.
		reply.Messages = nil
	}
	return connect.NewResponse(reply), nil
}

// isAddressedTo reports whether a batch is addressed to this incarnation. A
// sender that does not know the incarnation yet sets it to 0.
func isAddressedTo(b *peerv1.Batch, self *peerv1.Member) bool {
	return b.ToVm == self.Vm && (b.ToIncarnation == 0 || b.ToIncarnation == self.Incarnation)
}

// handleBatch passes the messages of a batch to the handler. It returns the
// messages for the sender and sends the others.
func (t *Transport) handleBatch(b *peerv1.Batch) []*peerv1.Message {
	var replies []*peerv1.Message
	var others []outbox.Send
	for _, msg := range b.Messages {
		for _, s := range t.handler.Receive(b.From, msg) {
			if s.To == b.From.Vm {
				replies = append(replies, s.Message)
			} else {
				others = append(others, s)
			}
		}
	}
	t.Send(others)
	return replies
}

// queue sends the messages for one peer in batches.
type queue struct {
	transport *Transport
	peer      *peerv1.Member
	ctx       context.Context
	cancel    context.CancelFunc
	ready     chan struct{}

	mu   sync.Mutex
	conn *conn
	// pending are the messages that wait to be sent. All of them are from the
	// incarnation sender.
	pending []*peerv1.Message
	sender  *peerv1.Member
}

// conn is a client with its own connection pool.
type conn struct {
	client        peerv1connect.PeerServiceClient
	httpTransport *http.Transport
}

func newConn(address string) *conn {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	transport := &http.Transport{
		DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext,
		Protocols:   protocols,
		HTTP2: &http.HTTP2Config{
			SendPingTimeout: pingAfterIdle, PingTimeout: pingTimeout, WriteByteTimeout: writeTimeout,
		},
		IdleConnTimeout: connIdleTimeout,
	}
	client := peerv1connect.NewPeerServiceClient(&http.Client{Transport: transport},
		"http://"+address, connect.WithReadMaxBytes(maxBatchBytes))
	return &conn{client: client, httpTransport: transport}
}

func newQueue(t *Transport, peer *peerv1.Member) *queue {
	ctx, cancel := context.WithCancel(t.ctx)
	return &queue{transport: t, peer: peer, conn: newConn(peer.PeerAddress), ctx: ctx, cancel: cancel, ready: make(chan struct{}, 1)}
}

// add queues a message of an incarnation of this VM. Messages of an earlier
// incarnation are dropped, because a batch has a single sender.
func (q *queue) add(from *peerv1.Member, m *peerv1.Message) {
	q.mu.Lock()
	if q.sender.GetIncarnation() < from.GetIncarnation() {
		q.sender, q.pending = from, nil
	}
	if len(q.pending) < maxQueuedMessages && q.sender.GetIncarnation() == from.GetIncarnation() {
		q.pending = append(q.pending, m)
	}
	q.mu.Unlock()
	select {
	case q.ready <- struct{}{}:
	default:
	}
}

func (q *queue) takePending() (*conn, *peerv1.Member, []*peerv1.Message) {
	q.mu.Lock()
	defer q.mu.Unlock()
	m := q.pending
	q.pending = nil
	return q.conn, q.sender, m
}

// replaceConn replaces a connection that failed or became unresponsive. The
// connection would never become idle by itself, because exchanges overlap and
// keep using it.
func (q *queue) replaceConn(c *conn) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.conn == c {
		q.conn = newConn(q.peer.PeerAddress)
	}
	c.httpTransport.CloseIdleConnections()
}

func (q *queue) close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.conn.httpTransport.CloseIdleConnections()
}

func (q *queue) run() {
	defer q.close()
	idle := time.NewTimer(queueIdleTimeout)
	defer idle.Stop()
	for {
		select {
		case <-q.ctx.Done():
			return
		case <-idle.C:
			if q.transport.removeIfEmpty(q) {
				return
			}
		case <-q.ready:
		}
		idle.Reset(queueIdleTimeout)
		conn, from, messages := q.takePending()
		// Exchanges overlap, so that a slow response to one batch does not delay
		// the next heartbeat.
		config, others := splitConfig(messages)
		q.startExchange(conn, from, config, configExchangeTimeout)
		q.startExchange(conn, from, others, exchangeTimeout)
	}
}

// splitConfig separates the messages that carry or request a configuration,
// because they must not delay the others.
func splitConfig(messages []*peerv1.Message) (config, others []*peerv1.Message) {
	for _, m := range messages {
		switch m.Kind.(type) {
		case *peerv1.Message_ConfigRequest, *peerv1.Message_ConfigUpdate:
			config = append(config, m)
		default:
			others = append(others, m)
		}
	}
	return config, others
}

func (q *queue) startExchange(c *conn, from *peerv1.Member, messages []*peerv1.Message, timeout time.Duration) {
	if len(messages) > 0 {
		go q.exchange(c, from, messages, timeout)
	}
}

func (q *queue) exchange(c *conn, from *peerv1.Member, messages []*peerv1.Message, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(q.ctx, timeout)
	defer cancel()
	resp, err := c.client.Exchange(ctx, connect.NewRequest(&peerv1.Batch{
		From: from, ToVm: q.peer.Vm, ToIncarnation: q.peer.Incarnation, Messages: messages,
	}))
	if err != nil {
		q.replaceConn(c)
		q.transport.log.V(1).Info("peer exchange failed", "peer", q.peer.Vm, "error", err.Error())
		return
	}
	reply := resp.Msg
	if reply.From == nil || reply.From.Vm != q.peer.Vm || !isAddressedTo(reply, q.transport.directory.Self()) {
		return
	}
	if replies := q.transport.handleBatch(reply); len(replies) > 0 {
		q.transport.Send(sendsTo(q.peer.Vm, replies))
	}
}

func sendsTo(vm string, messages []*peerv1.Message) []outbox.Send {
	out := make([]outbox.Send, 0, len(messages))
	for _, m := range messages {
		out = append(out, outbox.Send{To: vm, Message: m})
	}
	return out
}
