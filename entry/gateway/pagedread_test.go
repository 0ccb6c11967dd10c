package gateway

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"github.com/cassiawind/cassiawind/core/catalog"
	"github.com/cassiawind/cassiawind/platform"
	"github.com/cassiawind/cassiawind/platform/adapter"
)

// pagedStore stands in for a store whose pages are so small that a table takes several.
// It keeps the whole history of its rows.
type pagedStore struct {
	version  platform.Position
	history  map[string][]adapter.Row
	pageSize int
	// onPage is called after each page but the last one of a read, if it is set.
	onPage func()
}

func newPagedStore(pageSize int) *pagedStore {
	return &pagedStore{history: make(map[string][]adapter.Row), pageSize: pageSize}
}

// write puts a row, or deletes it if the value is nil.
func (s *pagedStore) write(table, key string, value any) {
	s.version++
	row := adapter.Row{Key: key, Position: s.version, Deleted: value == nil}
	if value != nil {
		row.Value, _ = json.Marshal(value)
	}
	s.history[table] = append(s.history[table], row)
}

// rowsAt returns the newest change of each row of a table up to a position.
func (s *pagedStore) rowsAt(table string, position platform.Position) map[string]adapter.Row {
	rows := make(map[string]adapter.Row)
	for _, r := range s.history[table] {
		if r.Position <= position {
			rows[r.Key] = r
		}
	}
	return rows
}

// RoundTrip implements http.RoundTripper.
func (s *pagedStore) RoundTrip(r *http.Request) (*http.Response, error) {
	query := r.URL.Query()
	page := adapter.Rows{Position: s.version, Rows: []adapter.Row{}}
	if query.Has("wait_ms") {
		after, err := strconv.ParseUint(query.Get("after"), 10, 64)
		if err != nil {
			return nil, err
		}
		for _, row := range s.history[query.Get("table")] {
			if row.Position > platform.Position(after) {
				page.Rows = append(page.Rows, row)
			}
		}
	} else {
		current := s.rowsAt(query.Get("table"), s.version)
		for _, key := range slices.Sorted(maps.Keys(current)) {
			if key >= query.Get("from") && !current[key].Deleted {
				page.Rows = append(page.Rows, current[key])
			}
		}
		if page.HasMore = len(page.Rows) > s.pageSize; page.HasMore {
			page.Rows = page.Rows[:s.pageSize]
		}
	}
	body, err := json.Marshal(page)
	if page.HasMore && s.onPage != nil {
		s.onPage()
	}
	return &http.Response{
		StatusCode: http.StatusOK, ProtoMajor: 1, ProtoMinor: 1, Request: r, Body: io.NopCloser(strings.NewReader(string(body))),
		Header: http.Header{"Content-Type": {"application/json"}},
	}, err
}

// pagedFleet is a fleet of VMs that follow a pagedStore, directly or through each other.
type pagedFleet struct {
	t     *testing.T
	rng   *rand.Rand
	store *pagedStore
	nodes []*Node
}

func newPagedFleet(t *testing.T, seed uint64, vms int) *pagedFleet {
	f := &pagedFleet{t: t, rng: rand.New(rand.NewPCG(seed, 0)), store: newPagedStore(2)}
	for range vms {
		f.nodes = append(f.nodes, newNode(testSettings(), logr.Discard(), &standInBackends{}, f.store))
	}
	for range 12 {
		f.change()
	}
	return f
}

// change puts, changes or removes one row of any table.
func (f *pagedFleet) change() {
	table := replicatedTables[f.rng.IntN(len(replicatedTables))]
	key := fmt.Sprintf("row-%d", f.rng.IntN(7))
	if table == adapter.TableOperator {
		key = "evacuate/" + key
	}
	sequence := int(f.store.version) + 1
	var value any
	switch {
	case f.rng.IntN(4) == 0:
	case table == adapter.TableServers:
		state := []string{"ready", "draining"}[f.rng.IntN(2)]
		value = map[string]any{"service": "desk", "address": "127.0.0.1:80", "zone": "a", "slots": sequence, "state": state, "born": sequence}
	case table == adapter.TableVMs:
		value = vmRegistration{Region: "north", Incarnation: int64(sequence), Leaving: f.rng.IntN(2) == 0}
	default:
		value = map[string]any{}
	}
	f.store.write(table, key, value)
}

