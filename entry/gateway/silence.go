package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/cassiawind/cassiawind/core/placement"
	"github.com/cassiawind/cassiawind/core/steering"
	"github.com/cassiawind/cassiawind/entry/upstream"
)

// errSilent cancels an exchange with a server that answers nothing.
var errSilent = errors.New("backend server answers neither requests nor a probe")

// silentWait is an exchange that can be given up: its request may run again.
type silentWait struct {
	cancel context.CancelCauseFunc
}

// watchSilence looks at an exchange that takes longer than expected. If its
// server has answered nothing since it began, the server is probed; without an
// answer all exchanges with it that may be repeated are given up, so that they
// reach another server before their callers leave. A server that is only slow
// answers the probe, so nothing is run twice under overload. The returned
// function ends the watch.
func (n *Node) watchSilence(ctx context.Context, choice placement.Choice, cancel context.CancelCauseFunc) (stop func()) {
	id, begin, w := choice.Server.ID, n.now(), &silentWait{cancel}
	n.mu.Lock()
	if n.waits[id] == nil {
		n.waits[id] = make(map[*silentWait]bool)
	}
	n.waits[id][w] = true
	n.mu.Unlock()
	timer := time.AfterFunc(placement.Overdue(choice.Expected), func() { n.doubt(ctx, choice.Server, begin) })
	return func() {
		timer.Stop()
		n.mu.Lock()
		defer n.mu.Unlock()
		delete(n.waits[id], w)
		if len(n.waits[id]) == 0 {
			delete(n.waits, id)
		}
	}
}

// doubt probes a server that has answered nothing since a request was sent.
func (n *Node) doubt(ctx context.Context, s *steering.Server, begin time.Duration) {
	n.mu.Lock()
	timeout, due := n.picker.Doubt(n.now(), s.ID, begin)
	n.mu.Unlock()
	if !due {
		return
	}
	n.metrics.Count(1, "probes", "silent")
	if n.answersProbe(ctx, s, timeout) {
		return
	}
	n.mu.Lock()
	if !n.picker.Silent(n.now(), s.ID, begin) {
		n.mu.Unlock()
		return
	}
	waits := n.waits[s.ID]
	n.log.Info("backend server is silent", "server", s.ID, "service", s.Service, "probeMS", timeout.Milliseconds(), "givenUp", len(waits))
	cancels := make([]context.CancelCauseFunc, 0, len(waits))
	for w := range waits {
		cancels = append(cancels, w.cancel)
	}
	n.mu.Unlock()
	for _, cancel := range cancels {
		cancel(errSilent)
	}
}

// answersProbe reports whether a server answers at all on a new connection.
func (n *Node) answersProbe(ctx context.Context, s *steering.Server, timeout time.Duration) bool {
	config := n.view.Load().Config
	if config == nil || config.Services[s.Service] == nil {
		return true
	}
	got, _, err := n.pool.Do(context.WithoutCancel(ctx), &upstream.Call{
		Server: s.ID, Address: s.Address, Method: http.MethodGet, Target: config.Services[s.Service].HealthPath,
		Host: s.Address, Header: http.Header{}, Idempotent: true, Fresh: true, Deadline: time.Now().Add(timeout),
	})
	return err == nil && got.Told.Instance == s.ID
}
