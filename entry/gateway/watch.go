package gateway

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"github.com/cassiawind/cassiawind/core/catalog"
	"github.com/cassiawind/cassiawind/core/steering"
	"github.com/cassiawind/cassiawind/platform"
	"github.com/cassiawind/cassiawind/platform/adapter"
)

const (
	// operatorWait and entryWait are how long the store holds an unanswered
	// feed. The feed of the operator's table also shows that the store is
	// there, so it is short; its failure ends the others.
	operatorWait = 700 * time.Millisecond
	entryWait    = 10 * time.Second
	// operatorSlack and entrySlack are added before a feed counts as lost.
	operatorSlack = 500 * time.Millisecond
	entrySlack    = 1500 * time.Millisecond
	// soundFor is for how long an answer shows that the store is there.
	soundFor = operatorWait + operatorSlack + operatorPause
	// followPause is the interval at which a VM that reads from a hub looks
	// whether the hub is still sound.
	followPause = 150 * time.Millisecond
	// readTimeout bounds a full read of a table.
	readTimeout = 3 * time.Second
	// writeTimeout bounds a write.
	writeTimeout = 2 * time.Second
	// operatorPause and entryPause are the least times between two feeds of a
	// table, so that changes in quick succession take one call.
	operatorPause = 200 * time.Millisecond
	entryPause    = 300 * time.Millisecond
	// firstBackoff and maxBackoff bound the pause after a failed call.
	firstBackoff = 150 * time.Millisecond
	maxBackoff   = 1200 * time.Millisecond
)

// watcher follows one table of the store.
type watcher struct {
	table string
	// pause is the least time between two feeds, wait how long the store holds
	// one and slack what is added before it counts as lost.
	pause, wait, slack time.Duration
	// stale is set once the history after the known version is gone.
	stale bool
	// load takes a full read and reports whether it was used; apply takes
	// changed rows. Node.mu is held.
	load  func(now time.Duration, rows adapter.Rows) bool
	apply func(now time.Duration, rows []adapter.Row)
	// lost and regained tell whether the table can be read.
	lost, regained func()
}

// follow reads the table and then its changes until ctx ends. While a hub is
// sound and this VM is none, it waits: relayLoop reads from the hub.
func (n *Node) follow(ctx context.Context, w *watcher) {
	lost := false
	backoff := firstBackoff
	for ctx.Err() == nil {
		after, loaded := n.mirrors.version(w.table)
		if loaded && !n.reads() {
			if lost {
				lost = false
				n.log.Info("store replaced by a hub", "table", w.table, "version", after)
				w.regained()
			}
			n.sleep(ctx, followPause)
			continue
		}
		rows, full, err := n.next(ctx, w, loaded && !w.stale, after)
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, adapter.ErrHistoryTruncated) {
			n.log.Info("history of the store is gone, reading in full", "table", w.table, "version", after)
			w.stale = true
			n.sleep(ctx, jitter(firstBackoff))
			continue
		}
		if err != nil {
			if !lost {
				lost = true
				n.log.Info("store lost", "table", w.table, "error", err.Error())
				w.lost()
			}
			n.metrics.Count(1, "store_calls", w.table, "failed")
			n.resetFeeds()
			n.sleep(ctx, jitter(backoff))
			backoff = min(2*backoff, maxBackoff)
			continue
		}
		n.metrics.Count(1, "store_calls", w.table, "ok")
		backoff = firstBackoff
		if w.table == adapter.TableOperator {
			n.storeHeard.Store(int64(n.now()))
		}
		if lost {
			lost = false
			n.log.Info("store regained", "table", w.table, "version", rows.Version)
			w.regained()
		}
		if !n.take(w, full, rows) {
			n.log.Info("full read of the store is older than what is known", "table", w.table, "read", rows.Version, "known", after)
			n.sleep(ctx, jitter(2*firstBackoff))
			continue
		}
		if full {
			w.stale = false
		}
		if full || len(rows.Rows) > 0 {
			n.sleep(ctx, w.pause)
		}
	}
}

// take puts rows in force that came from the store or from a hub. It reports
// false for a full read that is older than what is known.
func (n *Node) take(w *watcher, full bool, rows adapter.Rows) bool {
	now := n.now()
	n.mu.Lock()
	used := true
	if full {
		used = w.load(now, rows)
	} else if len(rows.Rows) > 0 {
		w.apply(now, rows.Rows)
	}
	if used && (full || len(rows.Rows) > 0) {
		n.rebuild(now)
	}
	n.mu.Unlock()
	if !used {
		return false
	}
	before, _ := n.mirrors.version(w.table)
	n.mirrors.take(w.table, full, rows)
	if after, _ := n.mirrors.version(w.table); after > before {
		wake(n.pulseWake)
	}
	return true
}

// wake makes the receiver of a channel run once more.
func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// reads reports whether this VM must follow the store itself.
func (n *Node) reads() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.peers.Reads(n.now())
}

