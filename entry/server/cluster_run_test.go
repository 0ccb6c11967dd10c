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

// Guards against VMs that form separate fleets, or block each other, when all
// of them start at once.
func TestFleetFormsAtOnce(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 4, nil)
	c.start(c.vms...)
	for _, v := range c.vms {
		v.eventually("four members", func() bool { return v.memberCount() == 4 })
	}
	c.vms[0].eventually("same epoch", func() bool {
		for _, v := range c.vms {
			if v.control.Epoch() != c.vms[0].control.Epoch() {
				return false
			}
		}
		return true
	})
	c.vms[0].eventually("all units credited", func() bool { return unitsHeld(c.vms...) == quota.TotalUnits })
}

// Guards against a configuration change that is not distributed by the VM that
// read it, and against a withdrawn key that still works on connections opened
// earlier.
func TestWithdrawnKeyOnOpenConnection(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3, nil)
	c.start(c.vms...)
	for _, v := range c.vms {
		v.eventually("second key admitted", func() bool { return v.get(secondKey, "/lots/1") == http.StatusOK })
	}
	c.config.Keys = c.config.Keys[:1]
	c.publish()
	c.checkKeyWithdrawn()
}

// checkKeyWithdrawn waits until no VM admits the second key. All requests use
// connections that were opened earlier.
func (c *cluster) checkKeyWithdrawn() {
	for _, v := range c.vms {
		v.eventually("key rejected", func() bool {
			reused := true
			trace := &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) { reused = i.Reused }}
			req := v.request(http.MethodGet, secondKey, "/lots/1")
			status, _ := v.send(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
			require.True(c.t, reused)
			return status == http.StatusUnauthorized
		})
		require.Equal(c.t, c.version, v.version())
		v.eventually("serves", func() bool { return v.get(firstKey, "/lots/1") == http.StatusOK })
	}
}

// Guards against a withdrawn key that keeps working at the VMs that had not
// read the change when the table became unavailable.
func TestWithdrawnKeySeenByOneVM(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 4, nil)
	c.start(c.vms...)
	for _, v := range c.vms[1:] {
		v.tableGate.blocked.Store(true)
	}
	c.config.Keys = c.config.Keys[:1]
	c.publish()
	c.vms[0].eventually("change seen", func() bool { return c.vms[0].version() == c.version })
	c.setTableFaults(memory.Faults{Down: true})
	c.objects.SetFaults(memory.Faults{Down: true})
	c.checkKeyWithdrawn()
}

// Guards against losing the units of a VM that stopped without notice.
func TestHardStopReturnsUnits(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 4, nil)
	c.start(c.vms...)
	c.vms[0].eventually("all units credited", func() bool { return unitsHeld(c.vms...) == quota.TotalUnits })
	stopped, others := c.vms[3], c.vms[:3]
	stopped.cancel()
	require.ErrorIs(t, <-stopped.done, context.Canceled)
	stopped.done <- nil
	others[0].eventually("all units at the others", func() bool { return unitsHeld(others...) == quota.TotalUnits })
	for _, v := range others {
		v.eventually("three members", func() bool { return v.memberCount() == 3 })
		v.eventually("serves", func() bool { return v.get(firstKey, "/lots/1") == http.StatusOK })
	}
}

// Guards against a planned stop that interrupts requests and bookings in
// flight, or loses the units of the VM.
func TestPlannedStopInterruptsNothing(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3, nil)
	c.start(c.vms...)
	c.vms[0].eventually("all units credited", func() bool { return unitsHeld(c.vms...) == quota.TotalUnits })
	stopping, others := c.vms[0], c.vms[1:]
	const inFlight = 10
	statuses := make(chan int, 2*inFlight)
	for i := range inFlight {
		for _, key := range []string{"", fmt.Sprint("stop-", i)} {
			go func() {
				req := stopping.request(http.MethodPost, firstKey, "/bookings/slow/4000")
				if key != "" {
					req.Header.Set("Idempotency-Key", key)
				}
				status, _ := stopping.send(req)
				statuses <- status
			}()
		}
	}
	stopping.eventually("requests at the backend server", func() bool { return c.backend.inFlight.Load() == 2*inFlight })
	close(stopping.stop)
	for range 2 * inFlight {
		require.Equal(t, http.StatusOK, <-statuses)
	}
	require.NoError(t, <-stopping.done)
	stopping.done <- nil
	others[0].eventually("left the fleet", func() bool { return others[0].memberCount() == 2 && others[1].memberCount() == 2 })
	others[0].eventually("all units at the others", func() bool { return unitsHeld(others...) == quota.TotalUnits })
}

