package capacity

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"github.com/cassiawind/cassiawind/core/configsync"
	"github.com/cassiawind/cassiawind/core/fleet"
	"github.com/cassiawind/cassiawind/core/lease"
	"github.com/cassiawind/cassiawind/core/membership"
	"github.com/cassiawind/cassiawind/core/outbox"
	"github.com/cassiawind/cassiawind/core/quota"
	"github.com/cassiawind/cassiawind/core/tableop"
	"github.com/cassiawind/cassiawind/entry/control"
	"github.com/cassiawind/cassiawind/measure/virtual"
	peerv1 "github.com/cassiawind/cassiawind/peerapi/peer/v1"
	"github.com/cassiawind/cassiawind/platform"
	"github.com/cassiawind/cassiawind/platform/memory"
)

const (
	tickInterval = 100 * time.Millisecond
	// hintDelay is the age of the last heartbeat from which on hints are computed
	// for the next one. As in entry/control, this is when the next one is due.
	hintDelay = lease.HeartbeatInterval
	// inRegionDelay and crossRegionDelay are the one-way delays of the deployment
	// with the longer delays.
	inRegionDelay    = time.Millisecond
	crossRegionDelay = 55 * time.Millisecond
	// presentRegions is the number of regions of each present deployment.
	presentRegions = 3

	vmNameFormat        = "vm-%04d"
	peerAddressFormat   = "10.20.%d.%d:7001"
	callerAddressFormat = "10.20.%d.%d:8080"
	regionFormat        = "region-%02d"
	domainFormat        = "region-%02d-domain-%d"
	octetValues         = 256
)

// component is a part of the control plane whose cost is counted separately.
type component int

const (
	componentFleet component = iota
	componentQuota
	componentMembership
	componentConfig
	componentCount
)

// counters holds sums over all VMs.
type counters struct {
	messages, bytes [componentCount]float64
	// cpu is the time spent in the core packages, in seconds. Encoding and
	// transport are measured separately.
	cpu [componentCount]float64
	// exchanges counts the batches that are sent, without the replies to them.
	// framingBytes are the bytes of batches and replies other than those of the
	// messages.
	exchanges, framingBytes float64
	// hintBytes are the bytes of the quota hints in heartbeats.
	hintBytes         float64
	reads, writes     [componentCount]float64
	objectBytes       float64
	requests, granted float64
	// epochBytes are the bytes of messages about epochs and evictions. rowWrites
	// and leaseWrites count the writes of the fleet row and of lease rows.
	epochBytes, rowWrites, leaseWrites float64
}

// world is a fleet in virtual time. Each VM runs those core packages that the
// measurement gives it.
type world struct {
	*virtual.Clock
	rnd     *rand.Rand
	table   *memory.Table
	vms     []*vm
	vmIndex map[string]int
	// limits are the limits that all VMs have.
	limits   []quota.Limit
	lastSize messageSize
	counters
}

// vm runs the core packages of one VM as entry/control does.
type vm struct {
	world           *world
	member          *peerv1.Member
	fleet           *fleet.Machine
	quota           *quota.Manager
	swim            *membership.Machine
	replica         *configsync.Replica
	lastHeartbeatAt time.Duration
	heartbeatInfo   fleet.HeartbeatInfo
	waiting         []waitingRequest
	stopped         bool
	// activeVersion is the configuration version that is sent to peers.
	activeVersion uint64
	// onInstalled is called after a version is installed, and fetchObject to read
	// an object that the replica needs.
	onInstalled func()
	fetchObject func(name string)
}

func newWorld(n int, seed uint64) *world {
	w := &world{Clock: virtual.New(), rnd: rand.New(rand.NewPCG(seed, uint64(n))), table: memory.NewTable(), vmIndex: map[string]int{}}
	for i := range n {
		w.addVM(i)
	}
	return w
}

func newMember(i int) *peerv1.Member {
	region := i % presentRegions
	return &peerv1.Member{
		Vm: fmt.Sprintf(vmNameFormat, i), Incarnation: uint64(1_700_000_000_000_000_000 + i),
		PeerAddress:   fmt.Sprintf(peerAddressFormat, i/octetValues, i%octetValues),
		CallerAddress: fmt.Sprintf(callerAddressFormat, i/octetValues, i%octetValues),
		Region:        fmt.Sprintf(regionFormat, region), FailureDomain: fmt.Sprintf(domainFormat, region, i/presentRegions%2),
	}
}

func (w *world) addVM(i int) *vm {
	v := &vm{world: w, member: newMember(i)}
	w.vms = append(w.vms, v)
	w.vmIndex[v.member.Vm] = i
	w.After(time.Duration(w.rnd.Int64N(int64(tickInterval))), v.tick)
	return v
}

func (w *world) newRand() *rand.Rand { return rand.New(rand.NewPCG(w.rnd.Uint64(), 1)) }

