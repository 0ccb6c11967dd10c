package gateway

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"github.com/cassiawind/cassiawind/core/catalog"
	"github.com/cassiawind/cassiawind/core/steering"
	"github.com/cassiawind/cassiawind/platform"
	"github.com/cassiawind/cassiawind/platform/adapter"
)

// vmRegistration is the row of a VM in the store.
type vmRegistration struct {
	FailureDomain string `json:"failure_domain"`
	Region        string `json:"region"`
	FrontAddress  string `json:"front"`
	PeerAddress   string `json:"exchange"`
	Incarnation   int64  `json:"born"`
	Leaving       bool   `json:"leaving,omitempty"`
	// Weight is higher for VMs that can carry more load.
	Weight float64 `json:"weight"`
}

// maxVMWeight is the weight of a VM with a million cores and a link of 1 Gbit/s.
const maxVMWeight = 1e9

// ErrVMRegistration means that the registration of a VM cannot be decoded.
var ErrVMRegistration = errors.New("invalid VM registration")

// DecodeVM decodes the registration of a VM.
func DecodeVM(name string, raw []byte) (*steering.VM, error) {
	var registration vmRegistration
	if err := json.Unmarshal(raw, &registration); err != nil {
		return nil, errors.Wrap(ErrVMRegistration, err.Error())
	}
	if registration.Weight < 0 || registration.Weight > maxVMWeight {
		return nil, errors.Wrap(ErrVMRegistration, "weight is out of range")
	}
	return &steering.VM{
		Name: name, FailureDomain: registration.FailureDomain, Region: registration.Region, FrontAddress: registration.FrontAddress,
		PeerAddress: registration.PeerAddress, Incarnation: registration.Incarnation, Leaving: registration.Leaving, Weight: registration.Weight,
	}, nil
}

// registerVM writes this VM's registration and retries until the store has it.
func (n *Node) registerVM(ctx context.Context) {
	if !n.registering.CompareAndSwap(false, true) {
		return
	}
	defer n.registering.Store(false)
	backoff := initialBackoff
	for ctx.Err() == nil && !n.stopping.Load() {
		if err := n.writeRegistration(ctx, false); err == nil {
			n.log.Info("VM registered", "vm", n.settings.VM)
			return
		} else {
			n.log.Info("VM not registered", "vm", n.settings.VM, "error", err.Error())
		}
		n.sleep(ctx, jitter(backoff))
		backoff = min(2*backoff, maxBackoff)
	}
}

// registerAgain writes a registration that the store lost. The VMs of a fleet whose
// registrations were all lost spread their writes.
func (n *Node) registerAgain(ctx context.Context, vms int) {
	n.sleep(ctx, time.Duration(rand.Int64N(int64(catalog.RegistrationSpread(max(1, vms))))))
	n.registerVM(ctx)
}

func (n *Node) writeRegistration(ctx context.Context, leaving bool) error {
	encoded, err := json.Marshal(vmRegistration{
		FailureDomain: n.settings.FailureDomain, Region: n.settings.Region, FrontAddress: n.settings.FrontAddress,
		PeerAddress: n.peerAddress(), Incarnation: n.incarnation, Leaving: leaving,
		Weight: n.settings.LinkMbps * n.settings.Cores,
	})
	if err != nil {
		return errors.WithStack(err)
	}
	ctx, cancel := context.WithTimeout(ctx, storeWriteTimeout)
	defer cancel()
	return n.store.Put(ctx, adapter.TableVMs, n.settings.VM, encoded)
}

// removeRegistration deletes the registration of a VM that no longer reports,
// unless it was written again after version.
func (n *Node) removeRegistration(ctx context.Context, name string, version platform.Position) {
	ctx, cancel := context.WithTimeout(ctx, storeWriteTimeout)
	defer cancel()
	err := n.store.DeleteIfVersion(ctx, adapter.TableVMs, name, version)
	if err != nil && !errors.Is(err, platform.ErrConflict) {
		n.log.Info("could not delete registration of a silent VM", "vm", name, "error", err.Error())
		return
	}
	n.mu.Lock()
	n.peers.RegistrationRemoved(n.now(), name)
	n.mu.Unlock()
	n.log.Info("deleted registration of a silent VM", "vm", name, "version", version.Version())
}
