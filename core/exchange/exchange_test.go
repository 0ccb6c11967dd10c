package exchange

import (
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cassiawind/cassiawind/platform"
)

// fleet steps the state machines of a fleet in virtual time over a network that
// loses messages.
type fleet struct {
	t              *testing.T
	random         *rand.Rand
	now            time.Duration
	vms            map[string]*Machine
	roster         []Member
	demand         map[string]float64
	stopped        map[string]bool
	loss           float64
	largestMessage int
	sentMessages   int
	versions       Versions
	// sender sends the message that is being delivered.
	sender string
	// cut are VMs without links to the others.
	cut map[string]bool
	// storeUnreachable marks VMs that do not reach the store.
	storeUnreachable map[string]bool
}

func newFleet(t *testing.T, n int) *fleet {
	f := &fleet{
		t: t, random: rand.New(rand.NewPCG(7, 11)), vms: make(map[string]*Machine),
		demand: make(map[string]float64), stopped: make(map[string]bool), storeUnreachable: make(map[string]bool),
	}
	for i := range n {
		name := fmt.Sprintf("vm-%02d", i)
		// Each VM is alone in its region, so that it owns all accounts.
		f.roster = append(f.roster, Member{Name: name, Region: name, Weight: float64(i % 3)})
		f.vms[name] = New(name, 1, 0)
	}
	for _, m := range f.vms {
		m.SetRoster(f.roster)
	}
	return f
}

func (f *fleet) names() []string {
	var out []string
	for _, m := range f.roster {
		out = append(out, m.Name)
	}
	return out
}

// deliver sends a message to a VM unless the message is lost.
func (f *fleet) deliver(to string, message any, handle func(m *Machine)) {
	raw, err := json.Marshal(message)
	require.NoError(f.t, err)
	f.largestMessage = max(f.largestMessage, len(raw))
	f.sentMessages++
	if !f.stopped[to] && f.cut[to] == f.cut[f.sender] && f.random.Float64() >= f.loss {
		handle(f.vms[to])
	}
}

// round runs one interval of reports and digests, with two passes of heartbeats.
func (f *fleet) round() {
	f.now += ReportInterval(len(f.roster))
	for _, name := range f.names() {
		m := f.vms[name]
		if f.stopped[name] {
			continue
		}
		f.sender = name
		r := m.Report(f.now, "north", map[string]float64{"hot": f.demand[name]}, Work{}, true)
		for _, hub := range m.ReportTargets(f.now) {
			f.deliver(hub, r, func(hub *Machine) { hub.HandleReport(f.now, r) })
		}
	}
	for _, name := range f.names() {
		m := f.vms[name]
		if f.stopped[name] {
			continue
		}
		if r, ok := m.GroupReport(f.now); ok {
			f.sender = name
			for _, hub := range m.Hubs(f.now) {
				f.deliver(hub, r, func(hub *Machine) { hub.HandleGroupReport(f.now, r) })
			}
		}
	}
	for _, name := range f.names() {
		m := f.vms[name]
		if f.stopped[name] {
			continue
		}
		if m.SendsDigests(f.now) {
			// In order, so that the seed decides which messages are lost.
			digests := m.Digests(f.now)
			for _, vm := range slices.Sorted(maps.Keys(digests)) {
				f.sender = name
				f.deliver(vm, digests[vm], func(receiver *Machine) {
					f.sender = vm
					forwards := receiver.HandleDigest(f.now, digests[vm])
					for _, member := range slices.Sorted(maps.Keys(forwards)) {
						f.deliver(member, forwards[member], func(to *Machine) { to.HandleDigest(f.now, forwards[member]) })
					}
				})
			}
		}
	}
	// Hubs send first, so that leaders relay what they received in the same round.
	for _, hubs := range []bool{true, false} {
		for _, name := range f.names() {
			m := f.vms[name]
			if to := m.HeartbeatTargets(f.now); !f.stopped[name] && m.IsHub(f.now) == hubs && len(to) > 0 {
				versions := f.versions
				if upstream, ok := m.UpstreamHub(f.now); ok && !hubs {
					versions = upstream.Versions
				}
				h := m.Heartbeat(f.now, versions, hubs && !f.storeUnreachable[name])
				f.sender = name
				for _, vm := range to {
					f.deliver(vm, h, func(receiver *Machine) { receiver.HandleHeartbeat(f.now, h) })
				}
			}
		}
	}
}

