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
	"github.com/cassiawind/cassiawind/platform/adapter"
)

const (
	pathChanges = "/v1/changes"
	// relayTimeout bounds a call to a hub, so that the store can still be asked
	// within the time in which a change must be in force.
	relayTimeout = 900 * time.Millisecond
	// relayDialTimeout bounds the connection to a hub.
	relayDialTimeout = 500 * time.Millisecond
	// maxRelayBytes bounds the answer of a hub.
	maxRelayBytes = 16 << 20
	// maxTombstones bounds the deleted rows that a mirror remembers; a VM that
	// missed more gets a full copy.
	maxTombstones = 4096
)

// ErrHubRead means that a hub did not tell its changes.
var ErrHubRead = errors.New("hub did not answer")

// mirror is a copy of one table of the store.
type mirror struct {
	rows map[string]adapter.Row
	// since is the version of the full read that the copy began with: what was
	// deleted before is not known.
	since, version uint64
	tombstones     int
	loaded         bool
}

// mirrors are the copies of all tables. They are safe for concurrent use.
type mirrors struct {
	mu     sync.Mutex
	tables map[string]*mirror
	// packed is the newest answer, by its question: many VMs ask the same.
	packedFor string
	packed    []byte
}

func newMirrors() *mirrors {
	m := &mirrors{tables: make(map[string]*mirror)}
	for _, t := range mirroredTables {
		m.tables[t] = &mirror{rows: make(map[string]adapter.Row)}
	}
	return m
}

// mirroredTables are the tables that VMs read from hubs.
var mirroredTables = []string{adapter.TableOperator, adapter.TableServers, adapter.TableVMs}

// take copies rows that were read.
func (m *mirrors) take(table string, full bool, rows adapter.Rows) {
	m.mu.Lock()
	defer m.mu.Unlock()
	t := m.tables[table]
	if full {
		t.rows, t.since, t.tombstones, t.loaded = make(map[string]adapter.Row, len(rows.Rows)), rows.Version, 0, true
	}
	for _, r := range rows.Rows {
		if old, ok := t.rows[r.Key]; ok && old.Version >= r.Version {
			continue
		}
		t.rows[r.Key] = r
		if r.Deleted {
			t.tombstones++
		}
		t.version = max(t.version, r.Version)
	}
	t.version = max(t.version, rows.Version)
	if t.tombstones > maxTombstones {
		t.dropTombstones()
	}
}

func (t *mirror) dropTombstones() {
	for key, r := range t.rows {
		if r.Deleted {
			t.since = max(t.since, r.Version)
			delete(t.rows, key)
		}
	}
	t.tombstones = 0
}

// version returns the version of a table's copy and whether there is one.
func (m *mirrors) version(table string) (uint64, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	t := m.tables[table]
	return t.version, t.loaded
}

func (m *mirrors) versions() (v exchange.Versions, loaded bool) {
	var a, b, c bool
	v.Operator, a = m.version(adapter.TableOperator)
	v.Servers, b = m.version(adapter.TableServers)
	v.VMs, c = m.version(adapter.TableVMs)
	return v, a && b && c
}

// tableChanges are the rows of one table that changed after a version.
type tableChanges struct {
	Full bool         `json:"full,omitempty"`
	Rows adapter.Rows `json:"rows"`
}

// changes returns what changed in all tables after the given versions.
func (m *mirrors) changes(after map[string]uint64) map[string]tableChanges {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make(map[string]tableChanges)
	for name, t := range m.tables {
		from := after[name]
		if !t.loaded || from >= t.version {
			continue
		}
		c := tableChanges{Full: from < t.since, Rows: adapter.Rows{Version: t.version}}
		for _, r := range t.rows {
			if c.Full && !r.Deleted || !c.Full && r.Version > from {
				c.Rows.Rows = append(c.Rows.Rows, r)
			}
		}
		out[name] = c
	}
	return out
}

// serveChanges answers VMs that are behind.
func (n *Node) serveChanges(w http.ResponseWriter, r *http.Request) {
	after := make(map[string]uint64, len(mirroredTables))
	for _, t := range mirroredTables {
		v, err := strconv.ParseUint(r.URL.Query().Get(t), 10, 64)
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		after[t] = v
	}
	packed, err := n.mirrors.pack(r.URL.RawQuery, after)
	if err != nil {
		n.log.Info("changes not encoded", "error", err.Error())
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Encoding", "gzip")
	if _, err := w.Write(packed); err != nil {
		n.metrics.Count(1, "relay", "not_written")
	}
}

// pack returns the packed changes. The newest answer is kept, since VMs that
// heard the same pulse ask the same.
func (m *mirrors) pack(question string, after map[string]uint64) ([]byte, error) {
	v, _ := m.versions()
	key := question + "|" + strconv.FormatUint(v.Operator, 10) + "|" + strconv.FormatUint(v.Servers, 10) + "|" + strconv.FormatUint(v.VMs, 10)
	m.mu.Lock()
	if m.packedFor == key {
		defer m.mu.Unlock()
		return m.packed, nil
	}
	m.mu.Unlock()
	var buf bytes.Buffer
	zip := gzip.NewWriter(&buf)
	if err := json.NewEncoder(zip).Encode(m.changes(after)); err != nil {
		return nil, errors.WithStack(err)
	}
	if err := zip.Close(); err != nil {
		return nil, errors.WithStack(err)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.packedFor, m.packed = key, buf.Bytes()
	return m.packed, nil
}

func newRelayClient() *http.Client {
	dialer := &net.Dialer{Timeout: relayDialTimeout, KeepAliveConfig: keepAlive, Control: setUserTimeout}
	return &http.Client{Timeout: relayTimeout, Transport: &http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: 1, IdleConnTimeout: storeIdle,
	}}
}

// relayLoop reads from a hub what pulses say has changed.
func (n *Node) relayLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.relayWake:
		}
		n.mu.Lock()
		now := n.now()
		source, ok := n.peers.Source(now)
		reads := n.peers.IsHub(now)
		hub := n.view.Load().VMs[source.Hub]
		n.mu.Unlock()
		if !ok || reads || hub == nil || !n.behind(source.Versions) {
			continue
		}
		if err := n.fetch(ctx, hub.Exchange); err != nil {
			n.log.Info("changes not read from hub", "hub", source.Hub, "error", err.Error())
			n.mu.Lock()
			n.peers.DropSource(source.Hub)
			n.mu.Unlock()
		}
	}
}

// behind reports whether this VM holds less than v.
func (n *Node) behind(v exchange.Versions) bool {
	own, _ := n.mirrors.versions()
	return own.Operator < v.Operator || own.Servers < v.Servers || own.VMs < v.VMs
}

func (n *Node) fetch(ctx context.Context, address string) error {
	query := make(url.Values)
	for _, t := range mirroredTables {
		v, loaded := n.mirrors.version(t)
		if !loaded {
			v = 0
		}
		query.Set(t, strconv.FormatUint(v, 10))
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+pathChanges+"?"+query.Encode(), nil)
	if err != nil {
		return errors.WithStack(err)
	}
	resp, err := n.relay.Do(req)
	if err != nil {
		return errors.Wrap(ErrHubRead, err.Error())
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.Wrapf(ErrHubRead, "status %d", resp.StatusCode)
	}
	var changes map[string]tableChanges
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxRelayBytes)).Decode(&changes); err != nil {
		return errors.Wrap(ErrHubRead, err.Error())
	}
	n.metrics.Count(1, "relay", "read")
	for _, table := range mirroredTables {
		if c, ok := changes[table]; ok {
			n.take(n.watchers[table], c.Full, c.Rows)
		}
	}
	return nil
}