// follow makes a VM read from the store or from another VM.
func (f *pagedFleet) follow() {
	n := f.nodes[f.rng.IntN(len(f.nodes))]
	w := n.watchers[replicatedTables[f.rng.IntN(len(replicatedTables))]]
	known, loaded := n.replicas.version(w.table)
	switch f.rng.IntN(5) {
	case 0:
		f.store.onPage = func() {
			for range f.rng.IntN(3) {
				f.change()
			}
			if f.rng.IntN(3) == 0 {
				f.readFromPeer(n)
			}
		}
		rows, err := n.store.Read(f.t.Context(), w.table)
		f.store.onPage = nil
		require.NoError(f.t, err)
		f.apply(n, w, true, rows)
	case 1, 2:
		if !loaded {
			return
		}
		rows, err := n.store.Watch(f.t.Context(), w.table, known, 0)
		require.NoError(f.t, err)
		f.apply(n, w, false, rows)
	case 3:
		f.readFromPeer(n)
	default:
		n.replicas.mu.Lock()
		n.replicas.tables[w.table].dropTombstones()
		n.replicas.mu.Unlock()
	}
}

// readFromPeer applies to a VM what another VM has and it lacks, as encoded between VMs.
func (f *pagedFleet) readFromPeer(n *Node) {
	after := make(map[string]platform.Position)
	for _, table := range replicatedTables {
		if version, loaded := n.replicas.version(table); loaded {
			after[table] = version
		}
	}
	encoded, err := json.Marshal(f.nodes[f.rng.IntN(len(f.nodes))].replicas.changesAfter(after))
	require.NoError(f.t, err)
	var changes map[string]tableChanges
	require.NoError(f.t, json.Unmarshal(encoded, &changes))
	for table, c := range changes {
		f.apply(n, n.watchers[table], c.Full, c.Rows)
	}
}

// apply applies rows to a VM and fails if it ignores a read that is at least as new as
// what it knows.
func (f *pagedFleet) apply(n *Node, w *watcher, full bool, rows adapter.Rows) {
	known, _ := n.replicas.version(w.table)
	require.True(f.t, n.applyRows(w, full, rows) || rows.Position < known, "read of %s at %s ignored, known %s", w.table, rows.Position, known)
}

// requireTruePositions fails if a VM does not know a change up to the position that it
// passes on, or knows one that never was.
func (f *pagedFleet) requireTruePositions() {
	for i, n := range f.nodes {
		for _, table := range replicatedTables {
			version, loaded := n.replicas.version(table)
			if !loaded {
				continue
			}
			replica := n.replicas.tables[table]
			expected := f.store.rowsAt(table, version)
			for key, row := range expected {
				got, present := replica.rows[key]
				switch {
				case present:
					require.GreaterOrEqual(f.t, got.Position, row.Position, "VM %d has an old state of %s/%s at %s", i, table, key, version)
				case !row.Deleted:
					require.True(f.t, f.deletedAfter(table, key, version), "VM %d lacks %s/%s at %s", i, table, key, version)
				}
			}
			for key, row := range replica.rows {
				require.Contains(f.t, f.store.history[table], row, "VM %d has a state of %s/%s that never was", i, table, key)
				require.True(f.t, row.Deleted || row.Position > version || !expected[key].Deleted, "VM %d has %s/%s, which was deleted, at %s", i, table, key, version)
			}
		}
	}
}

func (f *pagedFleet) deletedAfter(table, key string, version platform.Position) bool {
	return slices.ContainsFunc(f.store.history[table], func(r adapter.Row) bool { return r.Key == key && r.Deleted && r.Position > version })
}

// requireAgreement lets each VM read the remaining changes and fails if its catalog is not
// that of the store.
func (f *pagedFleet) requireAgreement() {
	reference := newNode(testSettings(), logr.Discard(), &standInBackends{}, f.store)
	for _, n := range append(f.nodes, reference) {
		for _, table := range replicatedTables {
			w := n.watchers[table]
			known, loaded := n.replicas.version(table)
			rows, full, err := n.readOrWatch(f.t.Context(), w, loaded, known, 0)
			require.NoError(f.t, err)
			require.True(f.t, n.applyRows(w, full, rows))
		}
	}
	expected := summary(reference.catalog.BuildView(0))
	for i, n := range f.nodes {
		require.Equal(f.t, expected, summary(n.catalog.BuildView(0)), "VM %d", i)
	}
}

