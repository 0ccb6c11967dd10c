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

// Errors of a publish. Errors of the platform are returned as they are when it
// is known that nothing was published.
var (
	// ErrVersion means that the version in effect is not the expected one.
	// Nothing was published.
	ErrVersion = errors.New("the version in effect is not the expected one")
	// ErrPublishUnknown means that it is not known whether the version was
	// published. Publishing again with the same change id resolves it.
	ErrPublishUnknown = errors.New("it is not known whether the configuration was published")
	// ErrNoEntries means that the new configuration is empty.
	ErrNoEntries = errors.New("the configuration has no entries")
	// ErrEntryName means that an entry has no name, or the same name as another.
	ErrEntryName = errors.New("an entry name is empty or repeated")
)

// VersionError tells the version found. It is an ErrVersion.
type VersionError struct {
	Expected, Found uint64
}

// Error implements error.
func (e *VersionError) Error() string { return ErrVersion.Error() }

// Is reports that a VersionError is an ErrVersion.
func (e *VersionError) Is(target error) bool { return target == ErrVersion }

const (
	// publishTries bounds the calls of one kind whose outcome is unknown.
	publishTries = 5
	// publishRetryDelay is the wait before a call is repeated.
	publishRetryDelay = 500 * time.Millisecond
)

// PublishStep is the next thing that the caller of a Publish does.
type PublishStep struct {
	Kind PublishKind
	// Op is the table call of PublishTable.
	Op tableop.Op
	// Object is the name of the object to get or put, Content what to put.
	Object  string
	Content []byte
	// Wait is the time until Waited is called.
	Wait time.Duration
	// Version is the version in effect after PublishDone without Err.
	Version uint64
	// Unchanged tells that the folder equals the version in effect, so that no
	// version was written.
	Unchanged bool
	// Err is the failure of PublishDone, or nil.
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

// Publish plans the publication of a folder: read the row, get the entries of
// the version in effect, write the new object, change the row if it is
// unchanged, and read the row back if the answer was lost.
type Publish struct {
	entries  []*peerv1.ConfigEntry
	expected uint64
	changeID string

	op      uint64
	tries   int
	row     platform.Row
	current Current
	next    Current
	// puts are the objects that are still to be written; planned tells that
	// they were determined.
	puts    []object
	planned bool
	// wrote tells that the conditional write was sent at least once, unknown
	// that one of these writes may have taken effect.
	wrote   bool
	unknown bool
	waiting PublishStep
}

// NewPublish plans the publication of entries (names and contents; versions are
// assigned) over the expected version, 0 for the first. The change id is unique
// for each change, and equal when the same change is tried again.
func NewPublish(entries []*peerv1.ConfigEntry, expected uint64, changeID string) *Publish {
	return &Publish{entries: entries, expected: expected, changeID: changeID}
}

// Start returns the first step.
func (p *Publish) Start() PublishStep {
	if err := checkNames(p.entries); err != nil {
		return failed(err)
	}
	return p.read()
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

func failed(err error) PublishStep { return PublishStep{Kind: PublishDone, Err: err} }

func (p *Publish) read() PublishStep {
	p.op++
	return PublishStep{Kind: PublishTable, Op: tableop.Op{ID: p.op, Reads: []string{CurrentKey}}}
}

func (p *Publish) write() PublishStep {
	value, err := json.Marshal(p.next)
	if err != nil {
		return failed(err)
	}
	p.op++
	p.wrote = true
	write := platform.Write{Key: CurrentKey, Value: value, IfVersion: platform.IfVersion(p.row.Version)}
	return PublishStep{Kind: PublishTable, Op: tableop.Op{ID: p.op, Writes: []platform.Write{write}}}
}

// TableResult takes the result of the table call.
func (p *Publish) TableResult(result tableop.Result) PublishStep {
	switch {
	case len(result.Versions) > 0 && result.Err == nil:
		return PublishStep{Kind: PublishDone, Version: p.next.Version}
	case result.Err == nil:
		return p.readBack(result)
	case p.wrote:
		return p.afterFailedWrite(result.Err)
	default:
		return p.again(p.read(), result.Err)
	}
}

// afterFailedWrite reads the row back, because a conflict may come from an
// earlier write of this change whose answer was lost.
func (p *Publish) afterFailedWrite(err error) PublishStep {
	if errors.Is(err, platform.ErrConflict) {
		return p.read()
	}
	if !errors.Is(err, platform.ErrUnavailable) {
		p.unknown = true
	}
	return p.again(p.read(), err)
}

// again repeats a step after a wait, or gives up with the error.
func (p *Publish) again(step PublishStep, err error) PublishStep {
	p.tries++
	if p.tries >= publishTries && p.unknown {
		return failed(errors.WithMessage(ErrPublishUnknown, err.Error()))
	}
	if p.tries >= publishTries {
		return failed(err)
	}
	p.waiting = step
	return PublishStep{Kind: PublishWait, Wait: publishRetryDelay}
}

// Waited returns the step after a PublishWait.
func (p *Publish) Waited() PublishStep { return p.waiting }

// readBack decides after a read of the row.
func (p *Publish) readBack(result tableop.Result) PublishStep {
	row, found := result.Row(CurrentKey)
	current, err := parseCurrent(row, found)
	switch {
	case err != nil:
		return failed(err)
	case current.wrote(p.changeID):
		return PublishStep{Kind: PublishDone, Version: current.Version}
	case current.Version > p.expected+keptChangeIDs && p.wrote:
		return failed(ErrPublishUnknown)
	case current.Version != p.expected:
		return failed(&VersionError{Expected: p.expected, Found: current.Version})
	case p.wrote:
		return p.again(p.write(), platform.ErrUnavailable)
	}
	p.row, p.current = row, current
	if !found {
		return p.plan(nil)
	}
	return PublishStep{Kind: PublishGetObject, Object: current.Object}
}

// ObjectResult takes the outcome of getting or putting the object.
func (p *Publish) ObjectResult(content []byte, err error) PublishStep {
	if p.planned {
		return p.afterPut(err)
	}
	if err != nil {
		return p.again(PublishStep{Kind: PublishGetObject, Object: p.current.Object}, err)
	}
	digest, err := hex.DecodeString(p.current.Digest)
	if err != nil {
		return failed(ErrBadRow)
	}
	previous, err := decodeObject(content, p.current.Version, digest)
	if err != nil {
		return failed(err)
	}
	return p.plan(previous)
}

// afterPut writes the row once all objects are known to be stored. An object name
// contains the digest, so that a repeated put writes the same content.
func (p *Publish) afterPut(err error) PublishStep {
	if err != nil {
		return p.again(p.put(), err)
	}
	p.tries = 0
	p.puts = p.puts[1:]
	if len(p.puts) > 0 {
		return p.put()
	}
	return p.write()
}

func (p *Publish) put() PublishStep {
	return PublishStep{Kind: PublishPutObject, Object: p.puts[0].name, Content: p.puts[0].content}
}

// plan prepares the new version, or ends if nothing changes.
func (p *Publish) plan(previous content) PublishStep {
	version := p.expected + 1
	next, changed := planContent(previous, p.entries, version)
	if !changed {
		return PublishStep{Kind: PublishDone, Version: p.expected, Unchanged: true}
	}
	p.next = p.current.next(next.digest(version), p.changeID)
	if err := p.planObjects(next); err != nil {
		return failed(err)
	}
	p.planned = true
	p.tries = 0
	return p.put()
}

// planObjects prepares the object with all entries and, if there is a version
// before, the one with the difference. With the difference, a VM that reads the
// row does not get the whole configuration for each change.
func (p *Publish) planObjects(next content) error {
	all, err := encodeObject(p.next.Version, next)
	if err != nil {
		return err
	}
	p.puts = []object{{name: p.next.Object, content: all}}
	from, entries := next.since(p.expected)
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
	p.puts = append(p.puts, object{name: p.next.Delta, content: delta})
	return nil
}
