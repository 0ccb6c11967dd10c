package gateway

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/cassiawind/cassiawind/core/exchange"
	"github.com/cassiawind/cassiawind/core/httpsyntax"
	"github.com/cassiawind/cassiawind/entry/bodies"
	"github.com/cassiawind/cassiawind/platform"
	"github.com/cassiawind/cassiawind/platform/adapter"
)

const (
	changesPath = "/v1/changes"
	// hubReadTimeout bounds a read of changes from a hub, so that the store can
	// still be read within the time in which a change must be in effect.
	hubReadTimeout = 900 * time.Millisecond
	// hubDialTimeout bounds opening a connection to a hub.
	hubDialTimeout = 500 * time.Millisecond
	// maxHubResponseBytes bounds the size of a hub's response.
	maxHubResponseBytes = 16 << 20
	// maxTombstones bounds the tombstones of deleted rows in a replica. A VM
	// that has missed more deletions gets a full copy.
	maxTombstones = 4096
)

// ErrHubRead means that changes could not be read from a hub.
var ErrHubRead = errors.New("reading from hub failed")

// replica is a local copy of one table of the store.
type replica struct {
	rows map[string]adapter.Row
	// historyStart is the version up to which deletions are not known: that of
	// the full read with which the copy began or that of the newest tombstone
	// dropped since. version is that up to which the copy has all changes; single
	// rows may be newer, because a full read takes several pages.
	historyStart, version platform.Position
	tombstoneCount        int
	loaded                bool
}

// replicas holds the replicas of all tables. It is safe for concurrent use.
type replicas struct {
	mu     sync.Mutex
	tables map[string]*replica
	// cachedResponse is the newest encoded response, and cachedKey is made of
	// its query and the table versions. The response is kept because many VMs
	// send the same query.
	cachedKey      string
	cachedResponse []byte
}

func newReplicas() *replicas {
	m := &replicas{tables: make(map[string]*replica)}
	for _, t := range replicatedTables {
		m.tables[t] = &replica{rows: make(map[string]adapter.Row)}
	}
	return m
}

// replicatedTables are the tables that VMs read from hubs.
var replicatedTables = []string{adapter.TableOperator, adapter.TableServers, adapter.TableVMs}

// update applies rows that were read from the store or from a hub.
func (m *replicas) update(table string, full bool, rows adapter.Rows) {
	m.mu.Lock()
	defer m.mu.Unlock()
	t := m.tables[table]
	if full {
		t.rows, t.tombstoneCount, t.loaded = make(map[string]adapter.Row, len(rows.Rows)), 0, true
		t.historyStart, t.version = rows.Position, rows.Position
	}
	for _, r := range rows.Rows {
		if old, ok := t.rows[r.Key]; ok && old.Position >= r.Position {
			continue
		}
		t.rows[r.Key] = r
		if r.Deleted {
			t.tombstoneCount++
		}
	}
	t.version = max(t.version, rows.Position)
	if t.tombstoneCount > maxTombstones {
		t.dropTombstones()
	}
}

// dropTombstones removes the tombstones of all deleted rows.
func (t *replica) dropTombstones() {
	for key, r := range t.rows {
		if r.Deleted {
			t.historyStart = max(t.historyStart, r.Position)
			delete(t.rows, key)
		}
	}
	t.tombstoneCount = 0
}

// version returns the version up to which a table's replica is complete and whether
// the table has been read.
func (m *replicas) version(table string) (platform.Position, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	t := m.tables[table]
	return t.version, t.loaded
}

// versions returns the versions of all replicas and whether all tables have
// been read.
func (m *replicas) versions() (v exchange.Versions, loaded bool) {
	var operatorLoaded, serversLoaded, vmsLoaded bool
	v.Operator, operatorLoaded = m.version(adapter.TableOperator)
	v.Servers, serversLoaded = m.version(adapter.TableServers)
	v.VMs, vmsLoaded = m.version(adapter.TableVMs)
	return v, operatorLoaded && serversLoaded && vmsLoaded
}

// tableChanges are the rows of one table that changed after a version, or all
// rows if Full is set.
type tableChanges struct {
	Full bool         `json:"full,omitempty"`
	Rows adapter.Rows `json:"rows"`
}

// changesAfter returns what changed in all tables after the given positions. A VM
// that knows an earlier era than a table's gets the whole table, because the table
// began with a full read of its era.
func (m *replicas) changesAfter(after map[string]platform.Position) map[string]tableChanges {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make(map[string]tableChanges)
	for name, t := range m.tables {
		since := after[name]
		if !t.loaded || since >= t.version {
			continue
		}
		c := tableChanges{Full: since < t.historyStart, Rows: adapter.Rows{Position: t.version}}
		for _, r := range t.rows {
			// Changes after the version are not passed on alone: others before them
			// may be missing.
			if c.Full && !r.Deleted || !c.Full && r.Position > since && r.Position <= t.version {
				c.Rows.Rows = append(c.Rows.Rows, r)
			}
		}
		out[name] = c
	}
	return out
}

