package server

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"github.com/cassiawind/cassiawind/core/configsync"
	"github.com/cassiawind/cassiawind/core/quota"
	"github.com/cassiawind/cassiawind/declare"
	"github.com/cassiawind/cassiawind/entry/control"
	peerv1 "github.com/cassiawind/cassiawind/peerapi/peer/v1"
	"github.com/cassiawind/cassiawind/platform"
	"github.com/cassiawind/cassiawind/platform/memory"
)

const (
	firstKey  = "key-one"
	secondKey = "key-two"
	account   = "acme"
	// waitTimeout bounds the time for which a test waits for a condition.
	waitTimeout = 30 * time.Second
)

// networkCount numbers the loopback networks of the tests in this process.
var networkCount atomic.Int32

// fakeBackend responds to every request after the delay in its path, such as
// 2000 ms for /lots/slow/2000, and counts how often each Idempotency-Key was run.
type fakeBackend struct {
	address  string
	requests atomic.Int64
	inFlight atomic.Int64

	mu        sync.Mutex
	runsByKey map[string]int
}

func newBackend(t *testing.T, ip string) *fakeBackend {
	b := &fakeBackend{runsByKey: map[string]int{}}
	l, err := net.Listen("tcp", ip+":0")
	require.NoError(t, err)
	b.address = l.Addr().String()
	srv := &http.Server{Handler: b}
	go srv.Serve(l)
	t.Cleanup(func() { srv.Close() })
	return b
}

func (b *fakeBackend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		fmt.Fprintf(w, `{"state":"serving","slots":1000,"in_flight":%d}`, b.inFlight.Load())
		return
	}
	b.inFlight.Add(1)
	defer b.inFlight.Add(-1)
	b.requests.Add(1)
	b.mu.Lock()
	b.runsByKey[r.Header.Get("Idempotency-Key")]++
	b.mu.Unlock()
	if _, ms, slow := strings.Cut(r.URL.Path, "/slow/"); slow {
		delay, _ := time.ParseDuration(ms + "ms")
		time.Sleep(delay)
	}
	io.WriteString(w, "done")
}

func (b *fakeBackend) runCount(key string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.runsByKey[key]
}

// tableGate is the access of one VM to the table. It can be blocked.
type tableGate struct {
	platform.Table
	blocked atomic.Bool
}

func (g *tableGate) Get(ctx context.Context, key string) (platform.Row, error) {
	if g.blocked.Load() {
		return platform.Row{}, platform.ErrUnavailable
	}
	return g.Table.Get(ctx, key)
}

func (g *tableGate) Transact(ctx context.Context, writes []platform.Write) ([]uint64, error) {
	if g.blocked.Load() {
		return nil, platform.ErrUnavailable
	}
	return g.Table.Transact(ctx, writes)
}

// cluster is a fleet of VMs in this process, with platform services in memory.
type cluster struct {
	t       *testing.T
	table   *memory.Table
	objects *memory.Objects
	list    *memory.VMList
	backend *fakeBackend
	config  declare.Config
	version uint64
	vms     []*vm
}

// vm is one entry VM.
type vm struct {
	*Server
	t         *testing.T
	settings  declare.Settings
	tableGate *tableGate
	cancel    context.CancelFunc
	stop      chan struct{}
	done      chan error
	client    *http.Client
}

// newCluster creates n VMs and publishes the first configuration, which modify
// may change.
func newCluster(t *testing.T, n int, modify func(*declare.Config)) *cluster {
	network := fmt.Sprintf("127.%d.%d.", 1+os.Getpid()%250, networkCount.Add(1))
	c := &cluster{t: t, table: memory.NewTable(), objects: memory.NewObjects(), backend: newBackend(t, network+"250")}
	c.config = declare.Config{
		Accounts: []declare.Account{{Name: account, RatePerSecond: 5000, Burst: 5000}},
		Keys:     []declare.Key{declaredKey(firstKey), declaredKey(secondKey)},
		Services: []declare.Service{{Name: "lotdesk", BackendServers: []declare.BackendServer{
			{Name: "b1", Address: c.backend.address, Region: "r1", FailureDomain: "d1", Slots: 1000, Connections: 1000}}}},
		Routes: []declare.Route{
			{Name: "lots", PathPrefix: "/lots", Service: "lotdesk", Idempotent: true, DeadlineMS: 10000},
			{Name: "bookings", PathPrefix: "/bookings", Service: "lotdesk", DeadlineMS: 10000},
		},
		Regions: []declare.Region{{Name: "r1", FailureDomains: []string{"d1"}, CapPerSecond: 1e6, CapBurst: 1e6, RampPerSecond: 1}},
	}
	if modify != nil {
		modify(&c.config)
	}
	var listed []platform.VM
	for i := range n {
		v := c.newVM(fmt.Sprintf("vm%d", i+1), fmt.Sprintf("%s%d", network, i+1))
		c.vms = append(c.vms, v)
		listed = append(listed, platform.VM{ID: v.settings.VM, Address: v.settings.PeerAddress})
	}
	c.list = memory.NewVMList(0, listed)
	c.publish()
	return c
}

