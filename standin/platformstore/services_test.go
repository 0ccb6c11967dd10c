package platformstore

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cassiawind/cassiawind/platform"
	"github.com/cassiawind/cassiawind/platform/adapter"
)

// shortTimeout is the timeout of calls that are expected to time out.
const shortTimeout = 50 * time.Millisecond

func startServer(t *testing.T, h http.Handler) string {
	server := httptest.NewServer(h)
	t.Cleanup(server.Close)
	return server.URL
}

func dialStore(t *testing.T, url string) *adapter.Store {
	store, err := adapter.Dial(url)
	require.NoError(t, err)
	return store
}

func newTable(t *testing.T, url string) *adapter.Table { return adapter.NewTable(dialStore(t, url)) }

// Guards against a wire format that loses part of a row or of a precondition.
func TestTableOverHTTP(t *testing.T) {
	ctx := t.Context()
	table := newTable(t, startServer(t, New()))
	versions, err := table.Transact(ctx, []platform.Write{
		{Key: "once/a b/%2F", Value: []byte{0, 255}, IfVersion: platform.IfAbsent()},
		{Key: "other", Value: []byte("x")},
	})
	require.NoError(t, err)

	row, err := table.Get(ctx, "once/a b/%2F")
	require.NoError(t, err)
	require.Equal(t, platform.Row{Key: "once/a b/%2F", Value: []byte{0, 255}, Version: versions[0]}, row)
	rows, err := table.Scan(ctx, "once/")
	require.NoError(t, err)
	require.Equal(t, []platform.Row{row}, rows)

	_, err = table.Transact(ctx, []platform.Write{
		{Key: "once/a b/%2F", Delete: true, IfVersion: platform.IfAbsent()},
		{Key: "new", Value: []byte("y")},
	})
	var conflict *platform.ConflictError
	require.ErrorAs(t, err, &conflict)
	require.Equal(t, []string{"once/a b/%2F"}, conflict.Keys)
	_, err = table.Get(ctx, "new")
	require.ErrorIs(t, err, platform.ErrNotFound)
}

// Guards against a lost response that is reported as "not written", which would make
// the caller write twice.
func TestLostResponseIsAnUnknownOutcome(t *testing.T) {
	ctx, store := t.Context(), New()
	client := dialStore(t, startServer(t, store))
	table, objects := adapter.NewTable(client), adapter.NewObjects(client)
	store.SetFaults(Faults{LoseResponses: 2})

	_, err := table.Transact(ctx, []platform.Write{{Key: "a", Value: []byte("1")}})
	require.ErrorIs(t, err, platform.ErrOutcomeUnknown)
	require.NotErrorIs(t, err, platform.ErrUnavailable)
	row, err := table.Get(ctx, "a")
	require.NoError(t, err)
	require.Equal(t, []byte("1"), row.Value)

	require.ErrorIs(t, objects.Put(ctx, "o", []byte("content")), platform.ErrOutcomeUnknown)
	content, err := objects.Get(ctx, "o")
	require.NoError(t, err)
	require.Equal(t, []byte("content"), content)
}

// Guards against outages that are reported as unknown outcomes, which would make
// every caller read the row to learn the outcome.
func TestOutageIsUnavailable(t *testing.T) {
	store := New()
	table := newTable(t, startServer(t, store))
	store.SetFaults(Faults{Down: true})
	_, err := table.Transact(t.Context(), []platform.Write{{Key: "a"}})
	require.ErrorIs(t, err, platform.ErrUnavailable)
	require.NotErrorIs(t, err, platform.ErrOutcomeUnknown)

	closed := httptest.NewServer(http.NotFoundHandler())
	closed.Close()
	_, err = newTable(t, closed.URL).Transact(t.Context(), []platform.Write{{Key: "a"}})
	require.ErrorIs(t, err, platform.ErrUnavailable)
	require.NotErrorIs(t, err, platform.ErrOutcomeUnknown)

	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = table.Transact(cancelled, []platform.Write{{Key: "a"}})
	require.ErrorIs(t, err, platform.ErrUnavailable)
}

