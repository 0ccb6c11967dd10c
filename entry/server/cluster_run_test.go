package server

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cassiawind/cassiawind/core/fleet"
	"github.com/cassiawind/cassiawind/core/quota"
	"github.com/cassiawind/cassiawind/declare"
	"github.com/cassiawind/cassiawind/entry/problem"
	peerv1 "github.com/cassiawind/cassiawind/peerapi/peer/v1"
	"github.com/cassiawind/cassiawind/platform"
	"github.com/cassiawind/cassiawind/platform/memory"
)

// Guards against VMs that found fleets of their own, or block each other, when
// all start at once.
func TestFleetFormsAtOnce(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 4, nil)
	c.start(c.vms...)
	for _, v := range c.vms {
		v.eventually("four members", func() bool { return v.members() == 4 })
	}
	c.vms[0].eventually("same epoch", func() bool {
		for _, v := range c.vms {
			if v.control.Epoch() != c.vms[0].control.Epoch() {
				return false
			}
		}
		return true
	})
	c.vms[0].eventually("all units credited", func() bool { return units(c.vms...) == quota.TotalUnits })
}

// Guards against a change that stays at the VM that read it, and a withdrawn
// key that goes on working on a connection opened before.
func TestWithdrawnKeyOnOpenConnection(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3, nil)
	c.start(c.vms...)
	for _, v := range c.vms {
		v.eventually("second key admitted", func() bool { return v.get(keyTwo, "/lots/1") == http.StatusOK })
	}
	c.config.Keys = c.config.Keys[:1]
	c.publish()
	c.checkWithdrawn()
}

// checkWithdrawn waits until no VM admits the second key. All requests go over
// connections opened before.
func (c *cluster) checkWithdrawn() {
	for _, v := range c.vms {
		v.eventually("key refused", func() bool {
			reused := true
			trace := &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) { reused = i.Reused }}
			req := v.request(http.MethodGet, keyTwo, "/lots/1")
			status, _ := v.send(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
			require.True(c.t, reused)
			return status == http.StatusUnauthorized
		})
		require.Equal(c.t, c.version, v.version())
		v.eventually("serves", func() bool { return v.get(keyOne, "/lots/1") == http.StatusOK })
	}
}

// Guards against a withdrawn key that works on at the VMs that have not read
// the change when the table goes down.
func TestWithdrawnKeySeenByOneVM(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 4, nil)
	c.start(c.vms...)
	for _, v := range c.vms[1:] {
		v.gate.closed.Store(true)
	}
	c.config.Keys = c.config.Keys[:1]
	c.publish()
	c.vms[0].eventually("change seen", func() bool { return c.vms[0].version() == c.version })
	c.setTable(memory.Faults{Down: true})
	c.objects.SetFaults(memory.Faults{Down: true})
	c.checkWithdrawn()
}

// Guards against units that stay lost with a VM that stopped without notice.
func TestHardStopReturnsUnits(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 4, nil)
	c.start(c.vms...)
	c.vms[0].eventually("all units credited", func() bool { return units(c.vms...) == quota.TotalUnits })
	stopped, rest := c.vms[3], c.vms[:3]
	stopped.cancel()
	require.ErrorIs(t, <-stopped.done, context.Canceled)
	stopped.done <- nil
	rest[0].eventually("all units at the others", func() bool { return units(rest...) == quota.TotalUnits })
	for _, v := range rest {
		v.eventually("three members", func() bool { return v.members() == 3 })
		v.eventually("serves", func() bool { return v.get(keyOne, "/lots/1") == http.StatusOK })
	}
}