func (f *fleet) rounds(n int) {
	for range n {
		f.round()
	}
}

func (f *fleet) totalShare(rate float64) float64 {
	var sum float64
	for _, name := range f.names() {
		if !f.stopped[name] {
			sum += f.vms[name].RateShare(f.now, "hot", rate)
		}
	}
	return sum
}

func (f *fleet) firstAlive() string {
	for _, vm := range f.vms[f.names()[0]].roster {
		if !f.stopped[vm] {
			return vm
		}
	}
	return ""
}

// Guards against shares of a rate that add up to more than the tolerance allows:
// in normal operation, with lost messages, and while a hub fails.
func TestSharesOfTheFleet(t *testing.T) {
	for _, size := range []int{1, 2, 10, 80} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			f := newFleet(t, size)
			f.loss = 0.03
			for i, name := range f.names() {
				f.demand[name] = float64(i * 10)
			}
			f.rounds(12)
			require.InDelta(t, 1, f.totalShare(100), 0.1, "shares in proportion to demand")
			require.InDelta(t, 1, f.totalShare(1e6), 0.1, "shares with spare rate")
			if size > 2 {
				f.stopped[f.firstAlive()] = true
				for range 12 {
					f.round()
					require.LessOrEqual(t, f.totalShare(100), 1.1)
				}
			}
		})
	}
}

// Guards against a VM that keeps its share indefinitely after the fleet has
// lost contact with it: it must use an equal share, which the hub keeps free.
func TestUnreachableVMUsesAnEqualShare(t *testing.T) {
	f := newFleet(t, 10)
	for _, name := range f.names() {
		f.demand[name] = 10
	}
	unreachable := f.names()[4]
	f.demand[unreachable] = 900
	f.rounds(12)
	require.Greater(t, f.vms[unreachable].RateShare(f.now, "hot", 100), 0.5)
	f.stopped[unreachable] = true
	f.rounds(12)
	ownShare := f.vms[unreachable].RateShare(f.now, "hot", 100)
	require.InDelta(t, 0.1, ownShare, 1e-9)
	require.LessOrEqual(t, ownShare+f.totalShare(100), 1.001)
}

// Guards against a directory that returns failed VMs for longer than 7 s, and
// against one that returns no VMs because its hub receives no messages.
func TestFailedVMsGetNoCallers(t *testing.T) {
	f := newFleet(t, 10)
	f.rounds(12)
	victim, observer := f.firstAlive(), f.names()[0]
	if victim == observer {
		observer = f.names()[1]
	}
	f.stopped[victim] = true
	f.rounds(int(7 * time.Second / ReportInterval(10)))
	acceptsCallers, known := f.vms[observer].AcceptsCallers(f.now)
	require.True(t, known)
	require.False(t, acceptsCallers(victim))
	require.True(t, acceptsCallers(observer))

	for _, name := range f.names() {
		f.stopped[name] = name != observer
	}
	f.rounds(20)
	_, known = f.vms[observer].AcceptsCallers(f.now)
	require.False(t, known, "a hub that receives no reports does not say which VMs failed")
}

// Guards against all VMs following the store, and against VMs that read neither the
// store nor a hub after the hubs failed or lost contact with the store. The bound is
// the time within which a change must be in effect, less the time to read it.
func TestWhoReadsTheStore(t *testing.T) {
	f := newFleet(t, 10)
	f.rounds(12)
	readers := func() int {
		n := 0
		for _, name := range f.names() {
			if !f.stopped[name] && f.vms[name].ReadsStore(f.now) {
				n++
			}
		}
		return n
	}
	require.Equal(t, hubCount, readers())

	f.versions.Operator = 7
	f.round()
	for _, name := range f.names() {
		if !f.vms[name].IsHub(f.now) {
			upstream, ok := f.vms[name].UpstreamHub(f.now)
			require.True(t, ok)
			require.Equal(t, platform.Position(7), upstream.Versions.Operator)
		}
	}

	hubs := f.vms[f.names()[0]].Hubs(f.now)
	f.stopped[hubs[0]], f.stopped[hubs[1]] = true, true
	f.rounds(int((1500*time.Millisecond + ReportInterval(10) - 1) / ReportInterval(10)))
	require.Equal(t, 8, readers(), "without hubs every VM reads the store")
	f.rounds(20)
	require.Equal(t, hubCount, readers(), "other VMs take over")
}

