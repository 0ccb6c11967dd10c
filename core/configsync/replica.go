package configsync

import (
	"bytes"
	"encoding/hex"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/cassiawind/cassiawind/core/outbox"
	"github.com/cassiawind/cassiawind/core/tableop"
	peerv1 "github.com/cassiawind/cassiawind/peerapi/peer/v1"
	"github.com/cassiawind/cassiawind/platform"
)

const (
	// fleetReadsPerSecond is the rate at which the whole fleet reads the row.
	fleetReadsPerSecond = 2
	// readJitter is the random part of the time between reads. It keeps VMs that
	// started together from reading at the same time.
	readJitter = 0.1
	// initialReadInterval is the mean time between reads of a VM that has no
	// configuration yet.
	initialReadInterval = time.Second
	// requestTimeout is the time after which the configuration is requested from a
	// peer again. It covers a round trip of 110 ms and the transfer of a large
	// delta.
	requestTimeout = time.Second
)

// Replica holds the configuration version of one VM and decides what to fetch. It
// has no settings.
type Replica struct {
	rnd        *rand.Rand
	version    uint64
	digest     []byte
	content    content
	rowRead    rowRead
	request    peerRequest
	requestAll bool
}

// rowRead is the state of the reads of the row and of its object.
type rowRead struct {
	lastOpID uint64
	// pendingOpID is the ID of the pending read, or 0.
	pendingOpID uint64
	// nextReadAt is the time of the next read. fleetSize is the number of members
	// for which it was drawn.
	nextReadAt time.Time
	fleetSize  int
	// pendingRow is the row whose object is being fetched, if its version is not
	// 0. pendingObject is the name of that object.
	pendingRow    Current
	pendingObject string
	// skipDelta is set if the last object could not be used, so that all entries
	// are fetched next.
	skipDelta bool
}

// peerRequest is the state of the request to a peer.
type peerRequest struct {
	peer    string
	retryAt time.Time
}

// New returns a replica without a configuration (version 0).
func New(rnd *rand.Rand) *Replica { return &Replica{rnd: rnd} }

// Version returns the installed version, or 0.
func (r *Replica) Version() uint64 { return r.version }

// Digest returns the digest of the installed version.
func (r *Replica) Digest() []byte { return r.digest }

// Entries returns the entries of the installed version in the order of their
// names, without removed ones. The caller must not change them.
func (r *Replica) Entries() []*peerv1.ConfigEntry { return r.content.liveEntries() }

// Tick returns the read of the row when it is due. Each VM reads every members/2
// seconds, plus or minus 10%, with a random phase, so that the whole fleet makes
// about two reads per second. If 11 VMs make no read within 4.3 s, a change is
// delayed beyond 5 s. This is calculated to happen once in 20 million changes;
// with independent, exponentially distributed intervals, it would happen once in
// 5,400.
func (r *Replica) Tick(now time.Time, members int) []tableop.Op {
	reads := &r.rowRead
	if members != reads.fleetSize {
		first := reads.nextReadAt.IsZero()
		reads.fleetSize = members
		reads.nextReadAt = now
		if !first {
			reads.nextReadAt = now.Add(r.randomInterval(0, 1))
		}
	}
	if reads.pendingOpID != 0 || now.Before(reads.nextReadAt) {
		return nil
	}
	reads.nextReadAt = now.Add(r.randomInterval(1-readJitter, 1+readJitter))
	reads.lastOpID++
	reads.pendingOpID = reads.lastOpID
	return []tableop.Op{{ID: reads.pendingOpID, Reads: []string{CurrentKey}}}
}

// randomInterval draws a time between two fractions of the time between reads.
func (r *Replica) randomInterval(low, high float64) time.Duration {
	interval := float64(max(r.rowRead.fleetSize, 1)) / fleetReadsPerSecond * float64(time.Second)
	if r.version == 0 {
		interval = float64(initialReadInterval)
	}
	return time.Duration((low + r.rnd.Float64()*(high-low)) * interval)
}

// TableResult handles the result of a read of the row. If the row names a higher
// version, the caller fetches the named object and passes it to ObjectResult.
func (r *Replica) TableResult(_ time.Time, result tableop.Result) (objectName string, fetch bool) {
	reads := &r.rowRead
	if result.ID != reads.pendingOpID || reads.pendingOpID == 0 {
		return "", false
	}
	reads.pendingOpID = 0
	row, found := result.Row(CurrentKey)
	if result.Err != nil || !found {
		return "", false
	}
	current, err := parseCurrent(row, found)
	// A read may return an earlier state of the row.
	if err != nil || current.Version <= r.version || current.Version <= reads.pendingRow.Version {
		return "", false
	}
	reads.pendingRow, reads.pendingObject = current, current.Object
	if current.Delta != "" && current.Version == r.version+1 && !reads.skipDelta {
		reads.pendingObject = current.Delta
	}
	return reads.pendingObject, true
}

