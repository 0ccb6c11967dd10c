package configsync

import (
	"encoding/hex"
	"encoding/json"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/cassiawind/cassiawind/core/tableop"
	peerv1 "github.com/cassiawind/cassiawind/peerapi/peer/v1"
	"github.com/cassiawind/cassiawind/platform"
)

// Errors of a publication. Errors of the platform are returned unchanged if it is
// known that nothing was published.
var (
	// ErrVersion means that the version in effect is not the expected one.
	// Nothing was published.
	ErrVersion = errors.New("configuration version in effect is not the expected one")
	// ErrPublishUnknown means that it is not known whether the version was
	// published. Publishing again with the same change id resolves it.
	ErrPublishUnknown = errors.New("it is not known whether the configuration was published")
	// ErrNoEntries means that the new configuration is empty.
	ErrNoEntries = errors.New("configuration has no entries")
	// ErrEntryName means that an entry has no name, or the same name as another.
	ErrEntryName = errors.New("configuration entry name is empty or not unique")
)

// VersionError reports the version found. It is an ErrVersion.
type VersionError struct {
	Expected, Found uint64
}

// Error implements error.
func (e *VersionError) Error() string { return ErrVersion.Error() }

// Is reports whether the target is ErrVersion.
func (e *VersionError) Is(target error) bool { return target == ErrVersion }

const (
	// maxPublishAttempts bounds the attempts at a call that fails or has an
	// unknown outcome.
	maxPublishAttempts = 5
	// publishBackoff is the wait before a call is retried.
	publishBackoff = 500 * time.Millisecond
)

// PublishStep is the next action of the caller of a Publish.
type PublishStep struct {
	Kind PublishKind
	// Op is the table call of PublishTable.
	Op tableop.Op
	// Object is the name of the object to get or put, and Content is what to put.
	Object  string
	Content []byte
	// Wait is the time until Waited is called.
	Wait time.Duration
	// Version is the version in effect after PublishDone without Err.
	Version uint64
	// Unchanged is set if the entries equal the version in effect, so that no
	// version was written.
	Unchanged bool
	// Err is the error of PublishDone, or nil.
	Err error
}

// PublishKind is the kind of a PublishStep.
type PublishKind int

// Kinds of steps. After PublishTable, TableResult is called; after
// PublishGetObject and PublishPutObject, ObjectResult; after PublishWait, Waited.
const (
	PublishTable PublishKind = iota + 1
	PublishGetObject
	PublishPutObject
	PublishWait
	PublishDone
)

// object is an object of the new version.
type object struct {
	name    string
	content []byte
}

// Publish plans the publication of a configuration. It reads the row, gets the
// entries of the version in effect, writes the new objects, changes the row if it
// is unchanged, and reads the row again if the answer was lost.
type Publish struct {
	entries  []*peerv1.ConfigEntry
	expected uint64
	changeID string

	opID     uint64
	failures int
	row      platform.Row
	current  Current
	next     Current
	// unwrittenObjects are the objects that are still to be written. planned is
	// set once they are determined.
	unwrittenObjects []object
	planned          bool
	// writeSent is set once the conditional write was sent. mayBePublished is set
	// if one of these writes may have taken effect.
	writeSent      bool
	mayBePublished bool
	afterWait      PublishStep
}

// NewPublish plans the publication of entries over the expected version, 0 for
// the first. The entries have names and contents; their versions are assigned.
// The change id is unique for each change, and the same when the same change is
// published again.
func NewPublish(entries []*peerv1.ConfigEntry, expected uint64, changeID string) *Publish {
	return &Publish{entries: entries, expected: expected, changeID: changeID}
}

// Start returns the first step.
func (p *Publish) Start() PublishStep {
	if err := checkNames(p.entries); err != nil {
		return failedStep(err)
	}
	return p.readRow()
}

func checkNames(entries []*peerv1.ConfigEntry) error {
	if len(entries) == 0 {
		return ErrNoEntries
	}
	seen := map[string]bool{horizonName: true}
	for _, e := range entries {
		if seen[e.GetName()] {
			return ErrEntryName
		}
		seen[e.GetName()] = true
	}
	return nil
}

func failedStep(err error) PublishStep { return PublishStep{Kind: PublishDone, Err: err} }

func (p *Publish) readRow() PublishStep {
	p.opID++
	return PublishStep{Kind: PublishTable, Op: tableop.Op{ID: p.opID, Reads: []string{CurrentKey}}}
}

func (p *Publish) writeRow() PublishStep {
	value, err := json.Marshal(p.next)
	if err != nil {
		return failedStep(err)
	}
	p.opID++
	p.writeSent = true
	write := platform.Write{Key: CurrentKey, Value: value, IfVersion: platform.IfVersion(p.row.Version)}
	return PublishStep{Kind: PublishTable, Op: tableop.Op{ID: p.opID, Writes: []platform.Write{write}}}
}