// Guards against VMs that read from a hub which lost contact with the store
// while another hub still reaches it.
func TestUnhealthyHubIsNotAnUpstreamHub(t *testing.T) {
	f := newFleet(t, 10)
	f.rounds(12)
	hubs := f.vms[f.names()[0]].Hubs(f.now)
	f.storeUnreachable[hubs[0]] = true
	f.rounds(2)
	for _, name := range f.names() {
		if slices.Contains(hubs, name) {
			continue
		}
		upstream, ok := f.vms[name].UpstreamHub(f.now)
		require.True(t, ok)
		require.Equal(t, hubs[1], upstream.Hub)
	}
	f.storeUnreachable[hubs[1]] = true
	f.rounds(2)
	for _, name := range f.names() {
		require.True(t, f.vms[name].ReadsStore(f.now))
	}
}

// Guards against messages that do not fit into one packet, and against a number
// of messages that grows with the square of the fleet. With digests of 4.5 KB sent
// at once, links of 10 Mbit/s lost most of them.
func TestMessagesStaySmallAndFew(t *testing.T) {
	const accounts = 82
	f := newFleet(t, 80)
	f.rounds(8)
	f.sentMessages = 0
	f.rounds(10)
	require.LessOrEqual(t, f.sentMessages/10, 80*(2+1+hubCount))

	hub := f.vms[f.firstAlive()]
	for i, name := range f.names() {
		demand := make(map[string]float64)
		for a := range accounts {
			demand[fmt.Sprintf("acct%03d", a)] = float64(a+i) / 7
		}
		hub.HandleReport(f.now, f.vms[name].Report(f.now, "north", demand, Work{Unpinned: map[string]float64{"desk": 3}}, true))
	}
	for _, d := range hub.Digests(f.now) {
		raw, err := json.Marshal(d)
		require.NoError(t, err)
		require.LessOrEqual(t, len(raw), 2100)
	}
}

// Guards against ignoring the messages of a restarted VM as old, whatever its clock
// says, and against using an older message that arrives after a newer one.
func TestReportsOfARestartedVMAreAccepted(t *testing.T) {
	for _, incarnation := range []int64{-5, 2} {
		f := newFleet(t, 3)
		f.rounds(10)
		hub := f.vms[f.firstAlive()]
		name := f.names()[0]
		restarted := New(name, incarnation, f.now)
		restarted.SetRoster(f.roster)
		first := restarted.Report(f.now, "north", nil, Work{}, true)
		second := restarted.Report(f.now, "north", map[string]float64{"hot": 42}, Work{}, true)
		hub.HandleReport(f.now, second)
		hub.HandleReport(f.now, first)
		require.Equal(t, 42.0, hub.receivedReports[name].report.Demand["hot"])
	}
}

// Guards against removing the registration of a VM whose reports were lost for a
// short time.
func TestRegistrationsOfSilentVMsStay(t *testing.T) {
	f := newFleet(t, 3)
	f.rounds(10)
	victim := f.names()[0]
	firstHub := f.firstAlive()
	if firstHub == victim {
		victim = f.names()[1]
	}
	f.stopped[victim] = true
	for f.now < RemovalTimeout-time.Second {
		f.round()
		require.Empty(t, f.vms[firstHub].RemovableVMs(f.now))
	}
	for f.now < 2*RemovalTimeout {
		f.round()
	}
	require.Equal(t, []string{victim}, f.vms[firstHub].RemovableVMs(f.now))
}

