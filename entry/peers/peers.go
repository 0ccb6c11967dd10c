// Package peers carries batches of messages between entry VMs over connect. It
// delivers at most once and may lose or reorder messages; the core packages
// expect that.
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
	// callTimeout bounds one exchange. It is below the lease of 3 s, so that a
	// connection that went silent costs at most one heartbeat round.
	callTimeout = time.Second
	// configTimeout bounds an exchange with a configuration, which is tens of
	// megabytes if it is a full one.
	configTimeout = 10 * time.Second
	// probeAfter and probeTimeout find a connection that went silent while no
	// exchange is open, and writeTimeout one that takes no more bytes.
	probeAfter   = 5 * time.Second
	probeTimeout = time.Second
	writeTimeout = time.Second
	// connIdleTimeout closes connections that were replaced.
	connIdleTimeout = 10 * time.Second
	// queueIdleTimeout ends the queue of a peer that is no longer sent to.
	queueIdleTimeout = time.Minute
	// dialTimeout bounds the opening of a connection.
	dialTimeout = 500 * time.Millisecond
	// queueLength bounds the messages that wait for one peer; more are dropped.
	queueLength = 1024
	// maxBatchBytes bounds a received batch. A full configuration is the
	// largest message.
	maxBatchBytes = 64 << 20
)

// Handler takes received messages and returns the ones to send back.
type Handler interface {
	// Receive handles one message of a peer. The returned messages for the
	// same peer travel in the answer, the others are sent on.
	Receive(from *peerv1.Member, msg *peerv1.Message) []outbox.Send
}

// Directory tells the addresses of peers.
type Directory interface {
	// Self returns this VM's current incarnation.
	Self() *peerv1.Member
	// Peer returns the member record of a VM, or nil if it is not known.
	Peer(vm string) *peerv1.Member
}

// Transport sends and receives batches. Use New.
type Transport struct {
	handler Handler
	dir     Directory
	log     logr.Logger
	ctx     context.Context

	mu     sync.Mutex
	queues map[string]*queue
}

// New returns a Transport whose goroutines end with ctx.
func New(ctx context.Context, h Handler, d Directory, log logr.Logger) *Transport {
	return &Transport{handler: h, dir: d, log: log, ctx: ctx, queues: map[string]*queue{}}
}

// Send queues messages for their receivers. It does not block.
func (t *Transport) Send(sends []outbox.Send) {
	self := t.dir.Self()
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
	member := t.dir.Peer(vm)
	t.mu.Lock()
	defer t.mu.Unlock()
	q := t.queues[vm]
	if q != nil && member != nil && q.peer.Incarnation == member.Incarnation && q.peer.PeerAddress == member.PeerAddress {
		return q
	}
	if q != nil {
		q.stop()
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

// retire ends a queue that nothing waits in.
func (t *Transport) retire(q *queue) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.waiting) > 0 {
		return false
	}
	if t.queues[q.peer.Vm] == q {
		delete(t.queues, q.peer.Vm)
	}
	q.stop()
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
	self := t.dir.Self()
	reply := &peerv1.Batch{From: self, ToVm: batch.From.GetVm(), ToIncarnation: batch.From.GetIncarnation()}
	if batch.From == nil || !addressed(batch, self) {
		return connect.NewResponse(reply), nil
	}
	reply.Messages = t.deliver(batch)
	if t.dir.Self() != self {
		// A message led to a new incarnation, and the answers may be of
		// either one.
		reply.Messages = nil
	}
	return connect.NewResponse(reply), nil
}

// addressed reports whether a batch is meant for this incarnation. Senders
// that do not know the incarnation yet leave it 0.
func addressed(b *peerv1.Batch, self *peerv1.Member) bool {
	return b.ToVm == self.Vm && (b.ToIncarnation == 0 || b.ToIncarnation == self.Incarnation)
}

// deliver hands a batch to the handler, returns the messages for its sender
// and sends the others.
func (t *Transport) deliver(b *peerv1.Batch) []*peerv1.Message {
	var back []*peerv1.Message
	var others []outbox.Send
	for _, msg := range b.Messages {
		for _, s := range t.handler.Receive(b.From, msg) {
			if s.To == b.From.Vm {
				back = append(back, s.Message)
			} else {
				others = append(others, s)
			}
		}
	}
	t.Send(others)
	return back
}

