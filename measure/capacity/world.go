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
	// hintDelay is that of entry/control: hints are made when a heartbeat is
	// due.
	hintDelay = lease.HeartbeatInterval
	// near and far are the one-way delays of the deployment with the longer
	// ones.
	near = time.Millisecond
	far  = 55 * time.Millisecond
	// regionsToday is the number of regions of both deployments.
	regionsToday = 3

	nameFormat    = "vm-%04d"
	addressFormat = "10.20.%d.%d:7001"
	callerFormat  = "10.20.%d.%d:8080"
	regionFormat  = "region-%02d"
	domainFormat  = "region-%02d-domain-%d"
	octet         = 256
)

// part is a concern whose cost is counted apart.
type part int

const (
	partFleet part = iota
	partQuota
	partMembership
	partConfig
	parts
)

// counts are sums over all VMs.
type counts struct {
	messages, bytes [parts]float64
	// cpu is the time spent in the machines, in seconds. Encoding and transport
	// are measured apart.
	cpu [parts]float64
	// exchanges are batches with their answers; framing are their bytes without
	// those of the messages.
	exchanges, framing float64
	// hints are the bytes of the quota hints in heartbeats.
	hints           float64
	reads, writes   [parts]float64
	objectBytes     float64
	requests, given float64
	// epochBytes are those of messages about epochs and evictions; rowWrites and
	// leaseWrites are transactions that change the fleet row and lease rows.
	epochBytes, rowWrites, leaseWrites float64
}

// world is a fleet in virtual time. Each VM runs the machines that it has.
type world struct {
	*virtual.Clock
	rnd   *rand.Rand
	table *memory.Table
	vms   []*vm
	index map[string]int
	// limits are those of all VMs.
	limits  []quota.Limit
	weighed weighed
	counts
}

// vm drives the machines as entry/control does.
type vm struct {
	w      *world
	member *peerv1.Member
	fleet  *fleet.Machine
	quota  *quota.Manager
	swim   *membership.Machine
	store  *configsync.Replica
	beatAt time.Duration
	info   fleet.HeartbeatInfo
	wait   []waiting
	gone   bool
	// inForce is the configuration version told to peers.
	inForce uint64
	// onStore follows an installed version, onObject fetches an object.
	onStore  func()
	onObject func(name string)
}

func newWorld(n int, seed uint64) *world {
	w := &world{Clock: virtual.New(), rnd: rand.New(rand.NewPCG(seed, uint64(n))), table: memory.NewTable(), index: map[string]int{}}
	for i := range n {
		w.addVM(i)
	}
	return w
}

func newMember(i int) *peerv1.Member {
	region := i % regionsToday
	return &peerv1.Member{
		Vm: fmt.Sprintf(nameFormat, i), Incarnation: uint64(1_700_000_000_000_000_000 + i),
		PeerAddress:   fmt.Sprintf(addressFormat, i/octet, i%octet),
		CallerAddress: fmt.Sprintf(callerFormat, i/octet, i%octet),
		Region:        fmt.Sprintf(regionFormat, region), FailureDomain: fmt.Sprintf(domainFormat, region, i/regionsToday%2),
	}
}

func (w *world) addVM(i int) *vm {
	v := &vm{w: w, member: newMember(i)}
	w.vms = append(w.vms, v)
	w.index[v.member.Vm] = i
	w.After(time.Duration(w.rnd.Int64N(int64(tickInterval))), v.tick)
	return v
}

func (w *world) newRand() *rand.Rand { return rand.New(rand.NewPCG(w.rnd.Uint64(), 1)) }

// seedFleet writes an epoch with all VMs, so that they need not join one by one.
func (w *world) seedFleet() error {
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
		return near
	}
	return far
}

func (w *world) timed(p part, f func()) {
	began := time.Now()
	f()
	w.cpu[p] += time.Since(began).Seconds()
}