// Guards against a VM that serves requests without being a member, and against
// a VM without a configuration when it becomes a member.
func TestStartWhileTableDown(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 4, nil)
	c.start(c.vms[:3]...)
	c.setTableFaults(memory.Faults{Down: true})
	c.objects.SetFaults(memory.Faults{Down: true})
	joining := c.vms[3]
	c.launchVM(joining)
	joining.eventually("configuration from a peer", func() bool { return joining.version() == c.version })
	require.Zero(t, joining.control.Epoch())
	require.Equal(t, http.StatusServiceUnavailable, joining.get(firstKey, "/v1/locate"))
	require.Equal(t, http.StatusServiceUnavailable, joining.get(firstKey, "/lots/1"))
	c.setTableFaults(memory.Faults{})
	joining.eventually("look-up", func() bool { return joining.get(firstKey, "/v1/locate") == http.StatusOK })
	require.NotZero(t, joining.control.Epoch())
	joining.eventually("serves", func() bool { return joining.get(firstKey, "/lots/1") == http.StatusOK })
}

// Guards against repeating or giving up a join or a publish if the answer of the
// table is lost after the write has taken effect.
func TestLostTableAnswers(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 4, nil)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		for ctx.Err() == nil {
			c.setTableFaults(memory.Faults{LoseResponses: 1})
			time.Sleep(150 * time.Millisecond)
		}
	}()
	c.start(c.vms...)
	for _, v := range c.vms {
		v.eventually("four members", func() bool { return v.memberCount() == 4 })
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

// Guards against two VMs running the same booking when both receive it at the
// same moment.
func TestSameIdempotencyKeyAtTwoVMs(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3, nil)
	c.start(c.vms...)
	for i := range 20 {
		key := fmt.Sprint("booking-", i)
		send := func(v *vm) int {
			req := v.request(http.MethodPost, firstKey, "/bookings/slow/20")
			req.Header.Set("Idempotency-Key", key)
			status, _ := v.send(req)
			return status
		}
		var group sync.WaitGroup
		for _, v := range c.vms[:2] {
			group.Go(func() { send(v) })
		}
		group.Wait()
		// A third VM returns the outcome, or runs the booking if neither of the
		// two could.
		c.vms[2].eventually("outcome", func() bool { return send(c.vms[2]) == http.StatusOK })
		require.Equal(t, 1, c.backend.runCount(key))
	}
}

// admission is a request that was admitted, with the times at which it was sent
// and answered.
type admission struct{ sent, answered time.Duration }

// Guards against admissions above the account's limit when units move between
// VMs under load and one VM is stopped without notice.
func TestRateOverAllVMs(t *testing.T) {
	t.Parallel()
	const rate, burst, minAdmissions = 200.0, 100.0, 2000
	c := newCluster(t, 4, func(d *declare.Config) { d.Accounts[0].RatePerSecond, d.Accounts[0].Burst = rate, burst })
	c.start(c.vms...)
	executed := c.backend.requests.Load()
	started := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	time.AfterFunc(3*time.Second, c.vms[3].cancel)
	var mu sync.Mutex
	var all []admission
	var group sync.WaitGroup
	for i := range 16 {
		group.Go(func() {
			for ctx.Err() == nil {
				a := admission{sent: time.Since(started)}
				status := c.vms[i%4].get(firstKey, "/lots/1")
				a.answered = time.Since(started)
				if status != http.StatusOK {
					time.Sleep(5 * time.Millisecond)
					continue
				}
				mu.Lock()
				if all = append(all, a); len(all) >= minAdmissions {
					cancel()
				}
				mu.Unlock()
			}
		})
	}
	group.Wait()
	require.LessOrEqual(t, float64(c.backend.requests.Load()-executed), burst+rate*time.Since(started).Seconds())
	checkWindows(t, all, rate, burst)
	// Admissions long after the stop show that there was load on the limit
	// throughout.
	require.GreaterOrEqual(t, len(all), minAdmissions)
}

