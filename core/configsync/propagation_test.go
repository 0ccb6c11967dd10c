package configsync

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/cassiawind/cassiawind/core/outbox"
	peerv1 "github.com/cassiawind/cassiawind/peerapi/peer/v1"
)

// Parameters of the simulation: the one-way delay is that of the deployment with
// the longer delays, the fan-out is the size of a lease group, and the folder has
// 200 files of 1,000 bytes.
const (
	oneWay         = 55 * time.Millisecond
	heartbeatEvery = 500 * time.Millisecond
	tickEvery      = 100 * time.Millisecond
	fanOut         = 16
	folderFiles    = 200
	fileBytes      = 1000
	simulatedTurns = 20
	// settleFor lets messages of one change arrive before the next one.
	settleFor = 2 * time.Second
)

// event is a call at a virtual time; equal times are ordered by sequence.
type event struct {
	at  time.Time
	seq int
	run func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if e[i].at.Equal(e[j].at) {
		return e[i].seq < e[j].seq
	}
	return e[i].at.Before(e[j].at)
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// simulation is a fleet of VMs in virtual time.
type simulation struct {
	now   time.Time
	seq   int
	queue events
	store *store
	vms   map[string]*Store
	peers [][]int
	// peerBytes and storeBytes are what all VMs received since the last
	// change; behind counts the VMs without the version in effect.
	peerBytes, storeBytes int
}

func (s *simulation) after(d time.Duration, run func()) {
	s.seq++
	heap.Push(&s.queue, event{at: s.now.Add(d), seq: s.seq, run: run})
}

func newSimulation(n int, rnd *rand.Rand) *simulation {
	s := &simulation{now: start, store: newStore(), vms: map[string]*Store{}}
	for i := range n {
		s.vms[vmName(i)] = newVM(rnd.Uint64())
		s.peers = append(s.peers, drawPeers(n, i, rnd))
		s.after(time.Duration(rnd.Int64N(int64(tickEvery))), func() { s.tick(i) })
		s.after(time.Duration(rnd.Int64N(int64(heartbeatEvery))), func() { s.heartbeat(i) })
	}
	return s
}

// drawPeers returns the fixed peers of a VM: all of a small fleet, otherwise 16
// at random.
func drawPeers(n, self int, rnd *rand.Rand) []int {
	var peers []int
	for _, p := range rnd.Perm(n) {
		if p != self && len(peers) < fanOut {
			peers = append(peers, p)
		}
	}
	return peers
}

func (s *simulation) tick(i int) {
	s.after(tickEvery, func() { s.tick(i) })
	v := s.vms[vmName(i)]
	for _, op := range v.Tick(s.now, len(s.vms)) {
		s.after(oneWay, func() {
			result := s.store.call(op, noFault)
			s.after(oneWay, func() {
				if name, fetch := v.TableResult(s.now, result); fetch {
					s.after(2*oneWay, func() {
						s.storeBytes += len(s.store.objects[name])
						v.ObjectResult(s.now, name, s.store.objects[name], nil)
					})
				}
			})
		})
	}
}

func (s *simulation) heartbeat(i int) {
	s.after(heartbeatEvery, func() { s.heartbeat(i) })
	from := vmName(i)
	version := s.vms[from].Version()
	for _, p := range s.peers[i] {
		s.after(oneWay, func() { s.send(vmName(p), s.vms[vmName(p)].PeerVersion(s.now, from, version)) })
	}
}

func (s *simulation) send(from string, sends []outbox.Send) {
	for _, m := range sends {
		s.peerBytes += proto.Size(m.Message)
		s.after(oneWay, func() {
			answers, _ := s.vms[m.To].Receive(s.now, &peerv1.Member{Vm: from}, m.Message)
			s.send(m.To, answers)
		})
	}
}

// converge runs until all VMs have the version in effect and returns the time.
func (s *simulation) converge(t *testing.T) time.Duration {
	began := s.now
	for s.behind() {
		require.Less(t, s.now.Sub(began), time.Hour)
		s.run(tickEvery)
	}
	return s.now.Sub(began)
}

// run lets time pass.
func (s *simulation) run(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); {
		next := heap.Pop(&s.queue).(event)
		s.now = next.at
		next.run()
	}
}

func (s *simulation) behind() bool {
	for _, v := range s.vms {
		if v.Version() < s.store.version() {
			return true
		}
	}
	return false
}

func folder(turn int) []*peerv1.ConfigEntry {
	contents := make([]string, folderFiles)
	for i := range contents {
		contents[i] = fmt.Sprint(strings.Repeat("x", fileBytes), i)
	}
	contents[turn%folderFiles] = fmt.Sprint(strings.Repeat("y", fileBytes), turn)
	return files(contents...)
}

// Guards against a propagation time or cost per VM that grows faster than with
// the logarithm of the fleet, and against a change that takes longer than 5 s.
// Prints, for 20 changes of two files each, the virtual time until a change is
// installed on all VMs, and the bytes received per VM and change.
// go test ./core/configsync -run Propagation -v
func TestPropagation(t *testing.T) {
	for _, n := range []int{4, 11, 64, 256, 1024} {
		rnd := rand.New(rand.NewPCG(uint64(n), 7))
		s := newSimulation(n, rnd)
		var sum, worst time.Duration
		peers, objects := 0, 0
		for turn := range simulatedTurns + 1 {
			s.peerBytes, s.storeBytes = 0, 0
			done := s.store.publish(NewPublish(folder(turn), uint64(turn), fmt.Sprint("c", turn)), nil)
			require.NoError(t, done.Err)
			took := s.converge(t)
			s.run(settleFor)
			if turn > 0 { // The first turn is the start of the fleet.
				sum, worst = sum+took, max(worst, took)
				peers, objects = peers+s.peerBytes, objects+s.storeBytes
			}
			// Changes come at any phase of the heartbeats.
			s.run(time.Duration(rnd.Int64N(int64(time.Second))))
		}
		changes := n * simulatedTurns
		t.Logf("vms=%d mean_s=%.2f max_s=%.2f peer_bytes_per_vm=%d store_bytes_per_vm=%d",
			n, sum.Seconds()/simulatedTurns, worst.Seconds(), peers/changes, objects/changes)
		require.Less(t, worst, 5*time.Second)
	}
}
