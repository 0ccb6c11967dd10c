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
	// requestTimeout is the time after which the configuration is requested from
	// a peer again. It covers a round trip of 110 ms and the transfer of a large
	// difference.
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
	lastOp uint64
	// pendingOp is the ID of the pending read, or 0.
	pendingOp uint64
	// nextReadAt is the time of the next read. fleetSize is the number of members
	// for which it was drawn.
	nextReadAt time.Time
	fleetSize  int
	// fetchedRow is the row whose object is being fetched, if its version is not
	// 0. fetchedObject is the name of that object.
	fetchedRow    Current
	fetchedObject string
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
func (s *Replica) Version() uint64 { return s.version }

// Digest returns the digest of the installed version.
func (s *Replica) Digest() []byte { return s.digest }

// Entries returns the entries of the installed version in the order of their
// names, without removed ones. The caller must not change them.
func (s *Replica) Entries() []*peerv1.ConfigEntry { return s.content.liveEntries() }

// Tick returns the read of the row when it is due. Each VM reads every members/2
// seconds, plus or minus 10%, with a random phase, so that the whole fleet makes
// about two reads per second. With independent, exponentially distributed
// intervals, 11 VMs would make no read within 4.3 s, which delays a change beyond
// 5 s, once in 5,400 changes. With these intervals it is calculated to be once in
// 20 million.
func (s *Replica) Tick(now time.Time, members int) []tableop.Op {
	r := &s.rowRead
	if members != r.fleetSize {
		first := r.nextReadAt.IsZero()
		r.fleetSize = members
		r.nextReadAt = now
		if !first {
			r.nextReadAt = now.Add(s.randomInterval(0, 1))
		}
	}
	if r.pendingOp != 0 || now.Before(r.nextReadAt) {
		return nil
	}
	r.nextReadAt = now.Add(s.randomInterval(1-readJitter, 1+readJitter))
	r.lastOp++
	r.pendingOp = r.lastOp
	return []tableop.Op{{ID: r.pendingOp, Reads: []string{CurrentKey}}}
}

// randomInterval draws a time between two fractions of the time between reads.
func (s *Replica) randomInterval(low, high float64) time.Duration {
	interval := float64(max(s.rowRead.fleetSize, 1)) / fleetReadsPerSecond * float64(time.Second)
	if s.version == 0 {
		interval = float64(initialReadInterval)
	}
	return time.Duration((low + s.rnd.Float64()*(high-low)) * interval)
}

// TableResult handles the result of a read of the row. If the row names a higher
// version, the caller fetches the named object and passes it to ObjectResult.
func (s *Replica) TableResult(_ time.Time, result tableop.Result) (objectName string, fetch bool) {
	r := &s.rowRead
	if result.ID != r.pendingOp || r.pendingOp == 0 {
		return "", false
	}
	r.pendingOp = 0
	row, found := result.Row(CurrentKey)
	if result.Err != nil || !found {
		return "", false
	}
	current, err := parseCurrent(row, found)
	// A read may return an earlier state of the row.
	if err != nil || current.Version <= s.version || current.Version <= r.fetchedRow.Version {
		return "", false
	}
	r.fetchedRow, r.fetchedObject = current, current.Object
	if current.Delta != "" && current.Version == s.version+1 && !r.skipDelta {
		r.fetchedObject = current.Delta
	}
	return r.fetchedObject, true
}

// ObjectResult handles the fetched object and reports whether it was installed.
// After an error or a wrong digest, all entries are fetched after a later read.
func (s *Replica) ObjectResult(_ time.Time, name string, object []byte, err error) (changed bool) {
	r := &s.rowRead
	if name != r.fetchedObject || r.fetchedRow.Version == 0 {
		return false
	}
	current := r.fetchedRow
	r.fetchedRow = Current{}
	if current.Version <= s.version {
		return false
	}
	r.skipDelta = true
	if err != nil {
		return false
	}
	c, digest, err := s.decode(current, object)
	if err != nil {
		return false
	}
	r.skipDelta = false
	return s.install(current.Version, digest, c)
}