// Guards against a planned stop that cuts requests and bookings in flight, and
// units that are lost with it.
func TestPlannedStopInterruptsNothing(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3, nil)
	c.start(c.vms...)
	c.vms[0].eventually("all units credited", func() bool { return units(c.vms...) == quota.TotalUnits })
	leaving, rest := c.vms[0], c.vms[1:]
	const inFlight = 10
	statuses := make(chan int, 2*inFlight)
	for i := range inFlight {
		for _, key := range []string{"", fmt.Sprint("stop-", i)} {
			go func() {
				req := leaving.request(http.MethodPost, keyOne, "/bookings/slow/4000")
				if key != "" {
					req.Header.Set("Idempotency-Key", key)
				}
				status, _ := leaving.send(req)
				statuses <- status
			}()
		}
	}
	leaving.eventually("requests at the backend server", func() bool { return c.backend.active.Load() == 2*inFlight })
	close(leaving.stop)
	for range 2 * inFlight {
		require.Equal(t, http.StatusOK, <-statuses)
	}
	require.NoError(t, <-leaving.done)
	leaving.done <- nil
	rest[0].eventually("left the fleet", func() bool { return rest[0].members() == 2 && rest[1].members() == 2 })
	rest[0].eventually("all units at the others", func() bool { return units(rest...) == quota.TotalUnits })
}

// Guards against a VM that serves without being a member, and one that has no
// configuration when it becomes one.
func TestStartWhileTableDown(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 4, nil)
	c.start(c.vms[:3]...)
	c.setTable(memory.Faults{Down: true})
	c.objects.SetFaults(memory.Faults{Down: true})
	late := c.vms[3]
	c.launch(late)
	late.eventually("configuration from a peer", func() bool { return late.version() == c.version })
	require.Zero(t, late.control.Epoch())
	require.Equal(t, http.StatusServiceUnavailable, late.get(keyOne, "/v1/locate"))
	require.Equal(t, http.StatusServiceUnavailable, late.get(keyOne, "/lots/1"))
	c.setTable(memory.Faults{})
	late.eventually("look-up", func() bool { return late.get(keyOne, "/v1/locate") == http.StatusOK })
	require.NotZero(t, late.control.Epoch())
	late.eventually("serves", func() bool { return late.get(keyOne, "/lots/1") == http.StatusOK })
}

// Guards against a join or a publish that is repeated, or given up, because its
// answer was lost after the effect.
func TestLostTableAnswers(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 4, nil)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		for ctx.Err() == nil {
			c.setTable(memory.Faults{LoseAnswers: 1})
			time.Sleep(150 * time.Millisecond)
		}
	}()
	c.start(c.vms...)
	for _, v := range c.vms {
		v.eventually("four members", func() bool { return v.members() == 4 })
	}
	for range 3 {
		c.config.Accounts[0].RatePerSecond++
		before := c.version
		c.publish()
		require.Equal(t, before+1, c.version)
	}
	for _, v := range c.vms {
		v.eventually("last version", func() bool { return v.version() == c.version })
	}
}

// Guards against the same booking run by two VMs that get it at the same moment.
func TestSameIdempotencyKeyAtTwoVMs(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3, nil)
	c.start(c.vms...)
	for i := range 20 {
		key := fmt.Sprint("booking-", i)
		send := func(v *vm) int {
			req := v.request(http.MethodPost, keyOne, "/bookings/slow/20")
			req.Header.Set("Idempotency-Key", key)
			status, _ := v.send(req)
			return status
		}
		var group sync.WaitGroup
		for _, v := range c.vms[:2] {
			group.Go(func() { send(v) })
		}
		group.Wait()
		// A third VM gives the outcome, or runs the booking if neither could.
		c.vms[2].eventually("outcome", func() bool { return send(c.vms[2]) == http.StatusOK })
		require.Equal(t, 1, c.backend.ran(key))
	}
}

// admitted is a request that got an answer of the backend server.
type admitted struct{ sent, answered time.Duration }