// call carries out a table call and passes the result on.
func (w *world) call(p part, op tableop.Op, result func(tableop.Result)) {
	w.reads[p] += float64(len(op.Reads))
	if len(op.Writes) > 0 {
		w.writes[p]++
		w.countWrite(op.Writes)
	}
	w.After(near, func() {
		r := control.RunOp(context.Background(), w.table, op)
		w.After(near, func() { result(r) })
	})
}

func (w *world) countWrite(writes []platform.Write) {
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

func partOf(m *peerv1.Message) part {
	switch m.Kind.(type) {
	case *peerv1.Message_QuotaRequest, *peerv1.Message_QuotaTransfer, *peerv1.Message_ReconcileRequest,
		*peerv1.Message_ReconcileReport, *peerv1.Message_ReconcileCredit:
		return partQuota
	case *peerv1.Message_Ping, *peerv1.Message_PingAck, *peerv1.Message_PingRequest:
		return partMembership
	case *peerv1.Message_ConfigRequest, *peerv1.Message_ConfigUpdate:
		return partConfig
	}
	return partFleet
}

// batch counts a batch as the transport sends it.
func (w *world) batch(from, to *vm, messages []*peerv1.Message) {
	header := &peerv1.Batch{From: from.member, ToVm: to.member.Vm, ToIncarnation: to.member.Incarnation}
	w.framing += float64(proto.Size(header))
	for _, m := range messages {
		w.weigh(m)
		p, size := partOf(m), w.weighed.size
		w.messages[p]++
		w.bytes[p] += float64(size)
		w.hints += w.weighed.hints
		w.framing += float64(protowire.SizeTag(messagesField) + protowire.SizeBytes(size) - size)
		if p == partFleet && m.GetHeartbeat() == nil && m.GetHeartbeatAck() == nil {
			w.epochBytes += float64(size)
		}
	}
}

// messagesField is the number of the field Batch.messages.
const messagesField = 5

// weighed is the size of a message.
type weighed struct {
	message *peerv1.Message
	size    int
	hints   float64
}

// weigh takes the size of a message. A heartbeat goes to all members and is
// weighed once.
func (w *world) weigh(m *peerv1.Message) {
	if w.weighed.message == m {
		return
	}
	w.weighed = weighed{message: m, size: proto.Size(m)}
	if hints := m.GetHeartbeat().GetHints(); len(hints) > 0 {
		w.weighed.hints = float64(proto.Size(&peerv1.Heartbeat{Hints: hints}))
	}
}

// post sends messages as one call of peers.Transport.Send does: one exchange for
// each receiver.
func (v *vm) post(sends []outbox.Send) {
	var order []string
	byVM := map[string][]*peerv1.Message{}
	for _, s := range sends {
		if byVM[s.To] == nil {
			order = append(order, s.To)
		}
		byVM[s.To] = append(byVM[s.To], s.Message)
	}
	for _, to := range order {
		i, known := v.w.index[to]
		if !known || v.w.vms[i].gone {
			continue
		}
		peer, messages := v.w.vms[i], byVM[to]
		v.w.exchanges++
		v.w.batch(v, peer, messages)
		v.w.After(v.w.delay(v, peer), func() { peer.answer(v, messages) })
	}
}

// answer receives a batch and returns the messages for its sender with the
// answer.
func (v *vm) answer(from *vm, messages []*peerv1.Message) {
	if v.gone {
		return
	}
	back := v.deliver(from, messages)
	v.w.batch(v, from, back)
	v.w.After(v.w.delay(v, from), func() {
		if from.gone {
			return
		}
		var sends []outbox.Send
		for _, m := range from.deliver(v, back) {
			sends = append(sends, outbox.Send{To: v.member.Vm, Message: m})
		}
		from.post(sends)
	})
}

func (v *vm) deliver(from *vm, messages []*peerv1.Message) (back []*peerv1.Message) {
	var others []outbox.Send
	for _, m := range messages {
		for _, s := range v.receive(from.member, m) {
			if s.To == from.member.Vm {
				back = append(back, s.Message)
			} else {
				others = append(others, s)
			}
		}
	}
	v.post(others)
	return back
}

func (v *vm) receive(from *peerv1.Member, m *peerv1.Message) (sends []outbox.Send) {
	now, p := v.w.Now, partOf(m)
	switch {
	case p == partMembership && v.swim != nil:
		v.w.timed(p, func() { sends = v.swim.Receive(now, from, m) })
	case p == partQuota && v.quota != nil:
		v.w.timed(p, func() { sends = v.quota.Receive(now, from, m) })
		if m.GetQuotaTransfer() != nil {
			v.retry()
		}
	case p == partConfig && v.store != nil:
		changed := false
		v.w.timed(p, func() { sends, changed = v.store.Receive(now, from, m) })
		if changed {
			v.onStore()
		}
	case p == partFleet:
		sends = v.receiveFleet(from, m)
	}
	return sends
}

func (v *vm) receiveFleet(from *peerv1.Member, m *peerv1.Message) (sends []outbox.Send) {
	now := v.w.Now
	if hb := m.GetHeartbeat(); hb != nil {
		if v.quota != nil {
			v.w.timed(partQuota, func() { v.quota.PeerHints(now, from.Vm, hb.Hints) })
		}
		if v.store != nil {
			v.w.timed(partConfig, func() { sends = v.store.PeerVersion(now, from.Vm, hb.ConfigVersion) })
		}
	}
	if v.fleet == nil {
		return sends
	}
	return append(sends, v.step(func(f *fleet.Machine) fleet.Output { return f.Receive(now, from, m) })...)
}

func (v *vm) tick() {
	if v.gone {
		return
	}
	v.w.After(tickInterval, v.tick)
	now := v.w.Now
	if v.quota != nil {
		var sends []outbox.Send
		v.w.timed(partQuota, func() { sends = v.quota.Tick(now) })
		v.post(sends)
		v.retry()
	}
	if v.swim != nil {
		var sends []outbox.Send
		v.w.timed(partMembership, func() { sends = v.swim.Tick(now) })
		v.post(sends)
	}
	v.tickStore()
	if v.fleet != nil {
		v.prepareHeartbeat()
		v.post(v.step(func(f *fleet.Machine) fleet.Output { return f.Tick(now) }))
	}
}

func (v *vm) prepareHeartbeat() {
	if v.quota != nil && v.w.Elapsed()-v.beatAt >= hintDelay {
		v.w.timed(partQuota, func() { v.info.Hints = mergeHints(v.info.Hints, v.quota.Hints(v.w.Now)) })
	}
	v.info.ConfigVersion = v.inForce
	v.fleet.SetInfo(v.info)
}

// mergeHints puts newer hints in place of older ones of the same limit, as
// entry/control does.
func mergeHints(waiting, newer []*peerv1.QuotaHint) []*peerv1.QuotaHint {
	told := make(map[string]bool, len(newer))
	for _, h := range newer {
		told[h.Limit] = true
	}
	merged := append([]*peerv1.QuotaHint(nil), newer...)
	for _, h := range waiting {
		if !told[h.Limit] {
			merged = append(merged, h)
		}
	}
	return merged
}

func (v *vm) step(f func(*fleet.Machine) fleet.Output) []outbox.Send {
	var out fleet.Output
	v.w.timed(partFleet, func() { out = f(v.fleet) })
	if out.EpochChanged && v.quota != nil {
		v.w.timed(partQuota, func() { out.Sends = append(v.quota.EnterEpoch(v.w.Now, v.fleet.Fleet()), out.Sends...) })
	}
	for _, s := range out.Sends {
		if s.Message.GetHeartbeat() != nil {
			v.beatAt, v.info.Hints = v.w.Elapsed(), nil
			break
		}
	}
	for _, op := range out.Table {
		v.w.call(partFleet, op, func(r tableop.Result) {
			v.post(v.step(func(f *fleet.Machine) fleet.Output { return f.TableResult(v.w.Now, r) }))
		})
	}
	if out.Left || out.Evicted {
		v.gone = true
	}
	return out.Sends
}