// writeInitialEpoch writes an epoch with all VMs, so that they need not join one by one.
func (w *world) writeInitialEpoch() error {
	f := &peerv1.Fleet{Epoch: 1, WriterVm: w.vms[0].member.Vm}
	for _, v := range w.vms {
		f.Members = append(f.Members, v.member)
		v.fleet = fleet.New(v.member, w.newRand())
	}
	row, err := fleet.EncodeRow(f)
	if err != nil {
		return err
	}
	_, err = w.table.Transact(context.Background(), []platform.Write{{Key: fleet.RowKey, Value: row}})
	return err
}

func (w *world) delay(a, b *vm) time.Duration {
	if a.member.Region == b.member.Region {
		return inRegionDelay
	}
	return crossRegionDelay
}

// measureCPU adds the time of a call to that of a component.
func (w *world) measureCPU(c component, call func()) {
	startedAt := time.Now()
	call()
	w.cpu[c] += time.Since(startedAt).Seconds()
}

// callTable executes a table call with its delays and passes on the result.
func (w *world) callTable(c component, op tableop.Op, result func(tableop.Result)) {
	w.reads[c] += float64(len(op.Reads))
	if len(op.Writes) > 0 {
		w.writes[c]++
		w.countWrites(op.Writes)
	}
	w.After(inRegionDelay, func() {
		r := control.RunOp(context.Background(), w.table, op)
		w.After(inRegionDelay, func() { result(r) })
	})
}

func (w *world) countWrites(writes []platform.Write) {
	for _, write := range writes {
		switch {
		case write.CheckOnly:
		case write.Key == fleet.RowKey:
			w.rowWrites++
		case strings.HasPrefix(write.Key, fleet.LeaseKeyPrefix):
			w.leaseWrites++
		}
	}
}

// componentOf returns the component that handles a message.
func componentOf(m *peerv1.Message) component {
	switch m.Kind.(type) {
	case *peerv1.Message_QuotaRequest, *peerv1.Message_QuotaTransfer, *peerv1.Message_ReconcileRequest,
		*peerv1.Message_ReconcileReport, *peerv1.Message_ReconcileCredit:
		return componentQuota
	case *peerv1.Message_Ping, *peerv1.Message_PingAck, *peerv1.Message_PingRequest:
		return componentMembership
	case *peerv1.Message_ConfigRequest, *peerv1.Message_ConfigUpdate:
		return componentConfig
	}
	return componentFleet
}

// countBatch counts a batch of messages as the transport encodes it.
func (w *world) countBatch(from, to *vm, messages []*peerv1.Message) {
	header := &peerv1.Batch{From: from.member, ToVm: to.member.Vm, ToIncarnation: to.member.Incarnation}
	w.framingBytes += float64(proto.Size(header))
	for _, m := range messages {
		w.measureSize(m)
		c, size := componentOf(m), w.lastSize.bytes
		w.messages[c]++
		w.bytes[c] += float64(size)
		w.hintBytes += w.lastSize.hintBytes
		w.framingBytes += float64(protowire.SizeTag(messagesFieldNumber) + protowire.SizeBytes(size) - size)
		if c == componentFleet && m.GetHeartbeat() == nil && m.GetHeartbeatAck() == nil {
			w.epochBytes += float64(size)
		}
	}
}

// messagesFieldNumber is the field number of Batch.messages.
const messagesFieldNumber = 5

// messageSize holds the encoded size of a message and that of its quota hints.
type messageSize struct {
	message   *peerv1.Message
	bytes     int
	hintBytes float64
}

// measureSize sets lastSize to the size of a message. The same heartbeat goes to all
// members, so that its size is computed only once.
func (w *world) measureSize(m *peerv1.Message) {
	if w.lastSize.message == m {
		return
	}
	w.lastSize = messageSize{message: m, bytes: proto.Size(m)}
	if hints := m.GetHeartbeat().GetHints(); len(hints) > 0 {
		w.lastSize.hintBytes = float64(proto.Size(&peerv1.Heartbeat{Hints: hints}))
	}
}

// send sends messages as a call of peers.Transport.Send does, in one exchange for each
// receiver.
func (v *vm) send(sends []outbox.Send) {
	var order []string
	byVM := map[string][]*peerv1.Message{}
	for _, s := range sends {
		if byVM[s.To] == nil {
			order = append(order, s.To)
		}
		byVM[s.To] = append(byVM[s.To], s.Message)
	}
	for _, to := range order {
		i, known := v.world.vmIndex[to]
		if !known || v.world.vms[i].stopped {
			continue
		}
		peer, messages := v.world.vms[i], byVM[to]
		v.world.exchanges++
		v.world.countBatch(v, peer, messages)
		v.world.After(v.world.delay(v, peer), func() { peer.handleBatch(v, messages) })
	}
}

// handleBatch handles the messages of a batch and sends those for its sender as the
// reply.
func (v *vm) handleBatch(from *vm, messages []*peerv1.Message) {
	if v.stopped {
		return
	}
	replies := v.handleMessages(from, messages)
	v.world.countBatch(v, from, replies)
	v.world.After(v.world.delay(v, from), func() {
		if from.stopped {
			return
		}
		var sends []outbox.Send
		for _, m := range from.handleMessages(v, replies) {
			sends = append(sends, outbox.Send{To: v.member.Vm, Message: m})
		}
		from.send(sends)
	})
}

