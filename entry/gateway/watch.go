package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"github.com/cassiawind/cassiawind/core/catalog"
	"github.com/cassiawind/cassiawind/core/steering"
	"github.com/cassiawind/cassiawind/platform"
	"github.com/cassiawind/cassiawind/platform/adapter"
)

const (
	// operatorPollWait and registrationPollWait are how long the store holds a
	// poll while nothing changes. The poll of the operator's table also shows
	// that the store is reachable, so it is short; its failure ends the other
	// polls.
	operatorPollWait     = 700 * time.Millisecond
	registrationPollWait = 10 * time.Second
	// recoveryPollWait is how long the store holds the first poll after a failed one. Until
	// it returns, the table counts as unavailable.
	recoveryPollWait = 100 * time.Millisecond
	// operatorPollMargin and registrationPollMargin are added before a poll
	// counts as lost.
	operatorPollMargin     = 500 * time.Millisecond
	registrationPollMargin = 1500 * time.Millisecond
	// storeContactValidity is how long a response shows that the store is
	// reachable.
	storeContactValidity = operatorPollWait + operatorPollMargin + operatorMinInterval
	// hubCheckInterval is the interval at which a VM that reads from a hub
	// checks that the hub is still healthy.
	hubCheckInterval = 150 * time.Millisecond
	// storeReadTimeout bounds a full read of a table.
	storeReadTimeout = 3 * time.Second
	// storeWriteTimeout bounds a write to the store.
	storeWriteTimeout = 2 * time.Second
	// operatorMinInterval and registrationMinInterval are the shortest pauses
	// between two polls of a table after a change, so that changes in quick
	// succession take one call.
	operatorMinInterval     = 200 * time.Millisecond
	registrationMinInterval = 300 * time.Millisecond
	// initialBackoff and maxBackoff bound the pause after a failed call.
	initialBackoff = 150 * time.Millisecond
	maxBackoff     = 1200 * time.Millisecond
)

// watcher watches one table of the store.
type watcher struct {
	table string
	// minInterval is the shortest pause between two polls after a change,
	// pollWait how long the store holds a poll, and pollMargin what is added
	// before it counts as lost.
	minInterval, pollWait, pollMargin time.Duration
	// needsFullRead is set once the store no longer has the changes after the
	// known version.
	needsFullRead bool
	// load applies a full read and reports whether it was used; apply applies
	// changed rows. Node.mu is held during both.
	load  func(now time.Duration, rows adapter.Rows) bool
	apply func(now time.Duration, rows []adapter.Row)
	// onLost is called when the table can no longer be read, onRecovered when
	// it can be read again.
	onLost, onRecovered func()
}

// watchTable reads the table and then its changes until ctx ends. While a hub
// is healthy and this VM is not one itself, it only waits: hubReadLoop reads
// from the hub.
func (n *Node) watchTable(ctx context.Context, w *watcher) {
	unavailable := false
	backoff := initialBackoff
	for ctx.Err() == nil {
		known, loaded := n.replicas.version(w.table)
		if loaded && !n.mustReadStore() {
			if unavailable {
				unavailable = false
				n.log.Info("table is read from a hub instead of the store", "table", w.table, "version", known.Version())
				w.onRecovered()
			}
			n.sleep(ctx, hubCheckInterval)
			continue
		}
		pollWait := w.pollWait
		if unavailable {
			pollWait = recoveryPollWait
		}
		rows, full, err := n.readOrWatch(ctx, w, loaded && !w.needsFullRead, known, pollWait)
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, errEraRaised) {
			continue
		}
		if errors.Is(err, adapter.ErrHistoryTruncated) || errors.Is(err, adapter.ErrEraChanged) {
			n.log.Info("store no longer has the changes; reading the table in full", "table", w.table, "version", known.Version(), "error", err.Error())
			w.needsFullRead = true
			n.sleep(ctx, jitter(initialBackoff))
			continue
		}
		if err != nil {
			if !unavailable {
				unavailable = true
				n.log.Info("store watch failed", "table", w.table, "error", err.Error())
				w.onLost()
			}
			n.metrics.Count(1, "store_calls", w.table, "failed")
			n.resetWatches(errOtherWatchFailed)
			n.sleep(ctx, jitter(backoff))
			backoff = min(2*backoff, maxBackoff)
			continue
		}
		n.metrics.Count(1, "store_calls", w.table, "ok")
		backoff = initialBackoff
		if w.table == adapter.TableOperator {
			n.storeLastSeenAt.Store(int64(n.now()))
		}
		if unavailable {
			unavailable = false
			n.log.Info("store watch recovered", "table", w.table, "version", rows.Position.Version())
			w.onRecovered()
		}
		if rows.Malformed > 0 {
			n.log.Info("rows of the store cannot be read", "table", w.table, "rows", rows.Malformed, "version", rows.Position.Version())
		}
		if !n.applyRows(w, full, rows) {
			n.log.Info("full read ignored: older than the known state", "table", w.table, "read", rows.Position.String(), "known", known.String())
			n.sleep(ctx, jitter(2*initialBackoff))
			continue
		}
		if full {
			w.needsFullRead = false
		}
		if full || len(rows.Rows) > 0 {
			n.sleep(ctx, w.minInterval)
		}
	}
}

