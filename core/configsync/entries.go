package configsync

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"slices"
	"strings"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	peerv1 "github.com/cassiawind/cassiawind/peerapi/peer/v1"
)

// A version is a list of entries in the order of their names. Removed entries
// stay as tombstones, so that a peer with an older version learns of the
// removal. The number of tombstones is bounded: the oldest are dropped. The
// horizon is the version up to which tombstones were dropped. It is stored as
// the version of an entry with an empty name. A peer with a version below the
// horizon gets all entries.

// maxTombstones bounds the tombstones of a version. At the current rate of
// changes, 256 removals cover months. A peer that has missed more removals gets
// all entries.
const maxTombstones = 256

const horizonName = ""

// Errors of received content.
var (
	// ErrBadContent means that an object or update cannot be decoded.
	ErrBadContent = errors.New("invalid configuration content")
	// ErrDigest means that content does not match its digest.
	ErrDigest = errors.New("configuration digest does not match")
	// ErrBaseVersion means that an update was made for a different base version.
	ErrBaseVersion = errors.New("configuration update is for a different base version")
)

// hashedEntry is an entry with the SHA-256 of its content. The hash is kept so
// that a change hashes only the entries that it contains.
type hashedEntry struct {
	entry       *peerv1.ConfigEntry
	contentHash [sha256.Size]byte
}

func newHashedEntry(e *peerv1.ConfigEntry) hashedEntry {
	return hashedEntry{entry: e, contentHash: sha256.Sum256(e.GetContent())}
}

// content holds a version's entries in the order of their names.
type content []hashedEntry

func newContent(entries []*peerv1.ConfigEntry) content {
	c := make(content, 0, len(entries))
	for _, e := range entries {
		c = append(c, newHashedEntry(e))
	}
	c.sort()
	return c
}

func (c content) sort() {
	slices.SortFunc(c, func(a, b hashedEntry) int { return strings.Compare(a.entry.GetName(), b.entry.GetName()) })
}

func (c content) find(name string) (int, bool) {
	return slices.BinarySearchFunc(c, name, func(item hashedEntry, name string) int {
		return strings.Compare(item.entry.GetName(), name)
	})
}

// liveEntries returns the entries that are not removed.
func (c content) liveEntries() []*peerv1.ConfigEntry {
	var live []*peerv1.ConfigEntry
	for _, item := range c {
		if !item.entry.GetRemoved() {
			live = append(live, item.entry)
		}
	}
	return live
}

// allEntries returns all entries, including tombstones and the horizon.
func (c content) allEntries() []*peerv1.ConfigEntry {
	entries := make([]*peerv1.ConfigEntry, len(c))
	for i, item := range c {
		entries[i] = item.entry
	}
	return entries
}

// horizon returns the highest version of a dropped tombstone, or 0.
func (c content) horizon() uint64 {
	if i, ok := c.find(horizonName); ok {
		return c[i].entry.GetVersion()
	}
	return 0
}

// changedSince returns the entries that a peer with version have lacks. The first
// result is the version to which the entries have to be applied: have, or 0 if
// they are all entries.
func (c content) changedSince(have uint64) (from uint64, entries []*peerv1.ConfigEntry) {
	if have == 0 || have < c.horizon() {
		return 0, c.allEntries()
	}
	for _, item := range c {
		if item.entry.GetVersion() > have || item.entry.GetName() == horizonName {
			entries = append(entries, item.entry)
		}
	}
	return have, entries
}

// apply returns the content after the changes, without the tombstones up to the
// horizon.
func (c content) apply(changed []*peerv1.ConfigEntry) content {
	next := slices.Clone(c)
	for _, e := range changed {
		if i, ok := c.find(e.GetName()); ok {
			next[i] = newHashedEntry(e)
		} else {
			next = append(next, newHashedEntry(e))
		}
	}
	next.sort()
	return next.dropTombstonesUpTo(next.horizon())
}

func (c content) dropTombstonesUpTo(horizon uint64) content {
	return slices.DeleteFunc(c, func(item hashedEntry) bool {
		e := item.entry
		return e.GetRemoved() && e.GetName() != horizonName && e.GetVersion() <= horizon
	})
}

// withoutOldTombstones drops the oldest tombstones beyond maxTombstones and moves
// the horizon.
func (c content) withoutOldTombstones() content {
	var removalVersions []uint64
	for _, item := range c {
		if item.entry.GetRemoved() && item.entry.GetName() != horizonName {
			removalVersions = append(removalVersions, item.entry.GetVersion())
		}
	}
	if len(removalVersions) <= maxTombstones {
		return c
	}
	slices.Sort(removalVersions)
	horizon := removalVersions[len(removalVersions)-maxTombstones-1]
	return c.apply([]*peerv1.ConfigEntry{{Name: horizonName, Version: horizon, Removed: true}})
}

// Digest returns the SHA-256 of a version. It covers the version number and, for
// each entry in the order of names, its name, version, removal and the SHA-256 of
// its content.
func Digest(version uint64, entries []*peerv1.ConfigEntry) []byte {
	return newContent(entries).digest(version)
}

func (c content) digest(version uint64) []byte {
	h := sha256.New()
	var buffer []byte
	buffer = binary.BigEndian.AppendUint64(buffer, version)
	for _, item := range c {
		buffer = binary.BigEndian.AppendUint32(buffer, uint32(len(item.entry.GetName())))
		buffer = append(buffer, item.entry.GetName()...)
		buffer = binary.BigEndian.AppendUint64(buffer, item.entry.GetVersion())
		buffer = append(buffer, removedByte(item.entry.GetRemoved()))
		buffer = append(buffer, item.contentHash[:]...)
		h.Write(buffer)
		buffer = buffer[:0]
	}
	h.Write(buffer)
	return h.Sum(nil)
}

func removedByte(removed bool) byte {
	if removed {
		return 1
	}
	return 0
}

// encodeObject returns the object with all entries of a version, which is a
// ConfigUpdate from version 0.
func encodeObject(version uint64, c content) ([]byte, error) {
	return encodeUpdate(&peerv1.ConfigUpdate{Version: version, Digest: c.digest(version), Entries: c.allEntries()})
}

func encodeUpdate(u *peerv1.ConfigUpdate) ([]byte, error) {
	object, err := proto.MarshalOptions{Deterministic: true}.Marshal(u)
	if err != nil {
		return nil, errors.WithMessage(ErrBadContent, err.Error())
	}
	return object, nil
}

// decodeObject decodes an object and checks it against the digest in the row.
func decodeObject(object []byte, version uint64, digest []byte) (content, error) {
	var update peerv1.ConfigUpdate
	if err := proto.Unmarshal(object, &update); err != nil {
		return nil, errors.WithMessage(ErrBadContent, err.Error())
	}
	c := newContent(update.GetEntries())
	if update.GetVersion() != version || !bytes.Equal(c.digest(version), digest) {
		return nil, ErrDigest
	}
	return c, nil
}