// handleMessages returns the replies to the sender and sends all other messages.
func (v *vm) handleMessages(from *vm, messages []*peerv1.Message) (replies []*peerv1.Message) {
	var sends []outbox.Send
	for _, m := range messages {
		for _, s := range v.receive(from.member, m) {
			if s.To == from.member.Vm {
				replies = append(replies, s.Message)
			} else {
				sends = append(sends, s)
			}
		}
	}
	v.send(sends)
	return replies
}

func (v *vm) receive(from *peerv1.Member, m *peerv1.Message) (sends []outbox.Send) {
	now, c := v.world.Now, componentOf(m)
	switch {
	case c == componentMembership && v.swim != nil:
		v.world.measureCPU(c, func() { sends = v.swim.Receive(now, from, m) })
	case c == componentQuota && v.quota != nil:
		v.world.measureCPU(c, func() { sends = v.quota.Receive(now, from, m) })
		if m.GetQuotaTransfer() != nil {
			v.retryWaiting()
		}
	case c == componentConfig && v.replica != nil:
		changed := false
		v.world.measureCPU(c, func() { sends, changed = v.replica.Receive(now, from, m) })
		if changed {
			v.onInstalled()
		}
	case c == componentFleet:
		sends = v.receiveFleet(from, m)
	}
	return sends
}

func (v *vm) receiveFleet(from *peerv1.Member, m *peerv1.Message) (sends []outbox.Send) {
	now := v.world.Now
	if hb := m.GetHeartbeat(); hb != nil {
		if v.quota != nil {
			v.world.measureCPU(componentQuota, func() { v.quota.PeerHints(now, from.Vm, hb.Hints) })
		}
		if v.replica != nil {
			v.world.measureCPU(componentConfig, func() { sends = v.replica.PeerVersion(now, from.Vm, hb.ConfigVersion) })
		}
	}
	if v.fleet == nil {
		return sends
	}
	return append(sends, v.runFleet(func(f *fleet.Machine) fleet.Output { return f.Receive(now, from, m) })...)
}

func (v *vm) tick() {
	if v.stopped {
		return
	}
	v.world.After(tickInterval, v.tick)
	now := v.world.Now
	if v.quota != nil {
		var sends []outbox.Send
		v.world.measureCPU(componentQuota, func() { sends = v.quota.Tick(now) })
		v.send(sends)
		v.retryWaiting()
	}
	if v.swim != nil {
		var sends []outbox.Send
		v.world.measureCPU(componentMembership, func() { sends = v.swim.Tick(now) })
		v.send(sends)
	}
	v.tickReplica()
	if v.fleet != nil {
		v.prepareHeartbeat()
		v.send(v.runFleet(func(f *fleet.Machine) fleet.Output { return f.Tick(now) }))
	}
}

func (v *vm) prepareHeartbeat() {
	if v.quota != nil && v.world.Elapsed()-v.lastHeartbeatAt >= hintDelay {
		v.world.measureCPU(componentQuota, func() { v.heartbeatInfo.Hints = mergeHints(v.heartbeatInfo.Hints, v.quota.Hints(v.world.Now)) })
	}
	v.heartbeatInfo.ConfigVersion = v.activeVersion
	v.fleet.SetInfo(v.heartbeatInfo)
}

// mergeHints adds newer hints to pending ones and replaces those of the same limits, as
// entry/control does.
func mergeHints(pending, newer []*peerv1.QuotaHint) []*peerv1.QuotaHint {
	replaced := make(map[string]bool, len(newer))
	for _, h := range newer {
		replaced[h.Limit] = true
	}
	merged := append([]*peerv1.QuotaHint(nil), newer...)
	for _, h := range pending {
		if !replaced[h.Limit] {
			merged = append(merged, h)
		}
	}
	return merged
}

// runFleet calls the fleet machine, starts the table calls that it requests, and returns
// the messages to send.
func (v *vm) runFleet(call func(*fleet.Machine) fleet.Output) []outbox.Send {
	var out fleet.Output
	v.world.measureCPU(componentFleet, func() { out = call(v.fleet) })
	if out.EpochChanged && v.quota != nil {
		v.world.measureCPU(componentQuota, func() { out.Sends = append(v.quota.EnterEpoch(v.world.Now, v.fleet.Fleet()), out.Sends...) })
	}
	for _, s := range out.Sends {
		if s.Message.GetHeartbeat() != nil {
			v.lastHeartbeatAt, v.heartbeatInfo.Hints = v.world.Elapsed(), nil
			break
		}
	}
	for _, op := range out.Table {
		v.world.callTable(componentFleet, op, func(r tableop.Result) {
			v.send(v.runFleet(func(f *fleet.Machine) fleet.Output { return f.TableResult(v.world.Now, r) }))
		})
	}
	if out.Left || out.Evicted {
		v.stopped = true
	}
	return out.Sends
}
