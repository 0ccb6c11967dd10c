package platformserver

import (
	"context"
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
	"github.com/cassiawind/cassiawind/platform/httpclient"
	"github.com/cassiawind/cassiawind/platform/httpobjects"
	"github.com/cassiawind/cassiawind/platform/httptable"
	"github.com/cassiawind/cassiawind/platform/httpvms"
	"github.com/cassiawind/cassiawind/platform/memory"
)

// shortTimeout is the time-out of calls that a test expects to run into it.
const shortTimeout = 50 * time.Millisecond

func serveHandler(t *testing.T, h http.Handler) string {
	server := httptest.NewServer(h)
	t.Cleanup(server.Close)
	return server.URL
}

func newTable(t *testing.T, url string) *httptable.Table {
	table, err := httptable.New(httpclient.Config{BaseURL: url})
	require.NoError(t, err)
	return table
}

// Guards against wire formats that lose part of a row or of a condition.
func TestTableOverHTTP(t *testing.T) {
	ctx := t.Context()
	table := newTable(t, serveHandler(t, NewTable(memory.NewTable())))
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

// Guards against a lost answer that is reported as "not written", after which
// a caller would write twice.
func TestLostAnswerIsUnknownOutcome(t *testing.T) {
	ctx, store, objects := t.Context(), memory.NewTable(), memory.NewObjects()
	table := newTable(t, serveHandler(t, NewTable(store)))
	client, err := httpobjects.New(httpclient.Config{BaseURL: serveHandler(t, NewObjects(objects))})
	require.NoError(t, err)
	store.SetFaults(memory.Faults{LoseAnswers: 1})
	objects.SetFaults(memory.Faults{LoseAnswers: 1})

	_, err = table.Transact(ctx, []platform.Write{{Key: "a", Value: []byte("1")}})
	require.ErrorIs(t, err, platform.ErrOutcomeUnknown)
	require.NotErrorIs(t, err, platform.ErrUnavailable)
	row, err := table.Get(ctx, "a")
	require.NoError(t, err)
	require.Equal(t, []byte("1"), row.Value)

	require.ErrorIs(t, client.Put(ctx, "o", []byte("content")), platform.ErrOutcomeUnknown)
	content, err := client.Get(ctx, "o")
	require.NoError(t, err)
	require.Equal(t, []byte("content"), content)
}

// Guards against outages that are reported as unknown outcomes, after which
// every caller would have to read back.
func TestDownIsUnavailable(t *testing.T) {
	store := memory.NewTable()
	table := newTable(t, serveHandler(t, NewTable(store)))
	store.SetFaults(memory.Faults{Down: true})
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

// Guards against answers of proxies, of other services or of other requests
// that are taken for the outcome of a write.
func TestUnusableAnswersOfWritesAreUnknownOutcomes(t *testing.T) {
	for name, c := range map[string]struct {
		status int
		body   string
	}{
		"503 without a reason":        {http.StatusServiceUnavailable, ""},
		"500":                         {http.StatusInternalServerError, `{"code":"failed"}`},
		"redirect":                    {http.StatusFound, ""},
		"malformed":                   {http.StatusOK, `{"versions":`},
		"wrong number of versions":    {http.StatusOK, `{"versions":[1,2]}`},
		"conflict without keys":       {http.StatusConflict, `{"keys":[]}`},
		"conflict on another key":     {http.StatusConflict, `{"keys":["b"]}`},
		"conflict without conditions": {http.StatusConflict, `{"keys":["free"]}`},
		"oversized":                   {http.StatusOK, strings.Repeat(" ", 200) + `{"versions":[1]}`},
	} {
		t.Run(name, func(t *testing.T) {
			url := serveHandler(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(c.status)
				_, _ = io.WriteString(w, c.body)
			}))
			table, err := httptable.New(httpclient.Config{BaseURL: url, MaxAnswerBytes: 100})
			require.NoError(t, err)
			_, err = table.Transact(t.Context(), []platform.Write{{Key: "a", IfVersion: platform.IfAbsent()}})
			require.ErrorIs(t, err, platform.ErrOutcomeUnknown)
			require.NotErrorIs(t, err, platform.ErrUnavailable)
			require.NotErrorIs(t, err, platform.ErrConflict)
			_, err = table.Get(t.Context(), "a")
			require.ErrorIs(t, err, platform.ErrUnavailable)
		})
	}
}

