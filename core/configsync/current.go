package configsync

import (
	"encoding/hex"
	"encoding/json"
	"fmt"
	"slices"

	"github.com/pkg/errors"

	"github.com/cassiawind/cassiawind/platform"
)

// CurrentKey is the key of the table row that names the version in effect.
const CurrentKey = "config/current"

const (
	objectPrefix = "config/"
	// maxChangeIDs bounds Current.ChangeIDs. A publisher whose answer was lost
	// finds its change among them, unless more versions than this were published
	// before it read the row again.
	maxChangeIDs = 16
)

// Current is the content of the row config/current.
type Current struct {
	Version uint64 `json:"version"`
	// Digest is the SHA-256 of the version in hexadecimal form, see Digest.
	Digest string `json:"digest"`
	// Object is the name of the object with all entries.
	Object string `json:"object"`
	// Delta is the name of the object with the entries changed since the
	// preceding version, or empty.
	Delta string `json:"delta,omitempty"`
	// ChangeIDs are the changes that wrote the latest versions, newest first, at
	// most 16.
	ChangeIDs []string `json:"change_ids"`
}

// ErrBadRow means that the row config/current has no valid content.
var ErrBadRow = errors.New("invalid content of the row config/current")

// parseCurrent decodes the row. A missing row is version 0.
func parseCurrent(row platform.Row, found bool) (Current, error) {
	if !found {
		return Current{}, nil
	}
	var c Current
	if err := json.Unmarshal(row.Value, &c); err != nil {
		return Current{}, errors.WithMessage(ErrBadRow, err.Error())
	}
	if _, err := hex.DecodeString(c.Digest); err != nil || c.Version == 0 || c.Object == "" {
		return Current{}, ErrBadRow
	}
	return c, nil
}

// next returns the content of the row for the next version.
func (c Current) next(digest []byte, changeID string) Current {
	ids := append([]string{changeID}, c.ChangeIDs...)
	return Current{
		Version:   c.Version + 1,
		Digest:    hex.EncodeToString(digest),
		Object:    fmt.Sprintf(objectFormat, digest),
		ChangeIDs: ids[:min(len(ids), maxChangeIDs)],
	}
}

// contains reports whether a change is among the latest versions.
func (c Current) contains(changeID string) bool { return slices.Contains(c.ChangeIDs, changeID) }

const (
	objectFormat = objectPrefix + "%x"
	deltaFormat  = objectPrefix + "%x-since-%d"
)
