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
	// readJitter keeps VMs that started together from reading together.
	readJitter = 0.1
	// firstReadDelay is the time between the reads of a VM that has no
	// configuration yet.
	firstReadDelay = time.Second
	// requestTimeout is the time after which a peer is asked again. It covers
	// a round trip of 110 ms and the transfer of a large difference.
	requestTimeout = time.Second
)

// Store holds the configuration version of one VM and decides what to fetch. It
// has no settings.
type Replica struct {
	rnd     *rand.Rand
	version uint64
	digest  []byte
	content content
	reading reading
	asking  asking
	full    bool
}

// reading is the state of the reads of the row and of its object.
type reading struct {
	nextOp uint64
	// op is the pending read, or 0.
	op uint64
	// at is the time of the next read; members is the fleet size for which it
	// was drawn.
	at      time.Time
	members int
	// fetching is the row of which the object with the given name is being
	// fetched, if its version is not 0.
	fetching Current
	object   string
	// noDelta tells that the last object could not be used, so that all
	// entries are fetched next.
	noDelta bool
}

// asking is the state of the request to a peer.
type asking struct {
	peer  string
	until time.Time
}

// New returns a store without a configuration (version 0).
func New(rnd *rand.Rand) *Replica { return &Replica{rnd: rnd} }

// Version returns the version installed, or 0.
func (s *Replica) Version() uint64 { return s.version }

// Digest returns the digest of the version installed.
func (s *Replica) Digest() []byte { return s.digest }

// Entries returns the entries of the version installed in the order of their
// names, without removed ones. Callers do not change them.
func (s *Replica) Entries() []*peerv1.ConfigEntry { return s.content.live() }

// Tick returns the read of the row when it is due. A VM reads every members/2
// seconds, give or take 10%, with a random phase, so that the whole fleet makes
// about two reads per second. With independent exponential times, 11 VMs would
// make no read within 4.3 s, which delays a change beyond 5 s, once in 5,400
// changes; with these it is calculated to be once in 20 million.
func (s *Replica) Tick(now time.Time, members int) []tableop.Op {
	r := &s.reading
	if members != r.members {
		first := r.at.IsZero()
		r.members = members
		r.at = now
		if !first {
			r.at = now.Add(s.fraction(0, 1))
		}
	}
	if r.op != 0 || now.Before(r.at) {
		return nil
	}
	r.at = now.Add(s.fraction(1-readJitter, 1+readJitter))
	r.nextOp++
	r.op = r.nextOp
	return []tableop.Op{{ID: r.op, Reads: []string{CurrentKey}}}
}

// fraction draws a time between two fractions of the time between reads.
func (s *Replica) fraction(low, high float64) time.Duration {
	period := float64(max(s.reading.members, 1)) / fleetReadsPerSecond * float64(time.Second)
	if s.version == 0 {
		period = float64(firstReadDelay)
	}
	return time.Duration((low + s.rnd.Float64()*(high-low)) * period)
}

// TableResult takes the row read. If it names a higher version, the object is to
// be fetched and passed to ObjectResult.
func (s *Replica) TableResult(_ time.Time, result tableop.Result) (objectName string, fetch bool) {
	r := &s.reading
	if result.ID != r.op || r.op == 0 {
		return "", false
	}
	r.op = 0
	row, found := result.Row(CurrentKey)
	if result.Err != nil || !found {
		return "", false
	}
	current, err := parseCurrent(row, found)
	// A reader may serve an earlier state of the row.
	if err != nil || current.Version <= s.version || current.Version <= r.fetching.Version {
		return "", false
	}
	r.fetching, r.object = current, current.Object
	if current.Delta != "" && current.Version == s.version+1 && !r.noDelta {
		r.object = current.Delta
	}
	return r.object, true
}

// ObjectResult takes the object fetched and says whether it was installed. After
// an error or a wrong digest all entries are fetched after a later read.
func (s *Replica) ObjectResult(_ time.Time, name string, object []byte, err error) (changed bool) {
	r := &s.reading
	if name != r.object || r.fetching.Version == 0 {
		return false
	}
	current := r.fetching
	r.fetching = Current{}
	if current.Version <= s.version {
		return false
	}
	r.noDelta = true
	if err != nil {
		return false
	}
	c, digest, err := s.decode(current, object)
	if err != nil {
		return false
	}
	r.noDelta = false
	return s.install(current.Version, digest, c)
}

// decode returns the content of an object if it fits the row and the version
// installed.
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
	c, err := s.rebuild(&u)
	return c, digest, err
}

// install takes a verified version unless it is not higher than the present one.
func (s *Replica) install(version uint64, digest []byte, c content) bool {
	if version <= s.version {
		return false
	}
	if s.version == 0 {
		// The time of the next read was drawn for a VM without a version.
		s.reading.members = 0
	}
	s.version, s.digest, s.content = version, digest, c
	s.full = false
	return true
}

// PeerVersion takes the version that a peer has in effect. If it is higher, the
// difference is requested from the peer, one request at a time.
func (s *Replica) PeerVersion(now time.Time, fromVM string, version uint64) []outbox.Send {
	if version <= s.version || now.Before(s.asking.until) {
		return nil
	}
	return s.ask(now, fromVM)
}

func (s *Replica) ask(now time.Time, peer string) []outbox.Send {
	s.asking = asking{peer: peer, until: now.Add(requestTimeout)}
	request := &peerv1.ConfigRequest{HaveVersion: s.version}
	if s.full {
		request.HaveVersion = 0
	}
	return []outbox.Send{{To: peer, Message: &peerv1.Message{
		Kind: &peerv1.Message_ConfigRequest{ConfigRequest: request},
	}}}
}

// Receive takes a ConfigRequest or ConfigUpdate and says whether a version was
// installed. Other messages are left out.
func (s *Replica) Receive(now time.Time, from *peerv1.Member, msg *peerv1.Message) (sends []outbox.Send, changed bool) {
	switch kind := msg.GetKind().(type) {
	case *peerv1.Message_ConfigRequest:
		return s.answer(from.GetVm(), kind.ConfigRequest), false
	case *peerv1.Message_ConfigUpdate:
		return s.update(now, from.GetVm(), kind.ConfigUpdate)
	}
	return nil, false
}

// answer sends the entries that the peer lacks, if any.
func (s *Replica) answer(peer string, request *peerv1.ConfigRequest) []outbox.Send {
	if request.GetHaveVersion() >= s.version {
		return nil
	}
	from, entries := s.content.since(request.GetHaveVersion())
	update := &peerv1.ConfigUpdate{FromVersion: from, Version: s.version, Digest: s.digest, Entries: entries}
	return []outbox.Send{{To: peer, Message: &peerv1.Message{
		Kind: &peerv1.Message_ConfigUpdate{ConfigUpdate: update},
	}}}
}

// update installs an update that fits and has the right digest. For one that
// does not, all entries are requested; if they do not match either, the next
// heartbeat leads to another request.
func (s *Replica) update(now time.Time, peer string, u *peerv1.ConfigUpdate) ([]outbox.Send, bool) {
	if peer == s.asking.peer {
		s.asking = asking{}
	}
	if u.GetVersion() <= s.version {
		return nil, false
	}
	c, err := s.rebuild(u)
	if err == nil {
		return nil, s.install(u.GetVersion(), u.GetDigest(), c)
	}
	if u.GetFromVersion() == 0 {
		return nil, false
	}
	s.full = true
	return s.ask(now, peer), false
}

// rebuild returns the content after an update.
func (s *Replica) rebuild(u *peerv1.ConfigUpdate) (content, error) {
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

// Row returns the read of the row config/current in a result, for status output.
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