// applyRows applies rows that came from the store or from a hub. It returns
// false for a full read that is older than the known state and for changes of
// another era than that of the known state, which may follow a table that this VM
// has not read.
func (n *Node) applyRows(w *watcher, full bool, rows adapter.Rows) bool {
	now := n.now()
	n.mu.Lock()
	defer n.mu.Unlock()
	versionBefore, loaded := n.replicas.version(w.table)
	era := rows.Position.Era()
	switch {
	case full:
		if !w.load(now, rows) {
			return false
		}
	case era != versionBefore.Era():
		return false
	case len(rows.Rows) > 0:
		w.apply(now, rows.Rows)
	}
	if full || len(rows.Rows) > 0 {
		n.publishView(now)
	}
	n.replicas.update(w.table, full, rows)
	n.peers.SetStoreEra(era)
	n.store.RaiseEra(era)
	if loaded && era > versionBefore.Era() {
		n.logRestoration(w.table, versionBefore, rows.Position)
		// A restoration ends no poll, so that the other tables would stay behind.
		n.resetWatches(errEraRaised)
	}
	if versionAfter, _ := n.replicas.version(w.table); versionAfter > versionBefore {
		wake(n.heartbeatWake)
	}
	return true
}

// logRestoration logs the first full read of a table after the store was restored
// from an older copy. The caller holds mu.
func (n *Node) logRestoration(table string, before, after platform.Position) {
	missing, outdated := n.catalog.Kept()
	n.metrics.Count(1, "store_restorations", table)
	n.log.Info("store was restored from an older copy", "table", table, "before", before.String(), "version", after.String(),
		"keptMissing", missing, "keptOutdated", outdated)
}

// wake makes the loop that receives from c run once more.
func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// mustReadStore reports whether this VM must watch the store itself.
func (n *Node) mustReadStore() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.peers.ReadsStore(n.now())
}

// storeHealthy reports whether all tables have been read, the store answered
// this VM recently, and the tables of the operator and of the backend servers
// can still be read.
func (n *Node) storeHealthy() bool {
	_, loaded := n.replicas.versions()
	return loaded && n.now()-time.Duration(n.storeLastSeenAt.Load()) < storeContactValidity && !n.operatorUnavailable.Load() && !n.serversUnavailable.Load()
}

// errOtherWatchFailed is the cause of a poll that was cancelled because that of another
// table failed: if one connection to the store stopped responding, the others may have as
// well.
var errOtherWatchFailed = errors.New("watch of another table failed")

// errEraRaised is the cause of a poll that was cancelled because another table shows a new
// era of the store.
var errEraRaised = errors.New("store has a new era")

// resetWatches cancels the polls in progress.
func (n *Node) resetWatches(cause error) {
	n.watchMu.Lock()
	defer n.watchMu.Unlock()
	if n.watchCancel != nil {
		n.watchCancel(cause)
	}
	n.watchCtx, n.watchCancel = context.WithCancelCause(context.Background())
}

func (n *Node) watchContext() context.Context {
	n.watchMu.Lock()
	defer n.watchMu.Unlock()
	return n.watchCtx
}

// readOrWatch reads a table in full, or waits for its changes if it was loaded
// before. The bool is true for a full read.
func (n *Node) readOrWatch(ctx context.Context, w *watcher, loaded bool, known platform.Position, pollWait time.Duration) (adapter.Rows, bool, error) {
	if !loaded {
		ctx, cancel := context.WithTimeout(ctx, storeReadTimeout)
		defer cancel()
		rows, err := n.store.Read(ctx, w.table)
		return rows, true, err
	}
	ctx, cancel := context.WithTimeout(ctx, pollWait+w.pollMargin)
	defer cancel()
	watchCtx := n.watchContext()
	stop := context.AfterFunc(watchCtx, cancel)
	defer stop()
	rows, err := n.store.Watch(ctx, w.table, known, pollWait)
	if err != nil && errors.Is(context.Cause(watchCtx), errEraRaised) {
		err = errEraRaised
	}
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

// jitter randomizes a pause, so that VMs that lost their connection to the
// store at the same time do not call it at the same time.
func jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(rand.Int64N(int64(d)))
}

func (n *Node) operatorWatcher() *watcher {
	return &watcher{
		table: adapter.TableOperator, minInterval: operatorMinInterval, pollWait: operatorPollWait, pollMargin: operatorPollMargin,
		load: func(now time.Duration, rows adapter.Rows) bool {
			var evacuations []catalog.RowChange[struct{}]
			for _, row := range rows.Rows {
				if _, domain := adapter.ParseOperatorKey(row.Key); domain != "" {
					evacuations = append(evacuations, catalog.RowChange[struct{}]{Key: domain, Position: row.Position, Value: &struct{}{}})
				}
			}
			if !n.catalog.LoadEvacuations(now, rows.Position, evacuations) {
				return false
			}
			n.applyConfigRows(rows.Rows)
			n.catalog.MarkOperatorLoaded()
			return true
		},
		apply: func(now time.Duration, rows []adapter.Row) {
			n.applyConfigRows(rows)
			for _, row := range rows {
				_, domain := adapter.ParseOperatorKey(row.Key)
				if domain == "" {
					continue
				}
				change := catalog.RowChange[struct{}]{Key: domain, Position: row.Position}
				if !row.Deleted {
					change.Value = &struct{}{}
				}
				if n.catalog.ApplyEvacuation(now, change) {
					n.log.Info("evacuation changed", "failureDomain", domain, "evacuated", !row.Deleted, "version", row.Position.Version())
				}
			}
		},
		onLost:      func() { n.operatorUnavailable.Store(true) },
		onRecovered: func() { n.operatorUnavailable.Store(false) },
	}
}

