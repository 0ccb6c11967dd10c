package gateway

import (
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"github.com/cassiawind/cassiawind/platform/adapter"
)

// writeRaw puts a row with any bytes as its value.
func (s *pagedStore) writeRaw(table, key, value string) {
	s.version++
	s.history[table] = append(s.history[table], adapter.Row{Key: key, Position: s.version, Value: []byte(value)})
}

// usedServers returns the servers that a VM may use, in sorted order.
func usedServers(n *Node) []string {
	var ids []string
	for _, servers := range n.catalog.BuildView(0).Servers {
		for _, s := range servers {
			ids = append(ids, s.ID)
		}
	}
	slices.Sort(ids)
	return ids
}

// Guards against VMs that end, or that no longer follow the servers, because of registrations by
// another writer: on the VM that reads the store and on one that reads from it.
func TestOddRegistrationsStopNoVM(t *testing.T) {
	server := func(state string) map[string]any {
		return map[string]any{"service": "desk", "address": "127.0.0.1:80", "zone": "a", "slots": 4, "state": state, "born": 1}
	}
	odd := func(field, value string) string {
		return strings.Replace(`{"service":"desk","address":"127.0.0.1:80","zone":"a","slots":4,"state":"ready","born":1}`, field, value, 1)
	}
	store := newPagedStore(3)
	store.write(adapter.TableServers, "s1", server("ready"))
	store.write(adapter.TableServers, "s2", server("ready"))
	for key, value := range map[string]string{
		"o1": strings.Repeat("[", 40_000), "o2": odd(`4`, strings.Repeat("[", 9_000)+strings.Repeat("]", 9_000)), "o3": odd(`4`, "1e400"),
		"o4": odd(`4`, "9223372036854775807"), "o5": odd(`4`, "4.5"), "o6": odd(`:80`, ":80808"), "o7": odd(`:80`, ":0"),
		"o8": odd(`"a"`, "\"\xff"), "o9": "\xff\xfe", "oa": odd(`1}`, `1e30}`), "ob": "", "oc": odd(`"desk"`, `"`+strings.Repeat("x", 40_000)+`"`),
		"a\r\nX: y": odd("", ""),
	} {
		store.writeRaw(adapter.TableServers, key, value)
	}
	hub := newNode(testSettings(), logr.Discard(), &standInBackends{}, store)
	other := newNode(testSettings(), logr.Discard(), &standInBackends{}, store)
	hubServer := httptest.NewServer(http.HandlerFunc(hub.serveChanges))
	defer hubServer.Close()
	follow := func() {
		w := hub.watchers[adapter.TableServers]
		known, loaded := hub.replicas.version(w.table)
		rows, full, err := hub.readOrWatch(t.Context(), w, loaded, known, 0)
		require.NoError(t, err)
		require.True(t, hub.applyRows(w, full, rows))
		require.NoError(t, other.readFromHub(t.Context(), hubServer.Listener.Addr().String()))
	}
	requireUsed := func(ids ...string) {
		t.Helper()
		require.Equal(t, ids, usedServers(hub))
		require.Equal(t, ids, usedServers(other))
	}
	follow()
	requireUsed("s1", "s2")
	store.writeRaw(adapter.TableServers, "o4", odd(`4`, "1e9"))
	store.write(adapter.TableServers, "s1", server("draining"))
	store.write(adapter.TableServers, "s3", server("ready"))
	follow()
	requireUsed("s2", "s3")
	store.writeRaw(adapter.TableServers, "s2", odd(`:80`, ":65536"))
	follow()
	requireUsed("s2", "s3")
	store.write(adapter.TableServers, "s2", nil)
	store.write(adapter.TableServers, "o6", server("ready"))
	follow()
	requireUsed("o6", "s3")
}