// Guards against a VM that becomes the hub after both hubs were lost, has no report of
// anybody yet, and removes the registrations of live VMs; and against one that was
// suspended, or finds a VM that has just registered.
func TestNewHubRemovesNoLiveVMs(t *testing.T) {
	f := newFleet(t, 6)
	for f.now < RemovalTimeout+10*time.Second {
		f.round()
	}
	requireNoneRemovable := func(message string) {
		for name, m := range f.vms {
			if !f.stopped[name] {
				for _, vm := range m.RemovableVMs(f.now) {
					require.True(t, f.stopped[vm], "%s: %s removes %s", message, name, vm)
				}
			}
		}
	}
	first := f.vms[f.names()[0]].Hubs(f.now)
	for _, hub := range first {
		f.stopped[hub] = true
	}
	for range 40 {
		f.round()
		requireNoneRemovable("both hubs are lost")
	}
	for _, hub := range first {
		f.stopped[hub] = false
	}
	f.rounds(20)
	f.now += 2 * RemovalTimeout
	requireNoneRemovable("all were suspended")
	f.rounds(2)
	requireNoneRemovable("all were suspended")

	added := Member{Name: "vm-99", Region: "vm-99", Weight: 1}
	f.roster = append(f.roster, added)
	f.vms[added.Name] = New(added.Name, 1, f.now)
	for _, m := range f.vms {
		m.SetRoster(f.roster)
	}
	requireNoneRemovable("a VM was added")
	for range 10 {
		f.round()
		requireNoneRemovable("a VM was added")
	}
}

// Guards against two VMs of a region owning the same account, against one owner
// for all accounts, and against an owner that has failed.
func TestOneVMOwnsAnAccount(t *testing.T) {
	f := newFleet(t, 12)
	for i := range f.roster {
		f.roster[i].Region = []string{"north", "south"}[i%2]
	}
	for _, m := range f.vms {
		m.SetRoster(f.roster)
	}
	f.rounds(12)
	owners := make(map[string]bool)
	for a := range 40 {
		account := fmt.Sprint("account-", a)
		owner := f.vms[f.names()[0]].RateOwner(f.now, "north", account)
		owners[owner] = true
		for _, name := range f.names() {
			require.Equal(t, owner, f.vms[name].RateOwner(f.now, "north", account))
		}
	}
	require.Len(t, owners, 6)

	victim := f.vms[f.names()[0]].RateOwner(f.now, "north", "account-0")
	f.stopped[victim] = true
	f.rounds(12)
	for _, name := range f.names() {
		if name != victim {
			require.NotEqual(t, victim, f.vms[name].RateOwner(f.now, "north", "account-0"))
		}
	}
	require.Empty(t, f.vms[f.names()[0]].RateOwner(f.now, "west", "account-0"))
}

// Guards against a fleet that rejects most requests after all of its processes
// were killed: before the first digest, an owner uses the shares of the VMs that
// request tokens from it as well.
func TestShareBeforeTheFirstDigest(t *testing.T) {
	m := New("a", 1, 0)
	m.SetRoster([]Member{{Name: "a"}, {Name: "b"}, {Name: "c"}, {Name: "d"}})
	require.InDelta(t, 0.25, m.RateShare(0, "hot", 100), 1e-9)
	m.HandleTokenRequest(0, "b")
	m.HandleTokenRequest(0, "c")
	m.HandleTokenRequest(time.Second, "c")
	require.InDelta(t, 0.75, m.RateShare(time.Second, "hot", 100), 1e-9)
	require.InDelta(t, 0.5, m.RateShare(tokenRequestValidity+time.Millisecond, "hot", 100), 1e-9)
}

// Guards against not counting demand that only one region may serve, and against
// counting it in the region of the callers.
func TestPinnedWorkCountsWhereItMustBeServed(t *testing.T) {
	m := New("a", 1, 0)
	m.SetRoster([]Member{{Name: "a", Region: "north"}, {Name: "b", Region: "south"}})
	pinned := map[string]map[string]float64{"north": {"desk": 2}}
	m.HandleReport(0, m.Report(0, "north", nil, Work{Unpinned: map[string]float64{"desk": 1}, Pinned: pinned}, true))
	m.HandleReport(0, Report{VM: "b", Region: "south", Seq: 1, Work: map[string]float64{"desk": 4}, Pinned: pinned})
	d := m.Digests(0)["a"]
	require.Equal(t, map[string]map[string]float64{"north": {"desk": 1}, "south": {"desk": 4}}, d.Work)
	require.Equal(t, map[string]map[string]float64{"north": {"desk": 4}}, d.Pinned)
}