// applyConfigRows applies the newest configuration. The caller holds mu.
func (n *Node) applyConfigRows(rows []adapter.Row) {
	for _, row := range rows {
		if isConfig, _ := adapter.ParseOperatorKey(row.Key); !isConfig || row.Deleted {
			continue
		}
		config, err := adapter.DecodeConfig(row.Value)
		if err != nil {
			n.log.Info("configuration cannot be decoded", "version", row.Position.Version(), "error", err.Error())
			continue
		}
		if n.catalog.ApplyConfig(config) {
			n.log.Info("configuration in force", "config", config.Version, "version", row.Position.Version(),
				"routes", config.RouteCount(), "services", len(config.Services), "accounts", len(config.Accounts))
		}
	}
}

// decodeChanges decodes rows. A row that cannot be decoded is logged with
// message, its key in the field keyName, and is marked, so that its last known
// state stays in use. The caller holds mu.
func decodeChanges[T any](n *Node, message, keyName string, rows []adapter.Row, decode func(adapter.Row) (*T, error)) []catalog.RowChange[T] {
	changes := make([]catalog.RowChange[T], 0, len(rows))
	for _, row := range rows {
		change := catalog.RowChange[T]{Key: row.Key, Position: row.Position}
		if !row.Deleted {
			value, err := decode(row)
			if err != nil {
				change.Unreadable = true
				if ok, omitted := n.logLimiter.Allow(n.now(), message); ok {
					n.log.Info(message, keyName, row.Key, "version", row.Position.Version(), "error", err.Error(), "omitted", omitted)
				}
			}
			change.Value = value
		}
		changes = append(changes, change)
	}
	return changes
}

func (n *Node) serversWatcher() *watcher {
	decode := func(now time.Duration, rows []adapter.Row) []catalog.RowChange[steering.Server] {
		return decodeChanges(n, "backend server registration cannot be decoded", "server", rows, func(row adapter.Row) (*steering.Server, error) {
			return adapter.DecodeServer(row.Key, row.Value, n.settings.RegionOf, now)
		})
	}
	return &watcher{
		table: adapter.TableServers, minInterval: registrationMinInterval, pollWait: registrationPollWait, pollMargin: registrationPollMargin,
		load: func(now time.Duration, rows adapter.Rows) bool {
			return n.catalog.LoadServers(now, rows.Position, decode(now, rows.Rows))
		},
		apply: func(now time.Duration, rows []adapter.Row) {
			for _, change := range decode(now, rows) {
				if n.catalog.ApplyServer(now, change) {
					n.logServerChange(change)
				}
			}
		},
		onLost: func() {
			n.serversUnavailable.Store(true)
			n.mu.Lock()
			defer n.mu.Unlock()
			n.catalog.MarkStoreUnresponsive()
		},
		onRecovered: func() {
			n.serversUnavailable.Store(false)
			n.mu.Lock()
			defer n.mu.Unlock()
			n.catalog.MarkStoreResponsive(n.now())
		},
	}
}

func (n *Node) logServerChange(c catalog.RowChange[steering.Server]) {
	if c.Value == nil {
		n.log.Info("backend server removed", "server", c.Key, "version", c.Position.Version())
		return
	}
	n.log.Info("backend server changed", "server", c.Key, "service", c.Value.Service, "failureDomain", c.Value.FailureDomain,
		"draining", c.Value.Draining, "version", c.Position.Version())
}

func (n *Node) vmsWatcher() *watcher {
	decode := func(rows []adapter.Row) []catalog.RowChange[steering.VM] {
		return decodeChanges(n, "VM registration cannot be decoded", "vm", rows, func(row adapter.Row) (*steering.VM, error) {
			return DecodeVM(row.Key, row.Value)
		})
	}
	return &watcher{
		table: adapter.TableVMs, minInterval: registrationMinInterval, pollWait: registrationPollWait, pollMargin: registrationPollMargin,
		load: func(now time.Duration, rows adapter.Rows) bool {
			return n.catalog.LoadVMs(now, rows.Position, decode(rows.Rows))
		},
		apply: func(now time.Duration, rows []adapter.Row) {
			for _, change := range decode(rows) {
				if n.catalog.ApplyVM(now, change) {
					n.log.Info("VM changed", "vm", change.Key, "gone", change.Value == nil, "version", change.Position.Version())
				}
			}
		},
		onLost: func() {}, onRecovered: func() {},
	}
}
