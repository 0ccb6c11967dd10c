package poison

import (
	"bytes"
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// quarantineCrashes is the number of crashes in a row after which a request is
	// quarantined. After one, each request that was in progress is as suspect as the
	// others.
	quarantineCrashes = 2
	// variedCrashes is that number for requests which have only a part of their content in
	// common. Each of them counts once.
	variedCrashes = 3
	// TrialTimeout is how long the outcome of a trial is awaited.
	TrialTimeout = 2 * time.Second
	// suspicionTime is how long a request that was in progress at one crash is suspect,
	// and quarantineTime how long a request is quarantined after its last crash or trial.
	suspicionTime  = 10 * time.Minute
	quarantineTime = 6 * time.Hour
	// survivalTime is how long it is known that a request did not crash a server, so that
	// a late report of an earlier crash does not count, and releaseTime how long it is
	// known that a request was released from quarantine.
	survivalTime = time.Minute
	releaseTime  = time.Hour
	// maxEntries bounds the requests that are known, maxCrashes the crashes of each.
	maxEntries = 1024
	maxCrashes = 6
)

// trialDelays are the times without a crash or a trial after which the next trial of a
// quarantined request is due. The first one is short, because the request may have been
// in progress by chance.
var trialDelays = [...]time.Duration{2 * time.Second, time.Minute, 10 * time.Minute}

// Crash is the end of a backend server that had a request in progress.
type Crash struct {
	// Server identifies the server and its start, Version its software.
	Server, Version string
	// SentAt is when the request was sent to the server, At when the server ended.
	SentAt, At time.Duration
	// variant tells the requests of a less exact fingerprint apart; 0 for an exact one.
	variant uint32
}

// entry is what is known of a request. Without crashes it was cleared.
type entry struct {
	// crashes are those after survivedAt, by time.
	crashes []Crash
	// survivedAt is when a server last completed the request; survived is unset if none
	// did.
	survived   bool
	survivedAt time.Duration
	// trials counts the trials since the request was quarantined. The VM trialVM claimed the
	// last one, at trialAt.
	trials  int
	trialAt time.Duration
	trialVM string
	// returned counts the trials that were claimed and not sent to a server.
	returned int
	// releases counts the quarantines that ended because a server completed the request.
	releases int
	// changedAt is when the entry last changed.
	changedAt time.Duration
}

// crashesInRow returns the number of crashes each of which ended a server that got the
// request after the crash before. Servers that end together, such as those of a rack, had
// requests in progress that did not end them.
func (e *entry) crashesInRow() (count int) {
	last := time.Duration(math.MinInt64)
	var variants []uint32
	for _, c := range e.crashes {
		if c.SentAt < last || c.variant != 0 && slices.Contains(variants, c.variant) {
			continue
		}
		count++
		last, variants = c.At, append(variants, c.variant)
	}
	return count
}

// threshold returns the number of crashes in a row from which on the request is
// quarantined.
func (e *entry) threshold() int {
	if len(e.crashes) > 0 && e.crashes[0].variant != 0 {
		return variedCrashes
	}
	return quarantineCrashes
}

func (e *entry) isQuarantined() bool {
	return len(e.crashes) > 0 && e.crashesInRow() >= e.threshold()
}

// lastCrashAt returns when the newest crash happened; there is at least one.
func (e *entry) lastCrashAt() time.Duration { return e.crashes[len(e.crashes)-1].At }

// trialIndex returns the index in trialDelays of the next trial.
func (e *entry) trialIndex() int {
	return e.releases + max(e.crashesInRow()-e.threshold(), e.trials-e.returned)
}

// expiresAt returns when the entry is forgotten.
func (e *entry) expiresAt() time.Duration {
	switch {
	case e.isQuarantined():
		return max(e.lastCrashAt(), e.trialAt) + quarantineTime
	case len(e.crashes) > 0:
		return e.lastCrashAt() + suspicionTime
	case e.releases > 0:
		return e.survivedAt + releaseTime
	default:
		return e.survivedAt + survivalTime
	}
}

// addCrash records a crash unless a server completed the request since.
func (e *entry) addCrash(c Crash) (changed bool) {
	if e.survived && c.At <= e.survivedAt {
		return false
	}
	if i := slices.IndexFunc(e.crashes, func(known Crash) bool { return known.Server == c.Server }); i >= 0 {
		known := &e.crashes[i]
		c.At, c.SentAt = min(c.At, known.At), max(c.SentAt, known.SentAt)
		if c.At == known.At && c.SentAt == known.SentAt {
			return false
		}
		known.At, known.SentAt = c.At, c.SentAt
	} else {
		e.crashes = append(e.crashes, c)
	}
	slices.SortFunc(e.crashes, func(a, b Crash) int { return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.Server, b.Server)) })
	if len(e.crashes) > maxCrashes {
		e.crashes = e.crashes[len(e.crashes)-maxCrashes:]
	}
	return true
}