// Guards against a VM that still owns an account, or still gets token requests,
// after the digest has listed it as silent, and against accounts that do not
// return to a VM that came back.
func TestRateOwnerFollowsDigestAndRoster(t *testing.T) {
	m := New("a", 1, 0)
	roster := []Member{{Name: "a", Region: "r"}, {Name: "b", Region: "r"}, {Name: "c", Region: "r"}, {Name: "d", Region: "s"}}
	m.SetRoster(roster)
	first := m.RateOwner(0, "r", "account")
	require.NotEmpty(t, first)
	m.HandleDigest(time.Second, Digest{Hub: "a", Incarnation: 1, Seq: 1, RosterSize: 4, Alive: 3, Settled: true, Silent: []string{first}})
	second := m.RateOwner(time.Second, "r", "account")
	require.NotEqual(t, first, second)
	m.HandleDigest(2*time.Second, Digest{Hub: "a", Incarnation: 1, Seq: 2, RosterSize: 4, Alive: 3, Settled: true, Unready: []string{second}})
	require.Equal(t, first, m.RateOwner(2*time.Second, "r", "account"))
	m.HandleDigest(3*time.Second, Digest{Hub: "a", Incarnation: 1, Seq: 3, RosterSize: 4, Alive: 3, Settled: true, Silent: []string{first}})
	require.Equal(t, first, m.RateOwner(time.Hour, "r", "account"), "an expired digest excludes no VM")
	m.SetRoster([]Member{roster[3]})
	require.Empty(t, m.RateOwner(time.Hour, "r", "account"))
	require.Equal(t, "d", m.RateOwner(time.Hour, "s", "account"))
}

func BenchmarkRateOwner(b *testing.B) {
	m := New("vm0", 1, 0)
	roster := make([]Member, 0, 300)
	for i := range 300 {
		roster = append(roster, Member{Name: "vm" + strconv.Itoa(i), Region: "r" + strconv.Itoa(i%9)})
	}
	m.SetRoster(roster)
	for b.Loop() {
		for i := range 82 {
			m.RateOwner(0, "r1", "account"+strconv.Itoa(i))
		}
	}
}

// Guards against rejections within the rate after the owner of an account failed:
// its successor has measured nothing and would get too small a share until a digest
// acknowledges its first full measurement.
func TestSuccessorGetsTheShareOfAFailedVM(t *testing.T) {
	roster := []Member{{Name: "a", Region: "r"}, {Name: "b", Region: "r"}, {Name: "c", Region: "s"}}
	digest := func(seq uint64, demand float64, silent ...string) Digest {
		return Digest{
			Hub: "c", Incarnation: 1, Seq: seq, Ack: 1, RosterSize: 3, Alive: 3 - len(silent), Settled: true, Silent: silent,
			Demand: map[string]float64{"account": demand},
		}
	}
	start := func(name string) *Machine {
		m := New(name, 1, 0)
		m.SetRoster(roster)
		m.Report(time.Second, "r", nil, Work{}, true)
		return m
	}
	failOver := func(before, after float64) *Machine {
		m := start("a")
		m.HandleDigest(time.Second, digest(1, before))
		m.HandleDigest(2*time.Second, digest(2, after, "b"))
		return m
	}
	const rate = 100
	m := failOver(50, 20)
	require.GreaterOrEqual(t, m.RateShare(2*time.Second, "account", rate)*rate, 30.0, "the demand that the failed VM reported")
	require.Less(t, m.RateShare(2*time.Second+lostDemandIntervals*ReportInterval(3), "account", rate)*rate, 30.0, "only for some intervals")
	overloaded := failOver(200, 150)
	baseline := start("a")
	baseline.HandleDigest(2*time.Second, digest(2, 150, "b"))
	require.Equal(t, baseline.RateShare(2*time.Second, "account", rate), overloaded.RateShare(2*time.Second, "account", rate),
		"if demand exceeds the rate, nothing is taken from other regions")
	other := start("c")
	other.HandleDigest(time.Second, digest(1, 50))
	other.HandleDigest(2*time.Second, digest(2, 20, "b"))
	require.Less(t, other.RateShare(2*time.Second, "account", rate)*rate, 100*2.0/3, "the other region did not own the account")
}

