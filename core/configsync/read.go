package configsync

import (
	"encoding/hex"

	peerv1 "github.com/cassiawind/cassiawind/peerapi/peer/v1"
	"github.com/cassiawind/cassiawind/platform"
)

// ParseCurrent decodes the row CurrentKey. The error is ErrBadRow.
func ParseCurrent(row platform.Row) (Current, error) { return parseCurrent(row, true) }

// DecodeObject returns the entries of the version in effect from its object. The
// error is ErrBadRow, ErrBadContent or ErrDigest.
func DecodeObject(current Current, object []byte) ([]*peerv1.ConfigEntry, error) {
	digest, err := hex.DecodeString(current.Digest)
	if err != nil {
		return nil, ErrBadRow
	}
	c, err := decodeObject(object, current.Version, digest)
	if err != nil {
		return nil, err
	}
	return c.liveEntries(), nil
}