// addSurvival records that a server completed the request at the given time.
func (e *entry) addSurvival(at time.Duration) (changed bool) {
	if e.survived && at <= e.survivedAt {
		return false
	}
	e.survived, e.survivedAt = true, at
	e.crashes = slices.DeleteFunc(e.crashes, func(c Crash) bool { return c.At <= at })
	if e.trialAt <= at {
		e.trials, e.returned = 0, 0
	}
	return true
}

// Verdict says what becomes of a request.
type Verdict struct {
	// Quarantined is set if the request must not be sent now. It may be sent after
	// RetryAfter.
	Quarantined bool
	RetryAfter  time.Duration
	// Trial is set if the request is quarantined and may be sent to one server, to learn
	// whether it still crashes servers. If NewVersionOnly is set, the server's software
	// must not be one of CrashedVersions.
	Trial          bool
	NewVersionOnly bool
	// CrashedVersions are the versions of the servers that the request ended.
	CrashedVersions []string
	// Suspect is set if the request was in progress when a server crashed.
	Suspect bool
}

// Book holds what is known of the requests that were in progress when servers crashed. It
// is not safe for concurrent use.
type Book struct {
	entries map[Fingerprint]*entry
	// reported holds the entries for this VM's reports, with the time of their last change:
	// its own, and on a VM that collects reports those of the others.
	reported map[Fingerprint]time.Duration
	// changes counts the changes of entries.
	changes uint64
	// nextKnown and nextReported are where the next message begins.
	nextKnown, nextReported Fingerprint
}

// New returns an empty Book.
func New() *Book {
	return &Book{entries: make(map[Fingerprint]*entry), reported: make(map[Fingerprint]time.Duration)}
}

// Len returns the number of known requests.
func (b *Book) Len() int { return len(b.entries) }

// Changes returns a number that grows when what is known changes.
func (b *Book) Changes() uint64 { return b.changes }

// Empty reports whether no request is known.
func (b *Book) Empty() bool { return len(b.entries) == 0 }

// Crashed records that a server crashed with the request in progress.
func (b *Book) Crashed(now time.Duration, request Fingerprints, c Crash) {
	for i, f := range request {
		if i > 0 {
			c.variant = request.variant()
		}
		if b.entryOf(now, f).addCrash(c) {
			b.changed(now, f)
		}
	}
}

// Survived records that a server completed the request. It reports whether the request was
// quarantined until then.
func (b *Book) Survived(now time.Duration, request Fingerprints) (released bool) {
	for _, f := range request {
		if e := b.entries[f]; e != nil && len(e.crashes) > 0 {
			if e.isQuarantined() {
				released = true
				e.releases++
			}
			e.addSurvival(now)
			b.changed(now, f)
		}
	}
	return released
}

// ClaimTrial records that a VM is about to send a quarantined request to a server. It has
// to wait until another VM that claims the same trial has heard of it.
func (b *Book) ClaimTrial(now time.Duration, request Fingerprints, vm string) {
	for _, f := range request {
		if e := b.entries[f]; e != nil && e.isQuarantined() {
			e.trials, e.trialAt, e.trialVM = e.trials+1, now, vm
			b.changed(now, f)
		}
	}
}

// ReturnTrial records that the request of a claimed trial was not sent to a server.
func (b *Book) ReturnTrial(now time.Duration, request Fingerprints, vm string) {
	for _, f := range request {
		if e := b.entries[f]; e != nil && e.trialVM == vm && e.returned < e.trials {
			e.returned++
			b.changed(now, f)
		}
	}
}

// HoldsTrial reports whether the newest trial of a request is that of a VM. Of two VMs that
// claim one trial, the one whose name comes first has it.
func (b *Book) HoldsTrial(request Fingerprints, vm string) bool {
	for _, f := range request {
		if e := b.entries[f]; e != nil && e.isQuarantined() && e.trialVM != vm {
			return false
		}
	}
	return true
}