// Guards against an account that exceeds its rate while the reports of a VM are
// lost and digests still reach it: the hub gives its share to others, so the VM
// must stop using it. The same fault is a mutation of spec/shares.pml.
func TestShareExpiresWithTheAcknowledgedReport(t *testing.T) {
	m := New("a", 1, 0)
	m.SetRoster([]Member{{Name: "a", Region: "r"}, {Name: "b", Region: "s"}, {Name: "c", Region: "t"}})
	m.Report(0, "r", map[string]float64{"account": 90}, Work{}, true)
	const rate = 100
	lastDigestAt := time.Duration(0)
	for at := time.Duration(0); at < silenceTimeout(3); at += ReportInterval(3) {
		m.HandleDigest(at, Digest{
			Hub: "b", Incarnation: 1, Seq: uint64(at) + 1, Ack: 1, RosterSize: 3, Alive: 3, Settled: true, Demand: map[string]float64{"account": 90},
		})
		lastDigestAt = at
		require.Greater(t, m.RateShare(at, "account", rate), 0.8)
	}
	// From silenceTimeout on the hub gives the share to others.
	shareExpiry := silenceTimeout(3) + 2*ReportInterval(3)
	require.Less(t, shareExpiry, lastDigestAt+digestValidity(3), "the digest itself is still valid")
	require.InDelta(t, 1.0/3, m.RateShare(shareExpiry, "account", rate), 0.01)
}

// Guards against VMs that read from a hub which still shows the store before it was
// restored from an older copy, once another hub or the VM itself has seen the new era.
func TestHubOfAnEarlierEraIsNotAnUpstreamHub(t *testing.T) {
	era1, _ := platform.NewPosition(1, 5)
	m := New("vm-9", 1, 0)
	m.SetRoster([]Member{{Name: "vm-1", Weight: 3}, {Name: "vm-2", Weight: 2}, {Name: "vm-9", Weight: 1}})
	first := Heartbeat{Hub: "vm-1", Seq: 1, Healthy: true, Versions: Versions{Operator: 900, Servers: 900, VMs: 900}}
	second := Heartbeat{Hub: "vm-2", Seq: 1, Healthy: true, Versions: Versions{Operator: era1, Servers: 900, VMs: 900}}
	m.HandleHeartbeat(0, first)
	upstream, ok := m.UpstreamHub(0)
	require.True(t, ok)
	require.Equal(t, "vm-1", upstream.Hub)
	m.HandleHeartbeat(0, second)
	upstream, ok = m.UpstreamHub(0)
	require.True(t, ok)
	require.Equal(t, "vm-2", upstream.Hub, "it has seen the new era")
	m.SetStoreEra(2)
	_, ok = m.UpstreamHub(0)
	require.False(t, ok, "this VM has seen a newer era itself and reads the store")
}

// Guards against accounts that are owned by VMs which are too small for it: on VMs of
// 0.16 of a core, a third of the answers to token requests of a hot account came too
// late (tubeform-nw-grown).
func TestAccountsAreOwnedInProportionToTheWeight(t *testing.T) {
	m := New("vm-0", 1, 0)
	var roster []Member
	for i := range 8 {
		weight := 1.0
		if i < 2 {
			weight = 100
		}
		roster = append(roster, Member{Name: "vm-" + strconv.Itoa(i), Region: "north", Weight: weight})
	}
	m.SetRoster(roster)
	owned := make(map[string]int)
	for i := range 1000 {
		owned[m.RateOwner(0, "north", strconv.Itoa(i))]++
	}
	require.InDelta(t, 1000*10.0/(2*10+6), owned["vm-0"], 60)
	require.InDelta(t, 1000*10.0/(2*10+6), owned["vm-1"], 60)
}