// Guards against taking a response that comes from a proxy or another service, or
// that belongs to another request, as the outcome of a write.
func TestUnusableResponsesOfWritesAreUnknownOutcomes(t *testing.T) {
	for name, c := range map[string]struct {
		status int
		body   string
	}{
		"500":                         {http.StatusInternalServerError, `{"code":"failed"}`},
		"redirect":                    {http.StatusFound, ""},
		"malformed":                   {http.StatusOK, `{"ver":`},
		"no version":                  {http.StatusOK, `{}`},
		"conflict without a version":  {http.StatusPreconditionFailed, `{"rows":[]}`},
		"conflict on another key":     {http.StatusPreconditionFailed, `{"ver":9,"rows":[{"key":"b","ver":3}]}`},
		"conflict on a row that fits": {http.StatusPreconditionFailed, `{"ver":9,"rows":[]}`},
		"oversized":                   {http.StatusOK, strings.Repeat(" ", 3<<20) + `{"ver":1}`},
	} {
		t.Run(name, func(t *testing.T) {
			url := startServer(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Location", "http://127.0.0.1:1/")
				w.WriteHeader(c.status)
				_, _ = io.WriteString(w, c.body)
			}))
			table := newTable(t, url)
			_, err := table.Transact(t.Context(), []platform.Write{{Key: "a", IfVersion: platform.IfAbsent()}})
			require.ErrorIs(t, err, platform.ErrOutcomeUnknown)
			require.NotErrorIs(t, err, platform.ErrUnavailable)
			require.NotErrorIs(t, err, platform.ErrConflict)
			_, err = table.Get(t.Context(), "a")
			require.ErrorIs(t, err, platform.ErrUnavailable)
			require.NotErrorIs(t, err, platform.ErrNotFound)
		})
	}
}

// Guards against a misconfigured endpoint, whose plain 404 would be taken for a
// missing row or object.
func TestForeignNotFoundIsUnavailable(t *testing.T) {
	client := dialStore(t, startServer(t, http.NotFoundHandler()))
	_, err := adapter.NewTable(client).Get(t.Context(), "a")
	require.ErrorIs(t, err, platform.ErrUnavailable)
	require.NotErrorIs(t, err, platform.ErrNotFound)
	_, err = adapter.NewObjects(client).Get(t.Context(), "a")
	require.ErrorIs(t, err, platform.ErrUnavailable)
	require.NotErrorIs(t, err, platform.ErrNotFound)
	_, err = adapter.NewObjects(dialStore(t, startServer(t, New()))).Get(t.Context(), "a")
	require.ErrorIs(t, err, platform.ErrNotFound)
}

// Guards against unbounded responses that exhaust the memory of a VM.
func TestOversizedResponseIsRejected(t *testing.T) {
	url := startServer(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(make([]byte, 9<<20))
	}))
	_, err := adapter.NewObjects(dialStore(t, url)).Get(t.Context(), "o")
	require.ErrorIs(t, err, platform.ErrUnavailable)
	require.ErrorIs(t, err, adapter.ErrResponseTooLarge)
}

// Guards against a truncated object that is taken as complete.
func TestTruncatedObjectIsRejected(t *testing.T) {
	url := startServer(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "10")
		_, _ = io.WriteString(w, "short")
	}))
	_, err := adapter.NewObjects(dialStore(t, url)).Get(t.Context(), "o")
	require.ErrorIs(t, err, platform.ErrUnavailable)
}

// Guards against objects above the store's size limit, which are written in pieces,
// that are read with pieces reordered, missing or mixed from two writes.
func TestLargeObjectsAreSplit(t *testing.T) {
	ctx, store := t.Context(), New()
	objects := adapter.NewObjects(dialStore(t, startServer(t, store)))
	content := make([]byte, 9<<20)
	for i := range content {
		content[i] = byte(i >> 12)
	}
	require.NoError(t, objects.Put(ctx, "config/a b", content))
	got, err := objects.Get(ctx, "config/a b")
	require.NoError(t, err)
	require.True(t, bytes.Equal(content, got))
	require.NoError(t, objects.Put(ctx, "empty", nil))
	got, err = objects.Get(ctx, "empty")
	require.NoError(t, err)
	require.Empty(t, got)

	store.mu.Lock()
	store.objects["config/a b.2"] = store.objects["config/a b.1"]
	store.mu.Unlock()
	_, err = objects.Get(ctx, "config/a b")
	require.ErrorIs(t, err, adapter.ErrIncomplete)
	store.mu.Lock()
	delete(store.objects, "config/a b.2")
	store.mu.Unlock()
	_, err = objects.Get(ctx, "config/a b")
	require.ErrorIs(t, err, adapter.ErrIncomplete)
	require.NotErrorIs(t, err, platform.ErrNotFound)
}