// Check returns what becomes of a request. hasOtherVersion reports whether a server runs
// software of a version other than the given ones.
func (b *Book) Check(now time.Duration, request Fingerprints, hasOtherVersion func(versions []string) bool) Verdict {
	var verdict Verdict
	for i, f := range request {
		v := b.check(now, f, hasOtherVersion)
		// A less exact fingerprint is shared by many requests, most of them innocent.
		v.Suspect = v.Suspect && (i == 0 || v.Quarantined || v.Trial)
		verdict = verdict.combinedWith(v)
	}
	return verdict
}

// combinedWith returns the verdict on a request with two fingerprints.
func (v Verdict) combinedWith(other Verdict) Verdict {
	quarantined := v.Quarantined || other.Quarantined
	return Verdict{
		Quarantined: quarantined, RetryAfter: max(v.RetryAfter, other.RetryAfter), Trial: !quarantined && (v.Trial || other.Trial),
		NewVersionOnly: v.NewVersionOnly || other.NewVersionOnly, Suspect: v.Suspect || other.Suspect,
		CrashedVersions: slices.Concat(v.CrashedVersions, other.CrashedVersions),
	}
}

func (b *Book) check(now time.Duration, f Fingerprint, hasOtherVersion func(versions []string) bool) Verdict {
	e := b.entries[f]
	if e == nil || len(e.crashes) == 0 || now >= e.expiresAt() {
		return Verdict{}
	}
	if !e.isQuarantined() {
		return Verdict{Suspect: true}
	}
	v := Verdict{Suspect: true, CrashedVersions: e.versions()}
	if wait := e.trialAt + TrialTimeout - now; wait > 0 && e.trials > 0 && e.trialAt >= e.lastCrashAt() {
		v.Quarantined, v.RetryAfter = true, wait
		return v
	}
	index := e.trialIndex()
	dueAt := e.expiresAt()
	if index < len(trialDelays) {
		dueAt = max(e.lastCrashAt(), e.trialAt) + trialDelays[index]
	}
	// Other software may be what mends the fault. There is one such trial more than others.
	v.NewVersionOnly = now < dueAt
	v.Trial = now >= dueAt || index <= len(trialDelays) && hasOtherVersion(v.CrashedVersions)
	v.Quarantined = !v.Trial
	v.RetryAfter = max(0, dueAt-now)
	return v
}

// versions returns the versions of the servers that ended, in order.
func (e *entry) versions() []string {
	var versions []string
	for _, c := range e.crashes {
		versions = append(versions, c.Version)
	}
	slices.Sort(versions)
	return slices.Compact(versions)
}

// Quarantined returns the number of crashes in a row of each quarantined request.
func (b *Book) Quarantined() map[Fingerprint]int {
	quarantined := make(map[Fingerprint]int)
	for f, e := range b.entries {
		if e.isQuarantined() {
			quarantined[f] = e.crashesInRow()
		}
	}
	return quarantined
}

// Expire removes what is no longer of use.
func (b *Book) Expire(now time.Duration) {
	before := len(b.entries)
	maps.DeleteFunc(b.entries, func(_ Fingerprint, e *entry) bool { return now >= e.expiresAt() })
	b.changes += uint64(before - len(b.entries))
	maps.DeleteFunc(b.reported, func(f Fingerprint, at time.Duration) bool { return b.entries[f] == nil || now-at > reportTime })
}

// entryOf returns the entry of a request, which it makes if needed.
func (b *Book) entryOf(now time.Duration, f Fingerprint) *entry {
	if e := b.entries[f]; e != nil {
		return e
	}
	if len(b.entries) >= maxEntries {
		b.Expire(now)
	}
	if len(b.entries) >= maxEntries {
		delete(b.entries, b.leastUseful())
	}
	b.changes++
	e := &entry{changedAt: now}
	b.entries[f] = e
	return e
}

// leastUseful returns the request to forget first. A quarantined request, each of which
// cost several servers, is kept longest, so that a caller that varies its requests does not
// displace it.
func (b *Book) leastUseful() Fingerprint {
	var least Fingerprint
	var leastEntry *entry
	for f, e := range b.entries {
		if leastEntry == nil || e.lessUsefulThan(leastEntry) || !leastEntry.lessUsefulThan(e) && bytes.Compare(f[:], least[:]) < 0 {
			least, leastEntry = f, e
		}
	}
	return least
}

func (e *entry) lessUsefulThan(other *entry) bool {
	if e.isQuarantined() != other.isQuarantined() {
		return other.isQuarantined()
	}
	return e.changedAt < other.changedAt
}

// changed records that this VM changed an entry.
func (b *Book) changed(now time.Duration, f Fingerprint) {
	b.entries[f].changedAt = now
	b.changes++
	b.reported[f] = now
}