// decode returns the content after an object is applied, and its digest. It fails
// if the object does not match the row or the installed version.
func (s *Replica) decode(current Current, object []byte) (content, []byte, error) {
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
	c, err := s.contentAfter(&u)
	return c, digest, err
}

// install installs a verified version unless it is not higher than the installed
// one.
func (s *Replica) install(version uint64, digest []byte, c content) bool {
	if version <= s.version {
		return false
	}
	if s.version == 0 {
		// The time of the next read was drawn for a VM without a version.
		s.rowRead.fleetSize = 0
	}
	s.version, s.digest, s.content = version, digest, c
	s.requestAll = false
	return true
}

// PeerVersion handles the version that a peer has in effect. If it is higher, it
// requests the difference from the peer. Only one request is outstanding at a
// time.
func (s *Replica) PeerVersion(now time.Time, fromVM string, version uint64) []outbox.Send {
	if version <= s.version || now.Before(s.request.retryAt) {
		return nil
	}
	return s.requestFrom(now, fromVM)
}

func (s *Replica) requestFrom(now time.Time, peer string) []outbox.Send {
	s.request = peerRequest{peer: peer, retryAt: now.Add(requestTimeout)}
	request := &peerv1.ConfigRequest{HaveVersion: s.version}
	if s.requestAll {
		request.HaveVersion = 0
	}
	return []outbox.Send{{To: peer, Message: &peerv1.Message{
		Kind: &peerv1.Message_ConfigRequest{ConfigRequest: request},
	}}}
}

// Receive handles a ConfigRequest or ConfigUpdate and reports whether a version
// was installed. Other messages are ignored.
func (s *Replica) Receive(now time.Time, from *peerv1.Member, msg *peerv1.Message) (sends []outbox.Send, changed bool) {
	switch kind := msg.GetKind().(type) {
	case *peerv1.Message_ConfigRequest:
		return s.handleRequest(from.GetVm(), kind.ConfigRequest), false
	case *peerv1.Message_ConfigUpdate:
		return s.handleUpdate(now, from.GetVm(), kind.ConfigUpdate)
	}
	return nil, false
}

// handleRequest sends the entries that the peer lacks, if any.
func (s *Replica) handleRequest(peer string, request *peerv1.ConfigRequest) []outbox.Send {
	if request.GetHaveVersion() >= s.version {
		return nil
	}
	from, entries := s.content.changedSince(request.GetHaveVersion())
	update := &peerv1.ConfigUpdate{FromVersion: from, Version: s.version, Digest: s.digest, Entries: entries}
	return []outbox.Send{{To: peer, Message: &peerv1.Message{
		Kind: &peerv1.Message_ConfigUpdate{ConfigUpdate: update},
	}}}
}

// handleUpdate installs an update that applies to the installed version and has
// the right digest. Otherwise it requests all entries. If these do not match
// either, the next heartbeat leads to another request.
func (s *Replica) handleUpdate(now time.Time, peer string, u *peerv1.ConfigUpdate) ([]outbox.Send, bool) {
	if peer == s.request.peer {
		s.request = peerRequest{}
	}
	if u.GetVersion() <= s.version {
		return nil, false
	}
	c, err := s.contentAfter(u)
	if err == nil {
		return nil, s.install(u.GetVersion(), u.GetDigest(), c)
	}
	if u.GetFromVersion() == 0 {
		return nil, false
	}
	s.requestAll = true
	return s.requestFrom(now, peer), false
}

// contentAfter returns the content after an update.
func (s *Replica) contentAfter(u *peerv1.ConfigUpdate) (content, error) {
	var c content
	switch u.GetFromVersion() {
	case 0:
		c = newContent(u.GetEntries())
	case s.version:
		c = s.content.apply(u.GetEntries())
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
