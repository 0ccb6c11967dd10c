package peers

import (
	"context"
	"io"
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

// bound is how long a test waits for a condition.
const bound = 30 * time.Second

// endpoint is the Directory and the Handler of one VM.
type endpoint struct {
	self     atomic.Pointer[peerv1.Member]
	peer     *peerv1.Member
	received atomic.Int64
	onFirst  func()
	answer   []outbox.Send
}

func (e *endpoint) Self() *peerv1.Member       { return e.self.Load() }
func (e *endpoint) Peer(string) *peerv1.Member { return e.peer }
func (e *endpoint) Receive(*peerv1.Member, *peerv1.Message) []outbox.Send {
	if e.received.Add(1) == 1 && e.onFirst != nil {
		e.onFirst()
	}
	return e.answer
}

func newEndpoint(vm string, peer *peerv1.Member) *endpoint {
	e := &endpoint{peer: peer}
	e.self.Store(&peerv1.Member{Vm: vm, Incarnation: 1})
	return e
}

func heartbeat() *peerv1.Message {
	return &peerv1.Message{Kind: &peerv1.Message_Heartbeat{Heartbeat: &peerv1.Heartbeat{}}}
}

func listen(t *testing.T) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	return l
}

func serve(t *testing.T, tr *Transport) string {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	srv := &http.Server{Handler: tr.Handler(), Protocols: protocols}
	l := listen(t)
	go srv.Serve(l)
	t.Cleanup(func() { srv.Close() })
	return l.Addr().String()
}

// relay passes connections on. Those that were opened before a call of silence
// then pass nothing on any more and stay open.
type relay struct {
	mu    sync.Mutex
	conns []*relayed
}

type relayed struct {
	silent atomic.Bool
	closed atomic.Bool
}

func (r *relay) run(l net.Listener, target string) {
	for {
		in, err := l.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", target)
		if err != nil {
			in.Close()
			continue
		}
		c := &relayed{}
		r.mu.Lock()
		r.conns = append(r.conns, c)
		r.mu.Unlock()
		go func() {
			c.pass(out, in)
			c.closed.Store(true)
			out.Close()
		}()
		go func() {
			c.pass(in, out)
			in.Close()
		}()
	}
}

// pass reads until the connection ends and writes unless it is silent.
func (c *relayed) pass(to io.Writer, from io.Reader) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		if !c.silent.Load() {
			_, _ = to.Write(buf[:n])
		}
	}
}

func (r *relay) silence() []*relayed {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.conns {
		c.silent.Store(true)
	}
	return r.conns[:len(r.conns):len(r.conns)]
}

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(bound); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if ok() {
			return
		}
	}
	require.FailNow(t, "condition not reached", what)
}

// Guards against a peer that is never reached again, or a connection that is
// never closed, after the connection to it went silent.
func TestSilentConnection(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	b := newEndpoint("b", nil)
	target := serve(t, New(ctx, b, b, logr.Discard()))
	l := listen(t)
	r := &relay{}
	go r.run(l, target)
	a := newEndpoint("a", &peerv1.Member{Vm: "b", Incarnation: 1, PeerAddress: l.Addr().String()})
	tr := New(ctx, a, a, logr.Discard())
	send := func() bool {
		tr.Send([]outbox.Send{{To: "b", Message: heartbeat()}})
		return b.received.Load() > 0
	}
	eventually(t, "first message", send)
	silent := r.silence()
	require.NotEmpty(t, silent)
	// What the relay had passed on before has arrived when its target is idle.
	time.Sleep(200 * time.Millisecond)
	b.received.Store(0)
	eventually(t, "message on a new connection", send)
	eventually(t, "silent connections closed", func() bool {
		for _, c := range silent {
			if !c.closed.Load() {
				return false
			}
		}
		return true
	})
}

// Guards against answers to an earlier incarnation being taken for answers to
// the present one, and messages of one sent in the name of the other.
func TestNewIncarnation(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	b := newEndpoint("b", nil)
	b.answer = []outbox.Send{{To: "a", Message: heartbeat()}}
	a := newEndpoint("a", nil)
	next := &peerv1.Member{Vm: "a", Incarnation: 2}
	b.onFirst = func() { a.self.Store(next) }
	target := serve(t, New(ctx, b, b, logr.Discard()))
	a.peer = &peerv1.Member{Vm: "b", Incarnation: 1, PeerAddress: target}
	tr := New(ctx, a, a, logr.Discard())
	q := newQueue(tr, a.peer)
	q.exchange(q.conn, a.Self(), []*peerv1.Message{heartbeat()}, bound)
	require.Equal(t, int64(1), b.received.Load())
	require.Zero(t, a.received.Load())
	q.exchange(q.conn, next, []*peerv1.Message{heartbeat()}, bound)
	require.Equal(t, int64(1), a.received.Load())

	old := &peerv1.Member{Vm: "a", Incarnation: 1}
	q.add(old, heartbeat())
	q.add(next, heartbeat())
	q.add(old, heartbeat())
	_, from, messages := q.take()
	require.Same(t, next, from)
	require.Len(t, messages, 1)
}

// Guards against a batch for an earlier incarnation being delivered, and answers
// given in the name of an incarnation that began while the batch was handled.
func TestBatchForEarlierIncarnation(t *testing.T) {
	a := newEndpoint("a", nil)
	a.answer = []outbox.Send{{To: "b", Message: heartbeat()}}
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
	a.onFirst = func() { a.self.Store(&peerv1.Member{Vm: "a", Incarnation: 2}) }
	require.Empty(t, exchange(1).Messages)
	require.Len(t, exchange(2).Messages, 1)
}

// Guards against queues that are kept for VMs that are gone.
func TestRetire(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	a := newEndpoint("a", &peerv1.Member{Vm: "b", Incarnation: 1, PeerAddress: "127.0.0.1:1"})
	tr := New(ctx, a, a, logr.Discard())
	q := tr.queue("b")
	require.True(t, tr.retire(q))
	require.Empty(t, tr.queues)
	tr.queue("b")
	a.peer = nil
	require.Nil(t, tr.queue("b"))
	require.Empty(t, tr.queues)
}