// queue sends the messages of one peer, one exchange at a time.
type queue struct {
	t    *Transport
	peer *peerv1.Member
	ctx  context.Context
	stop context.CancelFunc
	wake chan struct{}

	mu   sync.Mutex
	conn *conn
	// waiting are the messages of the incarnation from.
	waiting []*peerv1.Message
	from    *peerv1.Member
}

// conn is a client with a connection pool of its own.
type conn struct {
	client    peerv1connect.PeerServiceClient
	transport *http.Transport
}

func newConn(address string) *conn {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	transport := &http.Transport{
		DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext,
		Protocols:   protocols,
		HTTP2: &http.HTTP2Config{
			SendPingTimeout: probeAfter, PingTimeout: probeTimeout, WriteByteTimeout: writeTimeout,
		},
		IdleConnTimeout: connIdleTimeout,
	}
	client := peerv1connect.NewPeerServiceClient(&http.Client{Transport: transport},
		"http://"+address, connect.WithReadMaxBytes(maxBatchBytes))
	return &conn{client: client, transport: transport}
}

func newQueue(t *Transport, peer *peerv1.Member) *queue {
	ctx, stop := context.WithCancel(t.ctx)
	return &queue{t: t, peer: peer, conn: newConn(peer.PeerAddress), ctx: ctx, stop: stop, wake: make(chan struct{}, 1)}
}

// add queues a message of an incarnation of this VM. Messages of an earlier
// incarnation are dropped, since a batch has one sender.
func (q *queue) add(from *peerv1.Member, m *peerv1.Message) {
	q.mu.Lock()
	if q.from.GetIncarnation() < from.GetIncarnation() {
		q.from, q.waiting = from, nil
	}
	if len(q.waiting) < queueLength && q.from.GetIncarnation() == from.GetIncarnation() {
		q.waiting = append(q.waiting, m)
	}
	q.mu.Unlock()
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

func (q *queue) take() (*conn, *peerv1.Member, []*peerv1.Message) {
	q.mu.Lock()
	defer q.mu.Unlock()
	m := q.waiting
	q.waiting = nil
	return q.conn, q.from, m
}

// abandon replaces a connection that failed or went silent. Waiting for it to
// become idle would keep a silent connection in use, since exchanges overlap.
func (q *queue) abandon(c *conn) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.conn == c {
		q.conn = newConn(q.peer.PeerAddress)
	}
	c.transport.CloseIdleConnections()
}

func (q *queue) close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.conn.transport.CloseIdleConnections()
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
			if q.t.retire(q) {
				return
			}
		case <-q.wake:
		}
		idle.Reset(queueIdleTimeout)
		conn, from, messages := q.take()
		// Exchanges overlap: a peer that is slow to answer one batch must not
		// hold back the next heartbeat.
		config, others := splitConfig(messages)
		q.start(conn, from, config, configTimeout)
		q.start(conn, from, others, callTimeout)
	}
}

// splitConfig separates the messages that carry a configuration or are answered
// with one, which must not delay the others.
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

func (q *queue) start(c *conn, from *peerv1.Member, messages []*peerv1.Message, timeout time.Duration) {
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
		q.abandon(c)
		q.t.log.V(1).Info("peer exchange failed", "peer", q.peer.Vm, "error", err.Error())
		return
	}
	back := resp.Msg
	if back.From == nil || back.From.Vm != q.peer.Vm || !addressed(back, q.t.dir.Self()) {
		return
	}
	if answers := q.t.deliver(back); len(answers) > 0 {
		q.t.Send(sendsTo(q.peer.Vm, answers))
	}
}

func sendsTo(vm string, messages []*peerv1.Message) []outbox.Send {
	out := make([]outbox.Send, 0, len(messages))
	for _, m := range messages {
		out = append(out, outbox.Send{To: vm, Message: m})
	}
	return out
}