// serveChanges serves the changes that the replicas of another VM lack.
func (n *Node) serveChanges(w http.ResponseWriter, r *http.Request) {
	after := make(map[string]platform.Position, len(replicatedTables))
	for _, t := range replicatedTables {
		v, err := strconv.ParseUint(r.URL.Query().Get(t), 10, 64)
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		after[t] = platform.Position(v)
	}
	encoded, err := n.replicas.encodeChanges(r.URL.RawQuery, after)
	if err != nil {
		n.log.Info("changes could not be encoded", "error", err.Error())
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Encoding", "gzip")
	if _, err := w.Write(encoded); err != nil {
		n.metrics.Count(1, "relay", "not_written")
	}
}

// encodeChanges returns the changes as compressed JSON. The newest response is
// cached, because the VMs that received the same heartbeat send the same query.
func (m *replicas) encodeChanges(query string, after map[string]platform.Position) ([]byte, error) {
	v, _ := m.versions()
	key := query + "|" + v.Operator.String() + "|" + v.Servers.String() + "|" + v.VMs.String()
	m.mu.Lock()
	if m.cachedKey == key {
		defer m.mu.Unlock()
		return m.cachedResponse, nil
	}
	m.mu.Unlock()
	var buf bytes.Buffer
	gz := gzip.NewWriter(&buf)
	if err := json.NewEncoder(gz).Encode(m.changesAfter(after)); err != nil {
		return nil, errors.WithStack(err)
	}
	if err := gz.Close(); err != nil {
		return nil, errors.WithStack(err)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cachedKey, m.cachedResponse = key, buf.Bytes()
	return m.cachedResponse, nil
}

func newHubClient() *http.Client {
	dialer := &net.Dialer{Timeout: hubDialTimeout, KeepAliveConfig: keepAliveConfig, Control: setTCPUserTimeout}
	return &http.Client{Timeout: hubReadTimeout, Transport: httpsyntax.NewTransport(&http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: 1, IdleConnTimeout: storeIdleTimeout,
	})}
}

// hubReadLoop reads from a hub the changes that its heartbeats announce. A hub that does not
// reach the store reads from the other one.
func (n *Node) hubReadLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.hubReadWake:
		}
		n.mu.Lock()
		now := n.now()
		upstreamHub, ok := n.peers.UpstreamHub(now)
		isHub := n.peers.IsHub(now)
		hubVM := n.view.Load().VMs[upstreamHub.Hub]
		n.mu.Unlock()
		if !ok || isHub && !n.operatorUnavailable.Load() || hubVM == nil || !n.isBehind(upstreamHub.Versions) {
			continue
		}
		if err := n.readFromHub(ctx, hubVM.PeerAddress); err != nil {
			n.log.Info("changes could not be read from hub", "hub", upstreamHub.Hub, "error", err.Error())
			n.mu.Lock()
			n.peers.MarkHubUnhealthy(upstreamHub.Hub)
			n.mu.Unlock()
		}
	}
}

// isBehind reports whether a replica of this VM is older than in v.
func (n *Node) isBehind(v exchange.Versions) bool {
	ownVersions, _ := n.replicas.versions()
	return ownVersions.Operator < v.Operator || ownVersions.Servers < v.Servers || ownVersions.VMs < v.VMs
}

// readFromHub reads and applies the changes that the hub at address has and
// this VM does not.
func (n *Node) readFromHub(ctx context.Context, address string) error {
	query := make(url.Values)
	for _, t := range replicatedTables {
		v, loaded := n.replicas.version(t)
		if !loaded {
			v = 0
		}
		query.Set(t, strconv.FormatUint(uint64(v), 10))
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+changesPath+"?"+query.Encode(), nil)
	if err != nil {
		return errors.WithStack(err)
	}
	resp, err := n.hubClient.Do(req)
	if err != nil {
		return errors.Wrap(ErrHubRead, err.Error())
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.Wrapf(ErrHubRead, "status %d", resp.StatusCode)
	}
	var changes map[string]tableChanges
	if err := bodies.DecodeJSON(io.LimitReader(resp.Body, maxHubResponseBytes), &changes); err != nil {
		return errors.Wrap(ErrHubRead, err.Error())
	}
	n.metrics.Count(1, "relay", "read")
	for _, table := range replicatedTables {
		if c, ok := changes[table]; ok {
			n.applyRows(n.watchers[table], c.Full, c.Rows)
		}
	}
	return nil
}