// ObjectResult handles the fetched object and reports whether it was installed.
// After an error or a wrong digest, all entries are fetched after a later read.
func (r *Replica) ObjectResult(_ time.Time, name string, object []byte, err error) (changed bool) {
	reads := &r.rowRead
	if name != reads.pendingObject || reads.pendingRow.Version == 0 {
		return false
	}
	current := reads.pendingRow
	reads.pendingRow = Current{}
	if current.Version <= r.version {
		return false
	}
	reads.skipDelta = true
	if err != nil {
		return false
	}
	c, digest, err := r.decode(current, object)
	if err != nil {
		return false
	}
	reads.skipDelta = false
	return r.install(current.Version, digest, c)
}

// decode returns the content after an object is applied, and its digest. It fails
// if the object does not match the row or the installed version.
func (r *Replica) decode(current Current, object []byte) (content, []byte, error) {
	digest, err := hex.DecodeString(current.Digest)
	if err != nil {
		return nil, nil, ErrBadRow
	}
	var u peerv1.ConfigUpdate
	if err := proto.Unmarshal(object, &u); err != nil {
		return nil, nil, errors.WithMessage(ErrBadContent, err.Error())
	}
	if u.GetVersion() != current.Version || !bytes.Equal(u.GetDigest(), digest) {
		return nil, nil, ErrDigest
	}
	c, err := r.contentAfter(&u)
	return c, digest, err
}

// install installs a verified version if it is higher than the installed one.
func (r *Replica) install(version uint64, digest []byte, c content) bool {
	if version <= r.version {
		return false
	}
	if r.version == 0 {
		// The time of the next read was drawn for a VM without a version.
		r.rowRead.fleetSize = 0
	}
	r.version, r.digest, r.content = version, digest, c
	r.requestAll = false
	return true
}

// PeerVersion handles the version that a peer has installed. If that version is
// higher, it requests the delta from the peer. Only one request is outstanding
// at a time.
func (r *Replica) PeerVersion(now time.Time, fromVM string, version uint64) []outbox.Send {
	if version <= r.version || now.Before(r.request.retryAt) {
		return nil
	}
	return r.requestFrom(now, fromVM)
}

func (r *Replica) requestFrom(now time.Time, peer string) []outbox.Send {
	r.request = peerRequest{peer: peer, retryAt: now.Add(requestTimeout)}
	request := &peerv1.ConfigRequest{HaveVersion: r.version}
	if r.requestAll {
		request.HaveVersion = 0
	}
	return []outbox.Send{{To: peer, Message: &peerv1.Message{
		Kind: &peerv1.Message_ConfigRequest{ConfigRequest: request},
	}}}
}

// Receive handles a ConfigRequest or ConfigUpdate and reports whether a version
// was installed. Other messages are ignored.
func (r *Replica) Receive(now time.Time, from *peerv1.Member, msg *peerv1.Message) (sends []outbox.Send, changed bool) {
	switch kind := msg.GetKind().(type) {
	case *peerv1.Message_ConfigRequest:
		return r.handleRequest(from.GetVm(), kind.ConfigRequest), false
	case *peerv1.Message_ConfigUpdate:
		return r.handleUpdate(now, from.GetVm(), kind.ConfigUpdate)
	}
	return nil, false
}

// handleRequest sends the entries that the peer lacks, if any.
func (r *Replica) handleRequest(peer string, request *peerv1.ConfigRequest) []outbox.Send {
	if request.GetHaveVersion() >= r.version {
		return nil
	}
	from, entries := r.content.changedSince(request.GetHaveVersion())
	update := &peerv1.ConfigUpdate{FromVersion: from, Version: r.version, Digest: r.digest, Entries: entries}
	return []outbox.Send{{To: peer, Message: &peerv1.Message{
		Kind: &peerv1.Message_ConfigUpdate{ConfigUpdate: update},
	}}}
}

// handleUpdate installs an update that applies to the installed version and has
// the right digest. Otherwise it requests all entries. If these do not match
// either, the next heartbeat leads to another request.
func (r *Replica) handleUpdate(now time.Time, peer string, u *peerv1.ConfigUpdate) ([]outbox.Send, bool) {
	if peer == r.request.peer {
		r.request = peerRequest{}
	}
	if u.GetVersion() <= r.version {
		return nil, false
	}
	c, err := r.contentAfter(u)
	if err == nil {
		return nil, r.install(u.GetVersion(), u.GetDigest(), c)
	}
	if u.GetFromVersion() == 0 {
		return nil, false
	}
	r.requestAll = true
	return r.requestFrom(now, peer), false
}

// contentAfter returns the content after an update.
func (r *Replica) contentAfter(u *peerv1.ConfigUpdate) (content, error) {
	var c content
	switch u.GetFromVersion() {
	case 0:
		c = newContent(u.GetEntries())
	case r.version:
		c = r.content.apply(u.GetEntries())
	default:
		return nil, ErrBaseVersion
	}
	if !bytes.Equal(c.digest(u.GetVersion()), u.GetDigest()) {
		return nil, ErrDigest
	}
	return c, nil
}

// CurrentFromResult returns the content of the row config/current in the result
// of a read, for status output.
func CurrentFromResult(result tableop.Result) (Current, error) {
	if result.Err != nil {
		return Current{}, result.Err
	}
	row, found := result.Row(CurrentKey)
	if !found {
		return Current{}, platform.ErrNotFound
	}
	return parseCurrent(row, found)
}