// Guards against admissions above the account's limit when units move between
// VMs under load and a VM is stopped hard.
func TestRateOverAllVMs(t *testing.T) {
	t.Parallel()
	const rate, burst, enough = 200.0, 100.0, 2000
	c := newCluster(t, 4, func(d *declare.Config) { d.Accounts[0].RatePerSecond, d.Accounts[0].Burst = rate, burst })
	c.start(c.vms...)
	executed := c.backend.total.Load()
	started := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), bound)
	defer cancel()
	time.AfterFunc(3*time.Second, c.vms[3].cancel)
	var mu sync.Mutex
	var all []admitted
	var group sync.WaitGroup
	for i := range 16 {
		group.Go(func() {
			for ctx.Err() == nil {
				a := admitted{sent: time.Since(started)}
				status := c.vms[i%4].get(keyOne, "/lots/1")
				a.answered = time.Since(started)
				if status != http.StatusOK {
					time.Sleep(5 * time.Millisecond)
					continue
				}
				mu.Lock()
				if all = append(all, a); len(all) >= enough {
					cancel()
				}
				mu.Unlock()
			}
		})
	}
	group.Wait()
	require.LessOrEqual(t, float64(c.backend.total.Load()-executed), burst+rate*time.Since(started).Seconds())
	checkWindows(t, all, rate, burst)
	// Admissions long after the stop show that the limit was loaded throughout.
	require.GreaterOrEqual(t, len(all), enough)
}

// checkWindows checks every window with bounds at multiples of 100 ms. Only
// requests sent and answered in a window were surely admitted in it.
func checkWindows(t *testing.T, all []admitted, rate, burst float64) {
	const step = 100 * time.Millisecond
	var end time.Duration
	for _, a := range all {
		end = max(end, a.answered)
	}
	for from := time.Duration(0); from < end; from += step {
		counts := map[time.Duration]int{}
		for _, a := range all {
			if a.sent >= from {
				counts[a.answered/step+1]++
			}
		}
		sum := 0
		for to := from/step + 1; to <= end/step+1; to++ {
			sum += counts[to]
			require.LessOrEqual(t, float64(sum), burst+rate*(to*step-from).Seconds(), "window from %s", from)
		}
	}
}

// evict removes a VM from the fleet row, as another VM does that has found it
// silent for its lease. It returns the incarnation removed.
func (c *cluster) evict(v *vm) uint64 {
	ctx := context.Background()
	for {
		row, err := c.table.Get(ctx, fleet.RowKey)
		require.NoError(c.t, err)
		now, err := fleet.DecodeRow(row.Value)
		require.NoError(c.t, err)
		next := &peerv1.Fleet{Epoch: now.Epoch + 1, ChangeId: "test", WriterVm: c.vms[0].settings.VM}
		for _, m := range now.Members {
			if m.Vm == v.settings.VM {
				next.Removed = m
			} else {
				next.Members = append(next.Members, m)
			}
		}
		value, err := fleet.EncodeRow(next)
		require.NoError(c.t, err)
		write := platform.Write{Key: fleet.RowKey, Value: value, IfVersion: platform.IfVersion(row.Version)}
		if _, err = c.table.Transact(ctx, []platform.Write{write}); err == nil {
			return next.Removed.GetIncarnation()
		}
	}
}

// Guards against an evicted VM that stays out, keeps units of its earlier
// incarnation, or takes messages and slow table answers of that one for its own.
func TestEvictedVMReturnsAsNewIncarnation(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 4, nil)
	c.start(c.vms...)
	v := c.vms[3]
	for range 2 {
		v.eventually("all members and units", func() bool { return v.members() == 4 && units(c.vms...) == quota.TotalUnits })
		c.setTable(memory.Faults{SlowMS: 100})
		old := c.evict(v)
		v.eventually("new incarnation", func() bool { return v.control.Self().Incarnation > old })
		v.eventually("member again", func() bool { return v.members() == 4 })
		c.setTable(memory.Faults{})
	}
	v.eventually("all members and units", func() bool { return v.members() == 4 && units(c.vms...) == quota.TotalUnits })
	for _, v := range c.vms {
		v.eventually("serves", func() bool { return v.get(keyOne, "/lots/1") == http.StatusOK })
	}
}