// summary returns what a view says of servers, VMs and evacuated failure domains, in
// sorted order.
func summary(v *catalog.View) []string {
	var out []string
	for _, s := range v.Servers["desk"] {
		out = append(out, fmt.Sprint("server ", s.ID, " ", s.Incarnation, s.Expired))
	}
	for name, vm := range v.VMs {
		out = append(out, fmt.Sprint("vm ", name, " ", vm.Incarnation, vm.Leaving))
	}
	for domain := range v.EvacuatedDomains {
		out = append(out, "evacuated "+domain)
	}
	slices.Sort(out)
	return out
}

// Guards against positions that a read in several pages, or a copy of one that a hub
// passes on, is not complete up to: a change between two pages would never be seen.
func TestPositionsAreTrueForEveryRow(t *testing.T) {
	for seed := range uint64(200) {
		f := newPagedFleet(t, seed, 3)
		for range 60 {
			if f.rng.IntN(2) == 0 {
				f.change()
			}
			f.follow()
			f.requireTruePositions()
		}
		f.requireAgreement()
	}
}

// Guards against a backend server that keeps getting requests because it began to leave
// between two pages of a full read, before a change on the second page.
func TestServerThatLeavesBetweenTwoPagesIsSeen(t *testing.T) {
	store := newPagedStore(2)
	server := func(state string) map[string]any {
		return map[string]any{"service": "desk", "address": "127.0.0.1:80", "zone": "a", "slots": 4, "state": state, "born": 1}
	}
	for _, id := range []string{"s1", "s2", "s3"} {
		store.write(adapter.TableServers, id, server("ready"))
	}
	n := newNode(testSettings(), logr.Discard(), &standInBackends{}, store)
	store.onPage = func() {
		store.write(adapter.TableServers, "s1", server("draining"))
		store.write(adapter.TableServers, "s3", server("ready"))
	}
	w := n.watchers[adapter.TableServers]
	rows, err := n.store.Read(t.Context(), w.table)
	require.NoError(t, err)
	require.True(t, n.applyRows(w, true, rows))
	known, _ := n.replicas.version(w.table)
	rows, err = n.store.Watch(t.Context(), w.table, known, 0)
	require.NoError(t, err)
	n.applyRows(w, false, rows)
	for _, s := range n.catalog.BuildView(0).Servers["desk"] {
		require.NotEqual(t, "s1", s.ID, "a server that leaves is still used")
	}
}

// Guards against a hub that passes on single rows of a read in several pages as changes:
// the receiver would take itself to be complete up to them.
func TestHubPassesOnNoChangesAfterItsVersion(t *testing.T) {
	row := func(key string, version platform.Position) adapter.Row {
		return adapter.Row{Key: key, Position: version}
	}
	replicas := newReplicas()
	replicas.update(adapter.TableServers, true, adapter.Rows{Position: 5, Rows: []adapter.Row{row("s1", 5)}})
	replicas.update(adapter.TableServers, false, adapter.Rows{Position: 8, Rows: []adapter.Row{row("s1", 8)}})
	replicas.update(adapter.TableServers, true, adapter.Rows{Position: 9, Rows: []adapter.Row{row("s1", 8), row("s2", 11)}})
	changes := replicas.changesAfter(map[string]platform.Position{adapter.TableServers: 8})[adapter.TableServers]
	require.True(t, changes.Full)
	require.Len(t, changes.Rows.Rows, 2, "a full copy has all rows")

	replicas.update(adapter.TableServers, false, adapter.Rows{Position: 10, Rows: []adapter.Row{row("s3", 10)}})
	changes = replicas.changesAfter(map[string]platform.Position{adapter.TableServers: 9})[adapter.TableServers]
	require.False(t, changes.Full)
	require.Equal(t, adapter.Rows{Position: 10, Rows: []adapter.Row{row("s3", 10)}}, changes.Rows)
}