// Guards against transactions that the store always rejects as malformed and that
// would be retried forever as if the store were unavailable.
func TestInvalidTransactionsAreRejected(t *testing.T) {
	table := newTable(t, startServer(t, New()))
	_, err := table.Transact(t.Context(), []platform.Write{{Key: strings.Repeat("k", 201)}})
	require.ErrorIs(t, err, adapter.ErrKeyTooLong)
	_, err = table.Transact(t.Context(), make([]platform.Write, 101))
	require.ErrorIs(t, err, adapter.ErrTooManyRows)
}

// Guards against a scan that stops after the first page or returns keys without the
// prefix.
func TestScanFollowsPages(t *testing.T) {
	ctx := t.Context()
	table := newTable(t, startServer(t, New()))
	for i := range 13 {
		var writes []platform.Write
		for j := range 50 {
			writes = append(writes, platform.Write{Key: fmt.Sprintf("a/%02d%02d", i, j)})
		}
		_, err := table.Transact(ctx, append(writes, platform.Write{Key: fmt.Sprintf("b%d", i)}))
		require.NoError(t, err)
	}
	rows, err := table.Scan(ctx, "a/")
	require.NoError(t, err)
	require.Len(t, rows, 650)
	rows, err = table.Scan(ctx, "")
	require.NoError(t, err)
	require.Len(t, rows, 663)
}

// Guards against reusing an unresponsive connection: each call would time out
// although new connections work.
func TestSilentConnectionIsReplaced(t *testing.T) {
	var unresponsive atomic.Bool
	var opened atomic.Int32
	store := New()
	type connKey struct{}
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if unresponsive.Load() && r.Context().Value(connKey{}) == int32(1) {
			// The server detects a closed connection only after the body was read.
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		store.ServeHTTP(w, r)
	}))
	server.Config.ConnContext = func(ctx context.Context, _ net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, opened.Add(1))
	}
	server.Start()
	t.Cleanup(server.Close)
	table := newTable(t, server.URL)

	_, err := table.Transact(t.Context(), []platform.Write{{Key: "a"}})
	require.NoError(t, err)
	unresponsive.Store(true)
	ctx, cancel := context.WithTimeout(t.Context(), shortTimeout)
	defer cancel()
	_, err = table.Transact(ctx, []platform.Write{{Key: "a"}})
	require.ErrorIs(t, err, platform.ErrOutcomeUnknown)
	require.ErrorIs(t, err, context.DeadlineExceeded)

	_, err = table.Transact(t.Context(), []platform.Write{{Key: "a"}})
	require.NoError(t, err)
	require.Equal(t, int32(2), opened.Load())
}

// Guards against a VM list that loses the mark of leaving VMs or keeps removed VMs,
// and against an admin endpoint whose faults have no effect.
func TestVMsRegisterThemselvesAndAdminSetsFaults(t *testing.T) {
	ctx, store := t.Context(), New()
	vms := adapter.NewVMRegistry(dialStore(t, startServer(t, store)))
	leaving := platform.VM{ID: "vm-1", Address: "127.0.0.2:80", Leaving: true}
	require.NoError(t, vms.Register(ctx, platform.VM{ID: "vm-1", Address: "127.0.0.2:80"}))
	require.NoError(t, vms.Register(ctx, leaving))
	require.NoError(t, vms.Register(ctx, platform.VM{ID: "vm-2"}))
	require.NoError(t, vms.Remove(ctx, "vm-2"))
	require.NoError(t, vms.Remove(ctx, "vm-2"))
	list, err := vms.List(ctx)
	require.NoError(t, err)
	require.Equal(t, []platform.VM{leaving}, list)

	admin := startServer(t, NewAdmin(map[string]*Store{"vms": store}))
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, admin+PathFaults+"vms", strings.NewReader(`{"down":true}`))
	require.NoError(t, err)
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	require.Equal(t, http.StatusOK, resp.StatusCode)
	_, err = vms.List(ctx)
	require.ErrorIs(t, err, platform.ErrUnavailable)
}