// Guards against a region that goes on being chosen after its last backend
// server is gone, and one that is not chosen again when it is back.
func TestUnreachableRegionIsSkipped(t *testing.T) {
	t.Parallel()
	// The address is bound only later.
	var away string
	c := newCluster(t, 1, func(d *declare.Config) {
		other := d.Services[0].BackendServers[0]
		network, _, _ := strings.Cut(other.Address, "250:")
		away = network + "251:18090"
		other.Name, other.Address, other.Region, other.FailureDomain = "b2", away, "r2", "d2"
		d.Services[0].BackendServers = append(d.Services[0].BackendServers, other)
		d.Regions = append(d.Regions, d.Regions[0])
		d.Regions[1].Name, d.Regions[1].FailureDomains = "r2", []string{"d2"}
		d.Regions[1].DelayMS = map[string]float64{"r1": 1}
	})
	v := c.vms[0]
	v.settings.Region, v.settings.FailureDomain = "r2", "d2"
	c.launch(v)
	v.eventually("served by the other region", func() bool { return v.get(keyOne, "/lots/1") == http.StatusOK })
	l, err := net.Listen("tcp", away)
	require.NoError(t, err)
	var answered atomic.Int64
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/health" {
			answered.Add(1)
		}
		io.WriteString(w, `{"state":"serving","slots":1000,"in_flight":0}`)
	})}
	go srv.Serve(l)
	v.eventually("served by the own region", func() bool {
		v.get(keyOne, "/lots/1")
		return answered.Load() > 0
	})
	srv.Close()
	v.eventually("served by the other region again", func() bool {
		before := c.backend.total.Load()
		return v.get(keyOne, "/lots/1") == http.StatusOK && c.backend.total.Load() > before
	})
}

// Guards against a planned stop that cuts or rejects requests of callers that
// send to a VM only while an answer to a look-up that names it is valid.
func TestPlannedStopUnderLoad(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3, nil)
	c.vms[0].settings.LookupValidityMS = 1000
	c.start(c.vms...)
	for _, v := range c.vms {
		v.eventually("three members", func() bool { return v.members() == 3 })
	}
	leaving, other := c.vms[0], c.vms[1]
	http2 := new(http.Protocols)
	http2.SetUnencryptedHTTP2(true)
	clients := []*vm{leaving, {t: t, settings: leaving.settings, client: &http.Client{Transport: &http.Transport{Protocols: http2}}}}
	var group sync.WaitGroup
	for i := range 32 {
		client := clients[i%len(clients)]
		group.Go(func() {
			status, body, asked := http.StatusOK, "", time.Now()
			for status == http.StatusOK && other.names(leaving) {
				status, body = client.send(client.request(http.MethodPost, keyOne, "/bookings/slow/5"))
				late := time.Since(asked) > time.Duration(leaving.settings.LookupValidityMS)*time.Millisecond
				if status != http.StatusOK && late && notRun(body) {
					// The machine stood still: the look-up is valid no longer,
					// or the lease has ended.
					return
				}
				asked = time.Now()
			}
			assert.Equal(t, http.StatusOK, status, body)
		})
	}
	leaving.eventually("load", func() bool { return c.backend.total.Load() > 100 })
	close(leaving.stop)
	require.NoError(t, <-leaving.done)
	leaving.done <- nil
	group.Wait()
}

// notRun reports whether a rejection, or an error of the connection, tells that
// the request was not run.
func notRun(body string) bool {
	return strings.Contains(body, `"run":"`+string(problem.NotRun)) || strings.Contains(body, syscall.ECONNREFUSED.Error())
}

// names reports whether a VM names another in its answer to a look-up. It is
// asked before each request, so that the answer is valid.
func (v *vm) names(other *vm) bool {
	status, body := v.send(v.request(http.MethodGet, keyOne, "/v1/locate"))
	return status == http.StatusOK && strings.Contains(body, other.settings.CallerAddress)
}