// sound reports whether the store answered this VM a moment ago and all tables
// were read.
func (n *Node) sound() bool {
	_, loaded := n.mirrors.versions()
	return loaded && n.now()-time.Duration(n.storeHeard.Load()) < soundFor && !n.operatorLost.Load() && !n.serversLost.Load()
}

// resetFeeds ends the feeds that wait for an answer: where one connection to
// the store went silent, the others may have as well.
func (n *Node) resetFeeds() {
	n.feedMu.Lock()
	defer n.feedMu.Unlock()
	if n.feedCancel != nil {
		n.feedCancel()
	}
	n.feedCtx, n.feedCancel = context.WithCancel(context.Background())
}

func (n *Node) feedContext() context.Context {
	n.feedMu.Lock()
	defer n.feedMu.Unlock()
	return n.feedCtx
}

// next reads a table in full or waits for changes.
func (n *Node) next(ctx context.Context, w *watcher, loaded bool, after uint64) (adapter.Rows, bool, error) {
	if !loaded {
		ctx, cancel := context.WithTimeout(ctx, readTimeout)
		defer cancel()
		rows, err := n.store.Read(ctx, w.table)
		return rows, true, err
	}
	ctx, cancel := context.WithTimeout(ctx, w.wait+w.slack)
	defer cancel()
	feeds := n.feedContext()
	stop := context.AfterFunc(feeds, cancel)
	defer stop()
	rows, err := n.store.Watch(ctx, w.table, after, w.wait)
	return rows, false, err
}

func (n *Node) sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// jitter spreads the calls of VMs that lost the store together.
func jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(rand.Int64N(int64(d)))
}

func (n *Node) operatorWatcher() *watcher {
	return &watcher{
		table: adapter.TableOperator, pause: operatorPause, wait: operatorWait, slack: operatorSlack,
		load: func(now time.Duration, rows adapter.Rows) bool {
			var zones []catalog.Change[struct{}]
			for _, row := range rows.Rows {
				if _, zone := adapter.ParseOperatorKey(row.Key); zone != "" {
					zones = append(zones, catalog.Change[struct{}]{Key: zone, Version: row.Version, Value: &struct{}{}})
				}
			}
			if !n.catalog.LoadEvacuations(now, rows.Version, zones) {
				return false
			}
			n.applyConfigRows(rows.Rows)
			n.catalog.OperatorLoaded()
			return true
		},
		apply: func(now time.Duration, rows []adapter.Row) {
			n.applyConfigRows(rows)
			for _, row := range rows {
				_, zone := adapter.ParseOperatorKey(row.Key)
				if zone == "" {
					continue
				}
				change := catalog.Change[struct{}]{Key: zone, Version: row.Version}
				if !row.Deleted {
					change.Value = &struct{}{}
				}
				if n.catalog.ApplyEvacuation(now, change) {
					n.log.Info("evacuation changed", "failureDomain", zone, "evacuated", !row.Deleted, "version", row.Version)
				}
			}
		},
		lost:     func() { n.operatorLost.Store(true) },
		regained: func() { n.operatorLost.Store(false) },
	}
}

// applyConfigRows puts the newest configuration in force; the caller holds mu.
func (n *Node) applyConfigRows(rows []adapter.Row) {
	for _, row := range rows {
		if isConfig, _ := adapter.ParseOperatorKey(row.Key); !isConfig || row.Deleted {
			continue
		}
		config, err := adapter.DecodeConfig(row.Value)
		if err != nil {
			n.log.Info("configuration cannot be read", "version", row.Version, "error", err.Error())
			continue
		}
		if n.catalog.ApplyConfig(config) {
			n.log.Info("configuration in force", "config", config.Version, "version", row.Version,
				"routes", config.Routes(), "services", len(config.Services), "accounts", len(config.Accounts))
		}
	}
}

// changesOf decodes rows of entries. One that cannot be read is logged, with its
// key as the named field, and marked, so that what is known of it stays.
func changesOf[T any](n *Node, unreadable, field string, rows []adapter.Row, decode func(adapter.Row) (*T, error)) []catalog.Change[T] {
	changes := make([]catalog.Change[T], 0, len(rows))
	for _, row := range rows {
		change := catalog.Change[T]{Key: row.Key, Version: row.Version}
		if !row.Deleted {
			value, err := decode(row)
			if err != nil {
				change.Unreadable = true
				n.log.Info(unreadable, field, row.Key, "version", row.Version, "error", err.Error())
			}
			change.Value = value
		}
		changes = append(changes, change)
	}
	return changes
}