func declaredKey(key string) declare.Key {
	digest := sha256.Sum256([]byte(key))
	return declare.Key{Name: key, Account: account, SHA256: hex.EncodeToString(digest[:])}
}

func (c *cluster) newVM(name, ip string) *vm {
	v := &vm{
		t: c.t, tableGate: &tableGate{Table: c.table}, stop: make(chan struct{}), done: make(chan error, 1),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}, Timeout: waitTimeout},
		settings: declare.Settings{
			VM: name, Region: "r1", FailureDomain: "d1", CallerAddress: ip + ":18080", PeerAddress: ip + ":18081", OperatorAddress: ip + ":18082",
			MaxBodyBytes: 1 << 20, MaxHeaderBytes: 32 << 10, LookupValidityMS: 100, StopTimeoutMS: 40000,
		},
	}
	return v
}

// start launches VMs and waits until all of them serve requests.
func (c *cluster) start(vms ...*vm) {
	for _, v := range vms {
		c.launchVM(v)
	}
	for _, v := range vms {
		v.eventually("ready", func() bool { return v.Status().Ready && v.get(firstKey, "/lots/1") == http.StatusOK })
	}
}

func (c *cluster) launchVM(v *vm) {
	ctx, cancel := context.WithCancel(context.Background())
	v.cancel = cancel
	v.Server = New(ctx, v.settings, control.Platform{Table: v.tableGate, Objects: c.objects, VMs: c.list}, "test", logr.Discard())
	ended := make(chan struct{})
	go func() {
		v.done <- v.Run(ctx, v.stop)
		close(ended)
	}()
	c.t.Cleanup(func() {
		cancel()
		v.client.CloseIdleConnections()
		<-ended
	})
}

// publish publishes the configuration and makes it the accepted one.
func (c *cluster) publish() {
	content, err := json.Marshal(&c.config)
	require.NoError(c.t, err)
	_, err = declare.Parse([]declare.File{{Name: "10.json", Content: content}})
	require.NoError(c.t, err)
	ctx := context.Background()
	entries := []*peerv1.ConfigEntry{{Name: "10.json", Content: content}}
	plan := configsync.NewPublish(entries, c.version, fmt.Sprint("change-", c.version))
	step := plan.Start()
	for step.Kind != configsync.PublishDone {
		switch step.Kind {
		case configsync.PublishTable:
			step = plan.TableResult(control.RunOp(ctx, c.table, step.Op))
		case configsync.PublishGetObject:
			step = plan.ObjectResult(c.objects.Get(ctx, step.Object))
		case configsync.PublishPutObject:
			step = plan.ObjectResult(nil, c.objects.Put(ctx, step.Object, step.Content))
		default:
			time.Sleep(step.Wait)
			step = plan.Waited()
		}
	}
	require.NoError(c.t, step.Err)
	c.version = step.Version
}

func (c *cluster) setTableFaults(f memory.Faults) { c.table.SetFaults(f) }

// unitsHeld returns the units of the account's limit that the given VMs hold.
func unitsHeld(vms ...*vm) uint64 {
	var sum uint64
	for _, v := range vms {
		for _, l := range v.control.LimitStatus(time.Now()) {
			if l.Limit.Name == quota.AccountLimit(account) {
				sum += uint64(l.Units)
			}
		}
	}
	return sum
}

func (v *vm) eventually(what string, ok func() bool) {
	v.t.Helper()
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if ok() {
			return
		}
	}
	require.FailNow(v.t, "condition not reached", "%s: %s", v.settings.VM, what)
}

func (v *vm) request(method, key, path string) *http.Request {
	req, err := http.NewRequest(method, "http://"+v.settings.CallerAddress+path, nil)
	require.NoError(v.t, err)
	req.Header.Set("Authorization", "Bearer "+key)
	return req
}

// send returns the status and body of the response, or 0 and the error if no
// complete response was received.
func (v *vm) send(req *http.Request) (int, string) {
	resp, err := v.client.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	content, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(content)
}

func (v *vm) get(key, path string) int {
	status, _ := v.send(v.request(http.MethodGet, key, path))
	return status
}

func (v *vm) version() uint64 { return v.control.Policy().Version }

// memberCount returns the number of members in this VM's epoch.
func (v *vm) memberCount() int { return len(v.control.Peers()) }
