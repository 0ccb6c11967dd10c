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
	self := t.dir.Self().Vm
	for _, s := range sends {
		if s.To == self {
			continue
		}
		if q := t.queue(s.To); q != nil {
			q.add(s.Message)
		}
	}
}

func (t *Transport) queue(vm string) *queue {
	member := t.dir.Peer(vm)
	if member == nil {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	q := t.queues[vm]
	if q != nil && q.peer.Incarnation == member.Incarnation && q.peer.PeerAddress == member.PeerAddress {
		return q
	}
	if q != nil {
		q.stop()
	}
	q = newQueue(t, member)
	t.queues[vm] = q
	go q.run()
	return q
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
	reply := &peerv1.Batch{From: t.dir.Self(), ToVm: batch.From.GetVm(), ToIncarnation: batch.From.GetIncarnation()}
	if batch.From == nil || !t.addressed(batch) {
		return connect.NewResponse(reply), nil
	}
	reply.Messages = t.deliver(batch)
	return connect.NewResponse(reply), nil
}

// addressed reports whether a batch is meant for this incarnation. Senders
// that do not know the incarnation yet leave it 0.
func (t *Transport) addressed(b *peerv1.Batch) bool {
	self := t.dir.Self()
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

	mu      sync.Mutex
	conn    *conn
	waiting []*peerv1.Message
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
	}
	client := peerv1connect.NewPeerServiceClient(&http.Client{Transport: transport},
		"http://"+address, connect.WithReadMaxBytes(maxBatchBytes))
	return &conn{client: client, transport: transport}
}

func newQueue(t *Transport, peer *peerv1.Member) *queue {
	ctx, stop := context.WithCancel(t.ctx)
	return &queue{t: t, peer: peer, conn: newConn(peer.PeerAddress), ctx: ctx, stop: stop, wake: make(chan struct{}, 1)}
}

func (q *queue) add(m *peerv1.Message) {
	q.mu.Lock()
	if len(q.waiting) < queueLength {
		q.waiting = append(q.waiting, m)
	}
	q.mu.Unlock()
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

func (q *queue) take() (*conn, []*peerv1.Message) {
	q.mu.Lock()
	defer q.mu.Unlock()
	m := q.waiting
	q.waiting = nil
	return q.conn, m
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
	for {
		select {
		case <-q.ctx.Done():
			return
		case <-q.wake:
		}
		if c, messages := q.take(); len(messages) > 0 {
			// Exchanges overlap: a peer that is slow to answer one batch must
			// not hold back the next heartbeat.
			go q.exchange(c, messages)
		}
	}
}

func (q *queue) exchange(c *conn, messages []*peerv1.Message) {
	ctx, cancel := context.WithTimeout(q.ctx, callTimeout)
	defer cancel()
	resp, err := c.client.Exchange(ctx, connect.NewRequest(&peerv1.Batch{
		From: q.t.dir.Self(), ToVm: q.peer.Vm, ToIncarnation: q.peer.Incarnation, Messages: messages,
	}))
	if err != nil {
		q.abandon(c)
		q.t.log.V(1).Info("peer exchange failed", "peer", q.peer.Vm, "error", err.Error())
		return
	}
	if back := resp.Msg; back.From != nil && back.From.Vm == q.peer.Vm {
		if answers := q.t.deliver(back); len(answers) > 0 {
			q.t.Send(sendsTo(q.peer.Vm, answers))
		}
	}
}

func sendsTo(vm string, messages []*peerv1.Message) []outbox.Send {
	out := make([]outbox.Send, 0, len(messages))
	for _, m := range messages {
		out = append(out, outbox.Send{To: vm, Message: m})
	}
	return out
}