func (n *Node) serversWatcher() *watcher {
	decode := func(now time.Duration, rows []adapter.Row) []catalog.Change[steering.Server] {
		return changesOf(n, "backend server entry cannot be read", "server", rows, func(row adapter.Row) (*steering.Server, error) {
			return adapter.DecodeServer(row.Key, row.Value, n.settings.RegionOf, now)
		})
	}
	return &watcher{
		table: adapter.TableServers, pause: entryPause, wait: entryWait, slack: entrySlack,
		load: func(now time.Duration, rows adapter.Rows) bool {
			return n.catalog.LoadServers(now, rows.Version, decode(now, rows.Rows))
		},
		apply: func(now time.Duration, rows []adapter.Row) {
			for _, change := range decode(now, rows) {
				if n.catalog.ApplyServer(now, change) {
					n.logServer(change)
				}
			}
		},
		lost: func() {
			n.serversLost.Store(true)
			n.mu.Lock()
			defer n.mu.Unlock()
			n.catalog.StoreLost()
		},
		regained: func() {
			n.serversLost.Store(false)
			n.mu.Lock()
			defer n.mu.Unlock()
			n.catalog.StoreRegained(n.now())
		},
	}
}

func (n *Node) logServer(c catalog.Change[steering.Server]) {
	if c.Value == nil {
		n.log.Info("backend server gone", "server", c.Key, "version", c.Version)
		return
	}
	n.log.Info("backend server changed", "server", c.Key, "service", c.Value.Service, "failureDomain", c.Value.Zone,
		"draining", c.Value.Draining, "version", c.Version)
}

// vmEntry is the entry of a VM in the store.
type vmEntry struct {
	FailureDomain string `json:"failure_domain"`
	Region        string `json:"region"`
	FrontAddress  string `json:"front"`
	PeerAddress   string `json:"exchange"`
	Incarnation   int64  `json:"born"`
	Leaving       bool   `json:"leaving,omitempty"`
	// Weight is higher for VMs that can carry more.
	Weight float64 `json:"weight"`
}

// ErrVMRegistration means that the entry of a VM cannot be read.
var ErrVMRegistration = errors.New("unreadable VM entry")

// DecodeVM decodes the entry of a VM.
func DecodeVM(name string, raw []byte) (*steering.VM, error) {
	var e vmEntry
	if err := json.Unmarshal(raw, &e); err != nil {
		return nil, errors.Wrap(ErrVMRegistration, err.Error())
	}
	return &steering.VM{
		Name: name, Zone: e.FailureDomain, Region: e.Region, Front: e.FrontAddress,
		Exchange: e.PeerAddress, Born: e.Incarnation, Leaving: e.Leaving, Weight: e.Weight,
	}, nil
}

func (n *Node) vmsWatcher() *watcher {
	decode := func(rows []adapter.Row) []catalog.Change[steering.VM] {
		return changesOf(n, "VM entry cannot be read", "vm", rows, func(row adapter.Row) (*steering.VM, error) {
			return DecodeVM(row.Key, row.Value)
		})
	}
	return &watcher{
		table: adapter.TableVMs, pause: entryPause, wait: entryWait, slack: entrySlack,
		load: func(now time.Duration, rows adapter.Rows) bool {
			return n.catalog.LoadVMs(rows.Version, decode(rows.Rows))
		},
		apply: func(now time.Duration, rows []adapter.Row) {
			for _, change := range decode(rows) {
				if n.catalog.ApplyVM(change) {
					n.log.Info("VM changed", "vm", change.Key, "gone", change.Value == nil, "version", change.Version)
				}
			}
		},
		lost: func() {}, regained: func() {},
	}
}

// registerVM writes this VM's entry until the store has it.
func (n *Node) registerVM(ctx context.Context) {
	if !n.registering.CompareAndSwap(false, true) {
		return
	}
	defer n.registering.Store(false)
	backoff := firstBackoff
	for ctx.Err() == nil && !n.stopping.Load() {
		if err := n.writeEntry(ctx, false); err == nil {
			n.log.Info("VM registered", "vm", n.settings.VM)
			return
		} else {
			n.log.Info("VM not registered", "vm", n.settings.VM, "error", err.Error())
		}
		n.sleep(ctx, jitter(backoff))
		backoff = min(2*backoff, maxBackoff)
	}
}

func (n *Node) writeEntry(ctx context.Context, leaving bool) error {
	raw, err := json.Marshal(vmEntry{
		FailureDomain: n.settings.FailureDomain, Region: n.settings.Region, FrontAddress: n.settings.FrontAddress,
		PeerAddress: n.exchangeAddress(), Incarnation: n.born, Leaving: leaving,
		Weight: n.settings.LinkMbps * n.settings.Cores,
	})
	if err != nil {
		return errors.WithStack(err)
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	return n.store.Put(ctx, adapter.TableVMs, n.settings.VM, raw)
}

// removeVM removes the entry of a VM that is gone.
func (n *Node) removeVM(ctx context.Context, name string, version uint64) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	err := n.store.DeleteIfVersion(ctx, adapter.TableVMs, name, version)
	if err != nil && !errors.Is(err, platform.ErrConflict) {
		n.log.Info("entry of a gone VM not removed", "vm", name, "error", err.Error())
		return
	}
	n.log.Info("entry of a gone VM removed", "vm", name, "version", version)
}