// Guards against a wrong end point whose plain 404 reads as "row absent".
func TestForeignNotFoundIsUnavailable(t *testing.T) {
	url := serveHandler(t, http.NotFoundHandler())
	_, err := newTable(t, url).Get(t.Context(), "a")
	require.ErrorIs(t, err, platform.ErrUnavailable)
	require.NotErrorIs(t, err, platform.ErrNotFound)
}

// Guards against answers without end that fill the memory of a VM.
func TestOversizedAnswerIsRefused(t *testing.T) {
	ctx, store := t.Context(), memory.NewObjects()
	require.NoError(t, store.Put(ctx, "o", make([]byte, 101)))
	objects, err := httpobjects.New(httpclient.Config{
		BaseURL: serveHandler(t, NewObjects(store)), MaxAnswerBytes: 100})
	require.NoError(t, err)
	_, err = objects.Get(ctx, "o")
	require.ErrorIs(t, err, platform.ErrUnavailable)
	require.ErrorIs(t, err, httpclient.ErrAnswerTooLarge)
}

// Guards against an object cut short that is taken as whole.
func TestTruncatedObjectIsRefused(t *testing.T) {
	url := serveHandler(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "10")
		_, _ = io.WriteString(w, "short")
	}))
	objects, err := httpobjects.New(httpclient.Config{BaseURL: url})
	require.NoError(t, err)
	_, err = objects.Get(t.Context(), "o")
	require.ErrorIs(t, err, platform.ErrUnavailable)
}

// Guards against connections that went silent and are used for every later
// call: each call would run into its time-out although new connections work.
func TestSilentConnectionIsReplaced(t *testing.T) {
	var silent atomic.Bool
	var opened atomic.Int32
	store := NewTable(memory.NewTable())
	type connKey struct{}
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if silent.Load() && r.Context().Value(connKey{}) == int32(1) {
			// The server notices the end of a connection only after the body.
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
	table, err := httptable.New(httpclient.Config{BaseURL: server.URL})
	require.NoError(t, err)

	_, err = table.Transact(t.Context(), []platform.Write{{Key: "a"}})
	require.NoError(t, err)
	silent.Store(true)
	ctx, cancel := context.WithTimeout(t.Context(), shortTimeout)
	defer cancel()
	_, err = table.Transact(ctx, []platform.Write{{Key: "a"}})
	require.ErrorIs(t, err, platform.ErrOutcomeUnknown)
	require.ErrorIs(t, err, context.DeadlineExceeded)

	_, err = table.Transact(t.Context(), []platform.Write{{Key: "a"}})
	require.NoError(t, err)
	require.Equal(t, int32(2), opened.Load())
}

// Guards against a VM list that loses the leaving mark, and against an admin
// end point whose settings have no effect.
func TestAdminSetsFaultsAndVMs(t *testing.T) {
	s := Services{Table: memory.NewTable(), Objects: memory.NewObjects(), VMs: memory.NewVMs(0, nil)}
	admin := serveHandler(t, NewAdmin(s))
	put := func(path, body string) {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodPut, admin+path, strings.NewReader(body))
		require.NoError(t, err)
		resp, err := http.DefaultClient.Do(req)
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
		require.Equal(t, http.StatusOK, resp.StatusCode)
	}
	put(PathVMs, `{"vms":[{"id":"vm-1","address":"127.0.0.2:80","leaving":true}]}`)
	vms, err := httpvms.New(httpclient.Config{BaseURL: serveHandler(t, NewVMs(s.VMs))})
	require.NoError(t, err)
	list, err := vms.List(t.Context())
	require.NoError(t, err)
	require.Equal(t, []platform.VM{{ID: "vm-1", Address: "127.0.0.2:80", Leaving: true}}, list)

	put(PathFaults+ServiceVMs, `{"down":true}`)
	_, err = vms.List(t.Context())
	require.ErrorIs(t, err, platform.ErrUnavailable)
	put(PathFaults+ServiceTable, `{"lose_answers":3}`)
	require.Equal(t, 3, s.Table.Faults().LoseAnswers)
}
