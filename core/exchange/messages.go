package exchange

import (
	"github.com/cassiawind/cassiawind/core/poison"
	"github.com/cassiawind/cassiawind/core/serverlimit"
	"github.com/cassiawind/cassiawind/platform"
)

// Report is the periodic message of a VM to the hubs.
type Report struct {
	VM     string `json:"vm"`
	Region string `json:"region"`
	// Incarnation identifies one start of the VM, and Seq orders its reports.
	Incarnation int64  `json:"born"`
	Seq         uint64 `json:"seq"`
	// Demand is the requests per second of each client account that this VM owns
	// in its region, rejected requests included.
	Demand map[string]float64 `json:"demand,omitempty"`
	// Work is the demand in busy slots by service that any region may serve.
	// Pinned is the demand that only one region may serve, by that region.
	Work   map[string]float64            `json:"work,omitempty"`
	Pinned map[string]map[string]float64 `json:"pinned,omitempty"`
	// Unready is set if the directory must not return this VM to callers.
	Unready bool `json:"unready,omitempty"`
	// Limits are this VM's recent observations of limits that backend servers name.
	Limits []serverlimit.Shared `json:"limits,omitempty"`
	// Suspects are this VM's recent observations of requests that may crash servers.
	Suspects []poison.Shared `json:"suspects,omitempty"`
}

// Digest is the reply of the first hub to a report.
type Digest struct {
	Hub         string `json:"hub"`
	Incarnation int64  `json:"born"`
	Seq         uint64 `json:"seq"`
	// Ack is the sequence number of the receiver's newest report that the digest
	// includes, or of its newest group report if AcksGroupReport is set.
	Ack             uint64 `json:"ack"`
	AcksGroupReport bool   `json:"bundled,omitempty"`
	// Silent VMs did not report recently, Unready ones take no callers.
	Silent  []string `json:"silent,omitempty"`
	Unready []string `json:"unready,omitempty"`
	// Demand is the sum over the VMs that are alive, by account.
	Demand map[string]float64 `json:"demand,omitempty"`
	// Alive is the number of VMs of the roster that are alive.
	Alive      int `json:"live"`
	RosterSize int `json:"size"`
	// Work is the demand in busy slots by the region of the callers and by service.
	// Pinned is the demand that only one region may serve, by that region.
	Work   map[string]map[string]float64 `json:"work,omitempty"`
	Pinned map[string]map[string]float64 `json:"pinned,omitempty"`
	// Settled is set once the hub has received reports for long enough to know
	// which VMs are not alive.
	Settled bool `json:"settled,omitempty"`
	// Limits are the limits that backend servers name.
	Limits []serverlimit.Shared `json:"limits,omitempty"`
	// Suspects are the requests that may crash servers.
	Suspects []poison.Shared `json:"suspects,omitempty"`
}

// Versions are the positions up to which a VM has read the store's tables.
type Versions struct {
	Operator platform.Position `json:"operator"`
	Servers  platform.Position `json:"servers"`
	VMs      platform.Position `json:"vms"`
}

// Era returns the newest era of the store that is known to the VM.
func (v Versions) Era() uint64 { return max(v.Operator, v.Servers, v.VMs).Era() }

// Heartbeat is the message that each hub sends to all VMs several times a second.
type Heartbeat struct {
	Hub         string   `json:"hub"`
	Incarnation int64    `json:"born"`
	Seq         uint64   `json:"seq"`
	Versions    Versions `json:"versions"`
	// Healthy is set if the store answered the hub recently.
	Healthy bool `json:"sound,omitempty"`
	// Relayed is set in heartbeats of a group leader, which reads from a hub.
	Relayed bool `json:"relayed,omitempty"`
}

// Work is the demand of the callers of a VM, in busy slots by service.
type Work struct {
	// Unpinned work may be served in any region, Pinned work only in the region
	// that is its first key.
	Unpinned map[string]float64
	Pinned   map[string]map[string]float64
}
