package fleet

import (
	"slices"
	"strconv"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"github.com/cassiawind/cassiawind/core/lease"
	peerv1 "github.com/cassiawind/cassiawind/peerapi/peer/v1"
	"github.com/cassiawind/cassiawind/platform"
)

// Keys of the rows of this package.
const (
	// RowKey is the key of the fleet row, a protojson peerv1.Fleet.
	RowKey = "fleet/current"
	// TouchKey is the key of the row that members write at random intervals. A
	// takeover requires that it is unchanged.
	TouchKey = "fleet/touch"
	// LeaseKeyPrefix is the prefix of the keys of the lease rows.
	LeaseKeyPrefix = "fleet/lease/"
)

const (
	keySeparator       = "/"
	resetWriter        = "operator"
	decimalBase        = 10
	changeIDRandomBase = 36
)

// ErrInvalidRow means that the fleet row cannot be encoded or decoded.
var ErrInvalidRow = errors.New("invalid fleet row")

// LeaseKey returns the key of the lease row of a member.
func LeaseKey(id lease.ID) string {
	return LeaseKeyPrefix + id.VM + keySeparator + strconv.FormatUint(id.Incarnation, decimalBase)
}

// EncodeRow returns the content of the fleet row.
func EncodeRow(f *peerv1.Fleet) ([]byte, error) { return protojson.Marshal(f) }

// DecodeRow decodes the content of the fleet row. The error is ErrInvalidRow.
func DecodeRow(value []byte) (*peerv1.Fleet, error) {
	f := &peerv1.Fleet{}
	if err := (protojson.UnmarshalOptions{DiscardUnknown: true}).Unmarshal(value, f); err != nil {
		return nil, errors.Wrap(ErrInvalidRow, err.Error())
	}
	return f, nil
}

// PlanReset returns the write with which the operator replaces the fleet row
// regardless of its members. The new row has the next epoch and no members. The
// write is conditional on the row that was read; row is the zero Row if there is
// none. VMs of the old row may hold their leases until they see the new row, at
// most for lease.TableContactTimeout, so the operator has to make sure that they
// no longer run.
func PlanReset(row platform.Row, changeID string) (platform.Write, *peerv1.Fleet, error) {
	old := &peerv1.Fleet{}
	if row.Version != 0 {
		var err error
		if old, err = DecodeRow(row.Value); err != nil {
			return platform.Write{}, nil, err
		}
	}
	next := &peerv1.Fleet{Epoch: old.GetEpoch() + 1, ChangeId: changeID, WriterVm: resetWriter}
	write, err := rowWrite(next, row.Version)
	return write, next, err
}

func rowWrite(f *peerv1.Fleet, ifVersion uint64) (platform.Write, error) {
	value, err := EncodeRow(f)
	if err != nil {
		return platform.Write{}, errors.Wrap(ErrInvalidRow, err.Error())
	}
	return platform.Write{Key: RowKey, Value: value, IfVersion: platform.IfVersion(ifVersion)}, nil
}

// withJoined returns the next epoch with the member added.
func withJoined(f *peerv1.Fleet, m *peerv1.Member) *peerv1.Fleet {
	members := append(slices.Clone(f.GetMembers()), m)
	slices.SortFunc(members, compareMembers)
	return &peerv1.Fleet{Epoch: f.GetEpoch() + 1, Members: members, Joined: m}
}

// withRemoved returns the next epoch with the member removed.
func withRemoved(f *peerv1.Fleet, id lease.ID) *peerv1.Fleet {
	next := &peerv1.Fleet{Epoch: f.GetEpoch() + 1}
	for _, m := range f.GetMembers() {
		if lease.IDOf(m) == id {
			next.Removed = proto.CloneOf(m)
			continue
		}
		next.Members = append(next.Members, m)
	}
	return next
}

func compareMembers(a, b *peerv1.Member) int {
	switch x, y := lease.IDOf(a), lease.IDOf(b); {
	case x.Less(y):
		return -1
	case y.Less(x):
		return 1
	}
	return 0
}

// findMember returns the member with the ID, or nil.
func findMember(f *peerv1.Fleet, id lease.ID) *peerv1.Member {
	for _, m := range f.GetMembers() {
		if lease.IDOf(m) == id {
			return m
		}
	}
	return nil
}

// findVM returns the member on the VM, or nil.
func findVM(f *peerv1.Fleet, vm string) *peerv1.Member {
	for _, m := range f.GetMembers() {
		if m.GetVm() == vm {
			return m
		}
	}
	return nil
}
