package once

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/cassiawind/cassiawind/platform"
)

// Retention is the time for which a record is kept after its dispatch deadline.
const Retention = 24 * time.Hour

const (
	keyFormat    = "once/%s/%x"
	objectFormat = "%s/%s"
)

// RowKey returns the key of the row of an Idempotency-Key. The Idempotency-Key is
// hashed because callers choose it.
func RowKey(account, idempotencyKey string) string {
	return fmt.Sprintf(keyFormat, account, sha256.Sum256([]byte(idempotencyKey)))
}

// Fingerprint returns the fingerprint of a request, which detects the reuse of an
// Idempotency-Key for a different request.
func Fingerprint(method, target string, bodySHA256 []byte) string {
	h := sha256.New()
	var length []byte
	for _, part := range [][]byte{[]byte(method), []byte(target), bodySHA256} {
		length = binary.BigEndian.AppendUint64(length[:0], uint64(len(part)))
		h.Write(length)
		h.Write(part)
	}
	return hex.EncodeToString(h.Sum(nil))
}

// State is the state of a record.
type State string

// States of a record.
const (
	StateClaimed  State = "claimed"
	StateDone     State = "done"
	StateReleased State = "released"
)

// Record is the content of a row.
type Record struct {
	State State `json:"state"`
	// RequestID identifies the request that made the claim.
	RequestID   string `json:"attempt"`
	VM          string `json:"vm"`
	Incarnation uint64 `json:"incarnation"`
	// DispatchDeadlineUnixMS is the time after which the request is not
	// dispatched.
	DispatchDeadlineUnixMS int64  `json:"dispatch_deadline_unix_ms"`
	Fingerprint            string `json:"fingerprint"`
	// Status, Header and Body are the stored outcome. A large body is stored in
	// the object instead of the row.
	Status int                 `json:"status,omitempty"`
	Header map[string][]string `json:"header,omitempty"`
	Body   []byte              `json:"body,omitempty"`
	Object string              `json:"object,omitempty"`
}

// ErrBadRecord means that a row contains no valid record.
var ErrBadRecord = errors.New("invalid at-most-once record")

// ParseRecord decodes the content of a row.
func ParseRecord(value []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(value, &r); err != nil {
		return Record{}, errors.WithMessage(ErrBadRecord, err.Error())
	}
	switch r.State {
	case StateClaimed, StateDone, StateReleased:
		return r, nil
	}
	return Record{}, ErrBadRecord
}

// Expired reports whether the record may be deleted.
func (r Record) Expired(now time.Time) bool {
	return now.After(time.UnixMilli(r.DispatchDeadlineUnixMS).Add(Retention))
}

// write returns the write of the record, conditional on the row version.
func (r Record) write(key string, version uint64) (platform.Write, error) {
	value, err := json.Marshal(r)
	if err != nil {
		return platform.Write{}, errors.WithMessage(ErrBadRecord, err.Error())
	}
	return platform.Write{Key: key, Value: value, IfVersion: platform.IfVersion(version)}, nil
}
