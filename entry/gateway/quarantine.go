package gateway

import (
	"context"
	"encoding/json"
	"maps"
	"time"

	"github.com/pkg/errors"

	"github.com/cassiawind/cassiawind/core/poison"
	"github.com/cassiawind/cassiawind/platform/adapter"
)

// quarantineRows are the rows of the store that keep the quarantined requests while no VM
// does.
type quarantineRows interface {
	// Read returns the rows of a table.
	Read(ctx context.Context, table string) (adapter.Rows, error)
	// Update writes and deletes rows of a table in one transaction.
	Update(ctx context.Context, table string, put map[string][]byte, deleted []string) error
	// Era returns how often the store was restored from an older copy.
	Era() uint64
}

// maxQuarantineWrites bounds the rows of one transaction.
const maxQuarantineWrites = 50

// quarantineRow is the row of a quarantined request. Its ages count from WrittenUnixMS, by
// the time of day, since steady clocks do not outlast a VM.
type quarantineRow struct {
	WrittenUnixMS int64         `json:"written"`
	Suspect       poison.Shared `json:"suspect"`
}

// ErrQuarantineRow means that the row of a quarantined request cannot be decoded.
var ErrQuarantineRow = errors.New("invalid row of a quarantined request")

func decodeQuarantineRow(raw []byte, now time.Time) (poison.Shared, error) {
	var row quarantineRow
	if err := json.Unmarshal(raw, &row); err != nil {
		return poison.Shared{}, errors.Wrap(ErrQuarantineRow, err.Error())
	}
	return row.Suspect.Aged(time.Duration(max(0, now.UnixMilli()-row.WrittenUnixMS)) * time.Millisecond), nil
}

// loadQuarantine reads the quarantined requests once, before this VM first acts as a hub.
// The other VMs learn them from digests.
func (n *Node) loadQuarantine(ctx context.Context) {
	backoff := initialBackoff
	for ctx.Err() == nil {
		if !n.mustReadStore() {
			n.sleep(ctx, hubCheckInterval)
			continue
		}
		readCtx, cancel := context.WithTimeout(ctx, storeReadTimeout)
		rows, err := n.quarantineRows.Read(readCtx, adapter.TableQuarantine)
		cancel()
		if err == nil {
			n.mergeQuarantine(rows.Rows)
			return
		}
		n.log.Info("quarantined requests not read", "error", err.Error())
		n.sleep(ctx, jitter(backoff))
		backoff = min(2*backoff, maxBackoff)
	}
}

func (n *Node) mergeQuarantine(rows []adapter.Row) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.now()
	for _, row := range rows {
		suspect, err := decodeQuarantineRow(row.Value, time.Now())
		if err != nil {
			n.log.Info("row of a quarantined request cannot be read", "key", row.Key, "error", err.Error())
			continue
		}
		n.peers.Suspects().Merge(now, suspect)
		n.storedQuarantine[suspect.Fingerprint] = stateOf(suspect)
	}
	n.quarantineLoaded = true
	n.applySuspects(now)
}

// storeQuarantine makes a hub write what changed in the set of quarantined requests. The
// caller holds mu.
func (n *Node) storeQuarantine(ctx context.Context, now time.Duration) {
	if !n.quarantineLoaded || n.storingQuarantine || now < n.storeQuarantineAt || !n.peers.IsHub(now) {
		return
	}
	if era := n.quarantineRows.Era(); era != n.quarantineEra {
		// The store may have lost the rows.
		n.quarantineEra = era
		clear(n.storedQuarantine)
	}
	put, states, deleted := n.changedQuarantine(now)
	if len(put)+len(deleted) == 0 {
		return
	}
	n.storingQuarantine = true
	go func() {
		writeCtx, cancel := context.WithTimeout(ctx, storeWriteTimeout)
		defer cancel()
		err := n.quarantineRows.Update(writeCtx, adapter.TableQuarantine, put, fingerprintKeys(deleted))
		n.mu.Lock()
		defer n.mu.Unlock()
		n.storingQuarantine = false
		if err != nil {
			n.storeQuarantineAt = n.now() + maxBackoff
			n.metrics.Count(1, "store_calls", adapter.TableQuarantine, "failed")
			if ok, omitted := n.logLimiter.Allow(n.now(), "quarantine store"); ok {
				n.log.Info("quarantined requests not written", "error", err.Error(), "omitted", omitted)
			}
			return
		}
		n.metrics.Count(1, "store_calls", adapter.TableQuarantine, "ok")
		maps.Copy(n.storedQuarantine, states)
		for _, f := range deleted {
			delete(n.storedQuarantine, f)
		}
	}()
}

// quarantineState is what decides whether a row is written again.
type quarantineState struct{ crashes, trials, releases int }

func stateOf(s poison.Shared) quarantineState {
	return quarantineState{len(s.Crashes), s.Trials, s.Releases}
}

// changedQuarantine returns the rows to write, with their states, and the requests whose
// rows are to be deleted. The caller holds mu.
func (n *Node) changedQuarantine(now time.Duration) (put map[string][]byte, states map[poison.Fingerprint]quarantineState, deleted []poison.Fingerprint) {
	put, states = make(map[string][]byte), make(map[poison.Fingerprint]quarantineState)
	suspects := n.peers.Suspects()
	for f := range n.quarantined {
		s, _ := suspects.Share(now, f)
		if n.storedQuarantine[f] == stateOf(s) || len(put) >= maxQuarantineWrites {
			continue
		}
		raw, err := json.Marshal(quarantineRow{time.Now().UnixMilli(), s})
		if err != nil {
			n.log.Info("quarantined request could not be encoded", "error", err.Error())
			continue
		}
		put[f.String()], states[f] = raw, stateOf(s)
	}
	for f := range n.storedQuarantine {
		if _, quarantined := n.quarantined[f]; !quarantined && len(deleted) < maxQuarantineWrites {
			deleted = append(deleted, f)
		}
	}
	return put, states, deleted
}

func fingerprintKeys(fingerprints []poison.Fingerprint) []string {
	keys := make([]string, 0, len(fingerprints))
	for _, f := range fingerprints {
		keys = append(keys, f.String())
	}
	return keys
}

var _ quarantineRows = (*adapter.Store)(nil)