// checkWindows checks every time window whose bounds are multiples of 100 ms.
// Only requests that were both sent and answered within a window are certain to
// have been admitted in it.
func checkWindows(t *testing.T, all []admission, rate, burst float64) {
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

// evict removes a VM from the fleet row, as another VM does after it has found
// this VM silent for the duration of its lease. It returns the removed
// incarnation.
func (c *cluster) evict(v *vm) uint64 {
	ctx := context.Background()
	for {
		row, err := c.table.Get(ctx, fleet.RowKey)
		require.NoError(c.t, err)
		current, err := fleet.DecodeRow(row.Value)
		require.NoError(c.t, err)
		next := &peerv1.Fleet{Epoch: current.Epoch + 1, ChangeId: "test", WriterVm: c.vms[0].settings.VM}
		for _, m := range current.Members {
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

// Guards against an evicted VM that does not rejoin, keeps units of its earlier
// incarnation, or accepts messages and late table results of that incarnation
// as its own.
func TestEvictedVMReturnsAsNewIncarnation(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 4, nil)
	c.start(c.vms...)
	v := c.vms[3]
	for range 2 {
		v.eventually("all members and units", func() bool { return v.memberCount() == 4 && unitsHeld(c.vms...) == quota.TotalUnits })
		c.setTableFaults(memory.Faults{DelayMS: 100})
		old := c.evict(v)
		v.eventually("new incarnation", func() bool { return v.control.Self().Incarnation > old })
		v.eventually("member again", func() bool { return v.memberCount() == 4 })
		c.setTableFaults(memory.Faults{})
	}
	v.eventually("all members and units", func() bool { return v.memberCount() == 4 && unitsHeld(c.vms...) == quota.TotalUnits })
	for _, v := range c.vms {
		v.eventually("serves", func() bool { return v.get(firstKey, "/lots/1") == http.StatusOK })
	}
}

// Guards against choosing a region after its last backend server became
// unreachable, and against not choosing it again after the server is back.
func TestUnreachableRegionIsSkipped(t *testing.T) {
	t.Parallel()
	// The address is bound only later in the test.
	var remoteAddress string
	c := newCluster(t, 1, func(d *declare.Config) {
		other := d.Services[0].BackendServers[0]
		network, _, _ := strings.Cut(other.Address, "250:")
		remoteAddress = network + "251:18090"
		other.Name, other.Address, other.Region, other.FailureDomain = "b2", remoteAddress, "r2", "d2"
		d.Services[0].BackendServers = append(d.Services[0].BackendServers, other)
		d.Regions = append(d.Regions, d.Regions[0])
		d.Regions[1].Name, d.Regions[1].FailureDomains = "r2", []string{"d2"}
		d.Regions[1].DelayMS = map[string]float64{"r1": 1}
	})
	v := c.vms[0]
	v.settings.Region, v.settings.FailureDomain = "r2", "d2"
	c.launchVM(v)
	v.eventually("served by the other region", func() bool { return v.get(firstKey, "/lots/1") == http.StatusOK })
	l, err := net.Listen("tcp", remoteAddress)
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
		v.get(firstKey, "/lots/1")
		return answered.Load() > 0
	})
	srv.Close()
	v.eventually("served by the other region again", func() bool {
		before := c.backend.requests.Load()
		return v.get(firstKey, "/lots/1") == http.StatusOK && c.backend.requests.Load() > before
	})
}

// Guards against a planned stop that interrupts or rejects requests of callers
// that use a VM only while a lookup response with that VM is valid.
func TestPlannedStopUnderLoad(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3, nil)
	c.vms[0].settings.LookupValidityMS = 1000
	c.start(c.vms...)
	for _, v := range c.vms {
		v.eventually("three members", func() bool { return v.memberCount() == 3 })
	}
	leaving, other := c.vms[0], c.vms[1]
	http2 := new(http.Protocols)
	http2.SetUnencryptedHTTP2(true)
	clients := []*vm{leaving, {t: t, settings: leaving.settings, client: &http.Client{Transport: &http.Transport{Protocols: http2}}}}
	var group sync.WaitGroup
	for i := range 32 {
		client := clients[i%len(clients)]
		group.Go(func() {
			status, body, locatedAt := http.StatusOK, "", time.Now()
			for status == http.StatusOK && other.listsInLookup(leaving) {
				status, body = client.send(client.request(http.MethodPost, firstKey, "/bookings/slow/5"))
				expired := time.Since(locatedAt) > time.Duration(leaving.settings.LookupValidityMS)*time.Millisecond
				if status != http.StatusOK && expired && notRun(body) {
					// The test process was paused: the lookup response is no
					// longer valid, or the lease has ended.
					return
				}
				locatedAt = time.Now()
			}
			assert.Equal(t, http.StatusOK, status, body)
		})
	}
	leaving.eventually("load", func() bool { return c.backend.requests.Load() > 100 })
	close(leaving.stop)
	require.NoError(t, <-leaving.done)
	leaving.done <- nil
	group.Wait()
}

// notRun reports whether a rejection or a connection error shows that the
// request was not run.
func notRun(body string) bool {
	return strings.Contains(body, `"run":"`+string(problem.NotRun)) || strings.Contains(body, syscall.ECONNREFUSED.Error())
}

// listsInLookup reports whether the VM returns another one in a lookup. It is
// called before each request, so that the lookup response is valid.
func (v *vm) listsInLookup(other *vm) bool {
	status, body := v.send(v.request(http.MethodGet, firstKey, "/v1/locate"))
	return status == http.StatusOK && strings.Contains(body, other.settings.CallerAddress)
}