// TableResult handles the result of the table call.
func (p *Publish) TableResult(result tableop.Result) PublishStep {
	switch {
	case len(result.Versions) > 0 && result.Err == nil:
		return PublishStep{Kind: PublishDone, Version: p.next.Version}
	case result.Err == nil:
		return p.handleRow(result)
	case p.writeSent:
		return p.handleFailedWrite(result.Err)
	default:
		return p.retryAfterWait(p.readRow(), result.Err)
	}
}

// handleFailedWrite reads the row again, because a conflict may be caused by an
// earlier write of this change whose answer was lost.
func (p *Publish) handleFailedWrite(err error) PublishStep {
	if errors.Is(err, platform.ErrConflict) {
		return p.readRow()
	}
	if !errors.Is(err, platform.ErrUnavailable) {
		p.mayBePublished = true
	}
	return p.retryAfterWait(p.readRow(), err)
}

// retryAfterWait retries a step after a wait, or ends with the error.
func (p *Publish) retryAfterWait(step PublishStep, err error) PublishStep {
	p.failures++
	if p.failures >= maxPublishAttempts && p.mayBePublished {
		return failedStep(errors.WithMessage(ErrPublishUnknown, err.Error()))
	}
	if p.failures >= maxPublishAttempts {
		return failedStep(err)
	}
	p.afterWait = step
	return PublishStep{Kind: PublishWait, Wait: publishBackoff}
}

// Waited returns the step after a PublishWait.
func (p *Publish) Waited() PublishStep { return p.afterWait }

// handleRow decides how to continue after a read of the row.
func (p *Publish) handleRow(result tableop.Result) PublishStep {
	row, found := result.Row(CurrentKey)
	current, err := parseCurrent(row, found)
	switch {
	case err != nil:
		return failedStep(err)
	case current.contains(p.changeID):
		return PublishStep{Kind: PublishDone, Version: current.Version}
	case current.Version > p.expected+maxChangeIDs && p.writeSent:
		return failedStep(ErrPublishUnknown)
	case current.Version != p.expected:
		return failedStep(&VersionError{Expected: p.expected, Found: current.Version})
	case p.writeSent:
		return p.retryAfterWait(p.writeRow(), platform.ErrUnavailable)
	}
	p.row, p.current = row, current
	if !found {
		return p.plan(nil)
	}
	return PublishStep{Kind: PublishGetObject, Object: current.Object}
}

// ObjectResult handles the result of getting or putting an object.
func (p *Publish) ObjectResult(content []byte, err error) PublishStep {
	if p.planned {
		return p.handlePut(err)
	}
	if err != nil {
		return p.retryAfterWait(PublishStep{Kind: PublishGetObject, Object: p.current.Object}, err)
	}
	digest, err := hex.DecodeString(p.current.Digest)
	if err != nil {
		return failedStep(ErrBadRow)
	}
	previous, err := decodeObject(content, p.current.Version, digest)
	if err != nil {
		return failedStep(err)
	}
	return p.plan(previous)
}

// handlePut writes the row once all objects are known to be stored. An object
// name contains the digest, so a retried put writes the same content.
func (p *Publish) handlePut(err error) PublishStep {
	if err != nil {
		return p.retryAfterWait(p.putNextObject(), err)
	}
	p.failures = 0
	p.unwrittenObjects = p.unwrittenObjects[1:]
	if len(p.unwrittenObjects) > 0 {
		return p.putNextObject()
	}
	return p.writeRow()
}

func (p *Publish) putNextObject() PublishStep {
	return PublishStep{Kind: PublishPutObject, Object: p.unwrittenObjects[0].name, Content: p.unwrittenObjects[0].content}
}

// plan prepares the new version, or ends if nothing changes.
func (p *Publish) plan(previous content) PublishStep {
	version := p.expected + 1
	next, changed := nextContent(previous, p.entries, version)
	if !changed {
		return PublishStep{Kind: PublishDone, Version: p.expected, Unchanged: true}
	}
	p.next = p.current.next(next.digest(version), p.changeID)
	if err := p.planObjects(next); err != nil {
		return failedStep(err)
	}
	p.planned = true
	p.failures = 0
	return p.putNextObject()
}

// planObjects prepares the object with all entries and, if there is a preceding
// version, the delta object. With the delta, a VM that reads the row does not
// have to get the whole configuration for each change.
func (p *Publish) planObjects(next content) error {
	all, err := encodeObject(p.next.Version, next)
	if err != nil {
		return err
	}
	p.unwrittenObjects = []object{{name: p.next.Object, content: all}}
	from, entries := next.changedSince(p.expected)
	if from == 0 {
		return nil
	}
	digest := next.digest(p.next.Version)
	update := &peerv1.ConfigUpdate{FromVersion: from, Version: p.next.Version, Digest: digest, Entries: entries}
	delta, err := encodeUpdate(update)
	if err != nil {
		return err
	}
	p.next.Delta = fmt.Sprintf(deltaFormat, digest, from)
	p.unwrittenObjects = append(p.unwrittenObjects, object{name: p.next.Delta, content: delta})
	return nil
}
