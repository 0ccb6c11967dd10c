package poison

import (
	"bytes"
	"encoding/base64"
	"maps"
	"slices"
	"time"

	"github.com/pkg/errors"
)

const (
	// reportTime is how long a change is part of the reports of the VM that made it, and
	// digestTime how long it is part of digests. They cover a few lost messages and a
	// change of the hub.
	reportTime = 5 * time.Second
	digestTime = 10 * time.Second
	// maxShared bounds the requests in one message, so that a digest stays within a few
	// packets. Of more, each message has the next ones in order.
	maxShared = 16
)

// ErrFingerprint means that a text is not a fingerprint.
var ErrFingerprint = errors.New("invalid fingerprint")

// MarshalText implements encoding.TextMarshaler.
func (f Fingerprint) MarshalText() ([]byte, error) { return []byte(f.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (f *Fingerprint) UnmarshalText(text []byte) error {
	raw, err := base64.RawURLEncoding.DecodeString(string(text))
	if err != nil || len(raw) != len(f) {
		return errors.Wrapf(ErrFingerprint, "%q", text)
	}
	copy(f[:], raw)
	return nil
}

// Shared is what a message or a row of the store says of one request. Times are ages in
// milliseconds, since VMs have no common clock.
type Shared struct {
	Fingerprint Fingerprint   `json:"f"`
	Crashes     []SharedCrash `json:"c,omitempty"`
	// SurvivedMS is set if a server completed the request.
	SurvivedMS *int64 `json:"ok,omitempty"`
	Trials     int    `json:"t,omitempty"`
	Returned   int    `json:"tr,omitempty"`
	TrialMS    int64  `json:"ta,omitempty"`
	// TrialVM claimed the newest trial.
	TrialVM  string `json:"tv,omitempty"`
	Releases int    `json:"r,omitempty"`
}

// SharedCrash is one crash of a Shared.
type SharedCrash struct {
	Server  string `json:"s"`
	Version string `json:"v,omitempty"`
	SentMS  int64  `json:"b"`
	AgeMS   int64  `json:"a"`
	// Variant tells requests apart that have only a part of their content in common.
	Variant uint32 `json:"x,omitempty"`
}

func age(now, at time.Duration) int64 { return max(0, (now - at).Milliseconds()) }

func timeOf(now time.Duration, ageMS int64) time.Duration {
	return now - time.Duration(ageMS)*time.Millisecond
}

// Shares returns what is known of a request.
func (b *Book) Shares(now time.Duration, request Fingerprints) []Shared {
	var shares []Shared
	for _, f := range request {
		if s, ok := b.Share(now, f); ok {
			shares = append(shares, s)
		}
	}
	return shares
}

// Share returns what is known of a fingerprint; ok is false if nothing is.
func (b *Book) Share(now time.Duration, f Fingerprint) (s Shared, ok bool) {
	e := b.entries[f]
	if e == nil {
		return Shared{}, false
	}
	s = Shared{Fingerprint: f, Releases: e.releases}
	for _, c := range e.crashes {
		s.Crashes = append(s.Crashes, SharedCrash{Server: c.Server, Version: c.Version, SentMS: age(now, c.SentAt), AgeMS: age(now, c.At), Variant: c.variant})
	}
	if e.survived {
		ms := age(now, e.survivedAt)
		s.SurvivedMS = &ms
	}
	if e.trials > 0 {
		s.Trials, s.Returned, s.TrialMS, s.TrialVM = e.trials, e.returned, age(now, e.trialAt), e.trialVM
	}
	return s, true
}

// Aged returns s as it reads after a time has passed.
func (s Shared) Aged(d time.Duration) Shared {
	s.Crashes = slices.Clone(s.Crashes)
	for i := range s.Crashes {
		s.Crashes[i].SentMS += d.Milliseconds()
		s.Crashes[i].AgeMS += d.Milliseconds()
	}
	if s.SurvivedMS != nil {
		survived := *s.SurvivedMS + d.Milliseconds()
		s.SurvivedMS = &survived
	}
	s.TrialMS += d.Milliseconds()
	return s
}

// maxAgeMS bounds the ages in messages, so that they do not overflow.
const maxAgeMS = int64(365 * 24 * time.Hour / time.Millisecond)

func isAge(ms int64) bool { return ms >= 0 && ms <= maxAgeMS }

// isValid reports whether the message of another VM can be used.
func (s Shared) isValid() bool {
	if len(s.Crashes) > maxCrashes || s.Trials < 0 || s.Returned < 0 || s.Releases < 0 || !isAge(s.TrialMS) || s.SurvivedMS != nil && !isAge(*s.SurvivedMS) {
		return false
	}
	return !slices.ContainsFunc(s.Crashes, func(c SharedCrash) bool { return c.Server == "" || !isAge(c.AgeMS) || !isAge(c.SentMS) })
}

// Merge adds what a message or a row says that is not reported further.
func (b *Book) Merge(now time.Duration, list ...Shared) {
	for _, s := range list {
		b.merge(now, s)
	}
}

// MergeReported adds what another VM's report or group report says.
func (b *Book) MergeReported(now time.Duration, list []Shared) {
	for _, s := range list {
		if b.merge(now, s) {
			b.reported[s.Fingerprint] = now
		}
	}
}

func (b *Book) merge(now time.Duration, s Shared) (changed bool) {
	if !s.isValid() || len(s.Crashes) == 0 && s.SurvivedMS == nil {
		return false
	}
	e := b.entryOf(now, s.Fingerprint)
	if s.SurvivedMS != nil {
		at := timeOf(now, *s.SurvivedMS)
		if !e.survived || at > e.survivedAt+clockTolerance {
			changed = e.addSurvival(at)
		}
	}
	for _, c := range s.Crashes {
		if b.mergeCrash(e, Crash{Server: c.Server, Version: c.Version, SentAt: timeOf(now, c.SentMS), At: timeOf(now, c.AgeMS), variant: c.Variant}) {
			changed = true
		}
	}
	if at := timeOf(now, s.TrialMS); s.Trials > 0 && !(e.survived && at <= e.survivedAt) {
		if s.Trials > e.trials || s.Trials == e.trials && s.TrialVM < e.trialVM {
			e.trials, e.trialVM, changed = s.Trials, s.TrialVM, true
		}
		if s.Returned > e.returned {
			e.returned, changed = s.Returned, true
		}
		if e.trialAt == 0 || at > e.trialAt+clockTolerance {
			e.trialAt, changed = at, true
		}
	}
	e.releases = max(e.releases, s.Releases)
	if changed {
		e.changedAt = now
		b.changes++
	}
	return changed
}

// clockTolerance is the difference between two observations of one moment that is not a
// change: ages grow by the time that messages take.
const clockTolerance = 250 * time.Millisecond

// mergeCrash records a crash that another VM knows of. A known crash takes the earliest time,
// that of the fastest message: a later one might lie after the next crash's request.
func (b *Book) mergeCrash(e *entry, c Crash) (changed bool) {
	for i := range e.crashes {
		known := &e.crashes[i]
		if known.Server == c.Server && (known.At-c.At).Abs() < clockTolerance && (known.SentAt-c.SentAt).Abs() < clockTolerance {
			if c.At < known.At {
				known.At = c.At
				b.changes++
			}
			return false
		}
	}
	return e.addCrash(c)
}

// Reported returns what this VM's next report says.
func (b *Book) Reported(now time.Duration) []Shared {
	maps.DeleteFunc(b.reported, func(_ Fingerprint, at time.Duration) bool { return now-at > reportTime })
	return b.share(now, slices.Collect(maps.Keys(b.reported)), &b.nextReported)
}

// Known returns what the next digest says: the quarantined requests, and what changed
// recently.
func (b *Book) Known(now time.Duration) []Shared {
	var selected []Fingerprint
	for f, e := range b.entries {
		if now-e.changedAt <= digestTime || e.isQuarantined() {
			selected = append(selected, f)
		}
	}
	return b.share(now, selected, &b.nextKnown)
}

// share returns up to maxShared of the requests in order, the first one being next, which
// it advances.
func (b *Book) share(now time.Duration, list []Fingerprint, next *Fingerprint) []Shared {
	if len(list) == 0 {
		return nil
	}
	compare := func(x, y Fingerprint) int { return bytes.Compare(x[:], y[:]) }
	slices.SortFunc(list, compare)
	start, _ := slices.BinarySearchFunc(list, *next, compare)
	count := min(len(list), maxShared)
	shared := make([]Shared, 0, count)
	for i := range count {
		if s, ok := b.Share(now, list[(start+i)%len(list)]); ok {
			shared = append(shared, s)
		}
	}
	*next = list[(start+count)%len(list)]
	return shared
}
