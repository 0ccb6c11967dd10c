package peers

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"github.com/cassiawind/cassiawind/core/outbox"
	peerv1 "github.com/cassiawind/cassiawind/peerapi/peer/v1"
)

// waitTimeout bounds the time for which a test waits for a condition.
const waitTimeout = 30 * time.Second

// endpoint is the Directory and the Handler of one VM.
type endpoint struct {
	self           atomic.Pointer[peerv1.Member]
	peer           *peerv1.Member
	received       atomic.Int64
	onFirstMessage func()
	replies        []outbox.Send
}

func (e *endpoint) Self() *peerv1.Member       { return e.self.Load() }
func (e *endpoint) Peer(string) *peerv1.Member { return e.peer }
func (e *endpoint) Receive(*peerv1.Member, *peerv1.Message) []outbox.Send {
	if e.received.Add(1) == 1 && e.onFirstMessage != nil {
		e.onFirstMessage()
	}
	return e.replies
}

func newEndpoint(vm string, peer *peerv1.Member) *endpoint {
	e := &endpoint{peer: peer}
	e.self.Store(&peerv1.Member{Vm: vm, Incarnation: 1})
	return e
}

func heartbeat() *peerv1.Message {
	return &peerv1.Message{Kind: &peerv1.Message_Heartbeat{Heartbeat: &peerv1.Heartbeat{}}}
}

func startServer(t *testing.T, tr *Transport) *listener {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	srv := &http.Server{Handler: tr.Handler(), Protocols: protocols}
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	l := &listener{Listener: inner}
	go srv.Serve(l)
	t.Cleanup(func() { srv.Close() })
	return l
}

// listener accepts connections that can be made unresponsive: they stay open but
// no longer carry data.
type listener struct {
	net.Listener
	mu    sync.Mutex
	conns []*unresponsiveConn
}

type unresponsiveConn struct {
	net.Conn
	unresponsive, closed atomic.Bool
}

func (l *listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	c := &unresponsiveConn{Conn: conn}
	l.conns = append(l.conns, c)
	return c, nil
}

func (l *listener) makeAllUnresponsive() []*unresponsiveConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.conns {
		c.unresponsive.Store(true)
	}
	return l.conns[:len(l.conns):len(l.conns)]
}

func (c *unresponsiveConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.unresponsive.Load() {
			c.closed.Store(err != nil)
			return n, err
		}
	}
}

func (c *unresponsiveConn) Write(p []byte) (int, error) {
	if c.unresponsive.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if ok() {
			return
		}
	}
	require.FailNow(t, "condition not reached", what)
}

// Guards against a peer that cannot be reached again, or a connection that is
// never closed, after the connection became unresponsive.
func TestSilentConnection(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	b := newEndpoint("b", nil)
	l := startServer(t, New(ctx, b, b, logr.Discard()))
	a := newEndpoint("a", &peerv1.Member{Vm: "b", Incarnation: 1, PeerAddress: l.Addr().String()})
	transport := New(ctx, a, a, logr.Discard())
	send := func() bool {
		transport.Send([]outbox.Send{{To: "b", Message: heartbeat()}})
		return b.received.Load() > 0
	}
	eventually(t, "first message", send)
	unresponsive := l.makeAllUnresponsive()
	require.NotEmpty(t, unresponsive)
	eventually(t, "message on a new connection", func() bool {
		l.mu.Lock()
		reconnected := len(l.conns) > len(unresponsive)
		l.mu.Unlock()
		if !reconnected {
			b.received.Store(0)
		}
		return send() && reconnected
	})
	eventually(t, "unresponsive connections closed", func() bool {
		for _, c := range unresponsive {
			if !c.closed.Load() {
				return false
			}
		}
		return true
	})
}

// Guards against accepting replies to an earlier incarnation, and against
// sending messages of one incarnation in the name of another.
func TestNewIncarnation(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	b := newEndpoint("b", nil)
	b.replies = []outbox.Send{{To: "a", Message: heartbeat()}}
	a := newEndpoint("a", nil)
	next := &peerv1.Member{Vm: "a", Incarnation: 2}
	b.onFirstMessage = func() { a.self.Store(next) }
	l := startServer(t, New(ctx, b, b, logr.Discard()))
	a.peer = &peerv1.Member{Vm: "b", Incarnation: 1, PeerAddress: l.Addr().String()}
	tr := New(ctx, a, a, logr.Discard())
	q := newQueue(tr, a.peer)
	q.exchange(q.conn, a.Self(), []*peerv1.Message{heartbeat()}, waitTimeout)
	require.Equal(t, int64(1), b.received.Load())
	require.Zero(t, a.received.Load())
	q.exchange(q.conn, next, []*peerv1.Message{heartbeat()}, waitTimeout)
	require.Equal(t, int64(1), a.received.Load())

	old := &peerv1.Member{Vm: "a", Incarnation: 1}
	q.add(old, heartbeat())
	q.add(next, heartbeat())
	q.add(old, heartbeat())
	_, from, messages := q.takePending()
	require.Same(t, next, from)
	require.Len(t, messages, 1)
}

// Guards against delivering a batch for an earlier incarnation, and against
// replies in the name of an incarnation that began while the batch was handled.
func TestBatchForEarlierIncarnation(t *testing.T) {
	a := newEndpoint("a", nil)
	a.replies = []outbox.Send{{To: "b", Message: heartbeat()}}
	tr := New(context.Background(), a, a, logr.Discard())
	exchange := func(to uint64) *peerv1.Batch {
		resp, err := tr.Exchange(context.Background(), connect.NewRequest(&peerv1.Batch{
			From: &peerv1.Member{Vm: "b", Incarnation: 1}, ToVm: "a", ToIncarnation: to, Messages: []*peerv1.Message{heartbeat()},
		}))
		require.NoError(t, err)
		return resp.Msg
	}
	require.Empty(t, exchange(7).Messages)
	require.Zero(t, a.received.Load())
	a.onFirstMessage = func() { a.self.Store(&peerv1.Member{Vm: "a", Incarnation: 2}) }
	require.Empty(t, exchange(1).Messages)
	require.Len(t, exchange(2).Messages, 1)
}

// Guards against keeping the queues of VMs that were removed.
func TestRemoveUnusedQueues(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	a := newEndpoint("a", &peerv1.Member{Vm: "b", Incarnation: 1, PeerAddress: "127.0.0.1:1"})
	tr := New(ctx, a, a, logr.Discard())
	require.True(t, tr.removeIfEmpty(tr.queue("b")))
	require.Empty(t, tr.queues)
	tr.queue("b")
	a.peer = nil
	require.Nil(t, tr.queue("b"))
	require.Empty(t, tr.queues)
}
