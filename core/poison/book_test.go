package poison

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const ms = time.Millisecond

var culprit = Content{Method: "GET", Host: "h", Target: "/x", Route: "r", Account: "a"}.Fingerprints()

func sameVersion([]string) bool { return false }

func crash(server string, sentAt, at time.Duration) Crash {
	return Crash{Server: server, Version: "v1", SentAt: sentAt, At: at}
}

// Guards against requests of other callers, or with other bodies, that share the fate of
// one that crashes servers.
func TestFingerprintsDiffer(t *testing.T) {
	contents := []Content{
		{"GET", "h", "/x", "r", "a", nil}, {"POST", "h", "/x", "r", "a", nil}, {"GET", "g", "/x", "r", "a", nil}, {"GET", "h", "/y", "r", "a", nil},
		{"GET", "h", "/x", "r", "b", nil}, {"GET", "h", "/x", "r", "", nil}, {"GET", "h", "/x", "r", "a", []byte("b")}, {"GET", "h", "/xa", "r", "", nil},
		{"GET", "h/", "x", "r", "a", nil}, {"GET", "h", "/x?y", "r", "a", nil},
	}
	var seen [3]map[Fingerprint]bool
	for i := range seen {
		seen[i] = make(map[Fingerprint]bool)
	}
	for _, c := range contents {
		for i, f := range c.Fingerprints() {
			seen[i][f] = true
		}
		require.Equal(t, c.Fingerprints(), c.Fingerprints())
	}
	require.Len(t, seen[0], len(contents))
	require.Len(t, seen[1], len(contents)-2, "query and body")
	require.Len(t, seen[2], 3, "accounts")
}

// Guards against quarantine of requests that were in progress when servers ended for
// another reason, and against a request that crashes one server after the other.
func TestOnlyCrashesInARowCount(t *testing.T) {
	for name, c := range map[string]struct {
		crashes     []Crash
		quarantined bool
	}{
		"one crash":              {[]Crash{crash("s1", 0, 100*ms)}, false},
		"a rack":                 {[]Crash{crash("s1", 0, 100*ms), crash("s2", 50*ms, 100*ms), crash("s3", 90*ms, 101*ms)}, false},
		"two VMs see one crash":  {[]Crash{crash("s1", 0, 100*ms), crash("s1", 50*ms, 120*ms)}, false},
		"one after the other":    {[]Crash{crash("s1", 0, 100*ms), crash("s2", 100*ms, 160*ms)}, true},
		"reported late":          {[]Crash{crash("s2", 200*ms, 260*ms), crash("s1", 0, 100*ms)}, true},
		"at once, then again":    {[]Crash{crash("s1", 0, 100*ms), crash("s2", 50*ms, 110*ms), crash("s3", 150*ms, 260*ms)}, true},
		"two starts of a server": {[]Crash{crash("s1@1", 0, 100*ms), crash("s1@2", 5000*ms, 5100*ms)}, true},
	} {
		b := New()
		for _, crash := range c.crashes {
			b.Crashed(6*time.Second, culprit, crash)
		}
		require.Equal(t, c.quarantined, len(b.Quarantined()) == 1, name)
		require.True(t, b.Check(6*time.Second, culprit, sameVersion).Suspect, name)
	}
}

// Guards against innocent requests that stay suspect because of a crash at which they were
// in progress by chance.
func TestCompletedRequestIsInnocent(t *testing.T) {
	b := New()
	b.Crashed(100*ms, culprit, crash("s1", 0, 100*ms))
	require.False(t, b.Survived(300*ms, culprit), "it was not quarantined")
	b.Crashed(500*ms, culprit, crash("s0", 0, 200*ms))
	require.False(t, b.Check(600*ms, culprit, sameVersion).Suspect, "a crash before it was completed")
	b.Crashed(600*ms, culprit, crash("s2", 400*ms, 600*ms))
	require.False(t, b.Check(700*ms, culprit, sameVersion).Quarantined)
}

// quarantinedBook returns a Book with one quarantined request, whose last crash was at 1 s.
func quarantinedBook() *Book {
	b := New()
	b.Crashed(500*ms, culprit, crash("s1", 400*ms, 500*ms))
	b.Crashed(time.Second, culprit, crash("s2", 600*ms, time.Second))
	return b
}

// Guards against a request that is tried so often that it ends many servers, and against
// one that is rejected forever although it was suspected wrongly.
func TestTrialsBecomeRare(t *testing.T) {
	b := quarantinedBook()
	var trials []time.Duration
	for now := time.Second; now < 2*time.Hour; now += 100 * ms {
		v := b.Check(now, culprit, sameVersion)
		require.Equal(t, v.Trial, !v.Quarantined)
		if !v.Trial {
			require.Positive(t, v.RetryAfter)
			continue
		}
		trials = append(trials, now.Round(time.Second))
		b.ClaimTrial(now, culprit, "vm")
		require.True(t, b.Check(now+ms, culprit, sameVersion).Quarantined, "one trial at a time")
		b.Crashed(now+50*ms, culprit, crash(fmt.Sprint("t", len(trials)), now, now+50*ms))
	}
	require.Equal(t, []time.Duration{3 * time.Second, 63 * time.Second, 663 * time.Second}, trials)

	b = quarantinedBook()
	b.ClaimTrial(3*time.Second, culprit, "vm")
	require.True(t, b.Survived(3100*ms, culprit))
	require.Equal(t, Verdict{}, b.Check(3200*ms, culprit, sameVersion))
}

// Guards against a request that is released again and again between crashes.
func TestRepeatedQuarantinesLastLonger(t *testing.T) {
	b, now := New(), time.Duration(0)
	var waits []time.Duration
	for i := range 4 {
		b.Crashed(now, culprit, crash(fmt.Sprint("a", i), now, now+100*ms))
		b.Crashed(now, culprit, crash(fmt.Sprint("b", i), now+100*ms, now+200*ms))
		now += 200 * ms
		wait := b.Check(now, culprit, sameVersion).RetryAfter
		waits = append(waits, wait)
		now += wait
		b.Survived(now, culprit)
		now += time.Second
	}
	require.Equal(t, []time.Duration{2 * time.Second, time.Minute, 10 * time.Minute, quarantineTime}, waits)
}

// Guards against a request that stays quarantined after the servers were mended.
func TestOtherSoftwareIsTriedAtOnce(t *testing.T) {
	b := quarantinedBook()
	mended := func(versions []string) bool {
		require.Equal(t, []string{"v1"}, versions)
		return true
	}
	v := b.Check(1100*ms, culprit, mended)
	require.True(t, v.Trial && v.NewVersionOnly)
	b.ClaimTrial(1100*ms, culprit, "vm")
	require.True(t, b.Check(1200*ms, culprit, mended).Quarantined)
	for trials := 1; trials <= len(trialDelays); trials++ {
		b.ClaimTrial(time.Duration(trials)*time.Minute, culprit, "vm")
	}
	require.True(t, b.Check(time.Hour, culprit, func([]string) bool { return true }).Quarantined, "all trials are used")
}

// Guards against memory that grows with the requests of a caller which varies them, and
// against quarantined requests that they displace.
func TestVariedRequestsAreForgottenFirst(t *testing.T) {
	b := quarantinedBook()
	for i := range 5 * maxEntries {
		at := 2*time.Second + time.Duration(i)*ms
		b.Crashed(at, Content{Target: fmt.Sprint(i), Account: fmt.Sprint(i)}.Fingerprints(), crash("s3", at-ms, at))
	}
	require.Len(t, b.entries, maxEntries)
	require.True(t, b.Check(2500*ms, culprit, sameVersion).Quarantined)
	b.Expire(2 * time.Hour)
	require.Len(t, b.entries, 1, "the quarantined request")
	b.Expire(7 * time.Hour)
	require.True(t, b.Empty())
	require.Empty(t, b.reported)
}

// Guards against messages that grow with the number of suspect requests, and against
// requests that are never part of one.
func TestManyRequestsAreSharedInTurn(t *testing.T) {
	b := New()
	for i := range maxShared {
		b.Crashed(0, Content{Target: fmt.Sprint(i), Account: fmt.Sprint(i)}.Fingerprints(), crash("i-0123456789@abcdefgh", 0, 0))
	}
	seen := make(map[Fingerprint]bool)
	for range 3 {
		list := b.Known(time.Second)
		require.Len(t, list, maxShared)
		raw, err := json.Marshal(list)
		require.NoError(t, err)
		require.Less(t, len(raw), 2200)
		for _, s := range list {
			seen[s.Fingerprint] = true
		}
	}
	require.Len(t, seen, 3*maxShared)
	require.Empty(t, b.Known(time.Minute), "suspects that have not changed")
	require.NotEmpty(t, quarantinedBook().Known(time.Hour))
}

// Guards against VMs that go on exchanging an entry without end, because its ages grow
// while messages are on their way.
func TestExchangedEntriesSettle(t *testing.T) {
	a, b := quarantinedBook(), New()
	now := time.Second
	for range 100 {
		now += 500 * ms
		b.MergeReported(now+40*ms, a.Known(now))
		a.MergeReported(now+80*ms, b.Known(now+40*ms))
	}
	require.Empty(t, a.Reported(now))
	require.Empty(t, b.Reported(now))
	require.Equal(t, a.Quarantined(), b.Quarantined())
}

// agreement is the part of a Verdict that VMs have to agree on.
type agreement struct{ quarantined, suspect, trial bool }

// Guards against VMs that disagree because messages are repeated or arrive in another
// order.
func TestVMsAgreeInAnyOrder(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 0))
		books := []*Book{New(), New(), New()}
		var messages []Shared
		var sentAt []time.Duration
		now := time.Duration(0)
		for step := range 12 {
			now += time.Second
			b := books[rng.IntN(len(books))]
			switch rng.IntN(4) {
			case 0:
				b.Survived(now, culprit)
			case 1:
				b.ClaimTrial(now, culprit, fmt.Sprint("vm", rng.IntN(3)))
			default:
				b.Crashed(now, culprit, crash(fmt.Sprint("s", step), now-300*ms, now))
			}
			if s, ok := b.Share(now, culprit.Exact()); ok {
				messages, sentAt = append(messages, s), append(sentAt, now)
			}
		}
		verdicts := make(map[agreement]bool)
		for range 6 {
			b := New()
			for _, i := range append(rng.Perm(len(messages)), rng.Perm(len(messages))...) {
				// All arrive at the same time, with the ages that they then have.
				b.Merge(now, messages[i].Aged(now-sentAt[i]))
			}
			v := b.Check(now, culprit, sameVersion)
			verdicts[agreement{v.Quarantined, v.Suspect, v.Trial}] = true
		}
		require.Len(t, verdicts, min(1, max(1, len(messages))), "seed %d", seed)
	}
}

// Guards against messages of a faulty VM that quarantine a request.
func TestMalformedMessagesAreIgnored(t *testing.T) {
	long := make([]SharedCrash, maxCrashes+1)
	for i := range long {
		long[i] = SharedCrash{Server: fmt.Sprint(i)}
	}
	negative := int64(-1)
	b := New()
	for _, s := range []Shared{
		{}, {Crashes: []SharedCrash{{}}}, {Crashes: long}, {Crashes: []SharedCrash{{Server: "s", AgeMS: -1}}}, {SurvivedMS: &negative},
		{Crashes: []SharedCrash{{Server: "s", SentMS: 1 << 62}}}, {Crashes: []SharedCrash{{Server: "s"}}, Trials: -1}, {Trials: 3},
	} {
		b.Merge(0, s)
		b.MergeReported(0, []Shared{s})
	}
	require.True(t, b.Empty())
	var f Fingerprint
	require.ErrorIs(t, f.UnmarshalText([]byte("short")), ErrFingerprint)
	require.NoError(t, f.UnmarshalText([]byte(culprit.Exact().String())))
	require.Equal(t, culprit.Exact(), f)
}

// Guards against a caller that varies its requests, each of which crashes a server, and
// against innocent requests of its account that share its fate.
func TestVariedRequestsAreRecognizedByWhatTheyHaveInCommon(t *testing.T) {
	varied := map[string]func(i int) Content{
		"body":  func(i int) Content { return Content{Target: "/x", Route: "r", Account: "a", Body: fmt.Append(nil, i)} },
		"query": func(i int) Content { return Content{Target: fmt.Sprint("/x?", i), Route: "r", Account: "a"} },
		"path":  func(i int) Content { return Content{Target: fmt.Sprint("/x/", i), Route: "r", Account: "a"} },
	}
	for name, content := range varied {
		for _, others := range []bool{false, true} {
			b := New()
			crashes := 0
			for i := range 20 {
				now := time.Duration(i) * time.Second
				if !b.Check(now, content(i).Fingerprints(), sameVersion).Quarantined {
					crashes++
					b.ClaimTrial(now, content(i).Fingerprints(), "vm")
					b.Crashed(now, content(i).Fingerprints(), crash(fmt.Sprint("s", i), now, now+100*ms))
				}
				if others {
					b.Survived(now+200*ms, Content{Target: "/good", Route: "r", Account: "a"}.Fingerprints())
				}
				require.False(t, b.Check(now, Content{Target: "/x", Route: "r", Account: "b"}.Fingerprints(), sameVersion).Quarantined)
			}
			if others && name == "path" {
				require.Equal(t, 20, crashes, "nothing tells it from the innocent ones")
			} else {
				require.Equal(t, variedCrashes+1, crashes, name)
			}
		}
	}
	b := quarantinedBook()
	require.Len(t, b.Quarantined(), 1, "one request that comes again says nothing about others")
}

// Guards against two VMs that try a request at the same time.
func TestOneVMHoldsATrial(t *testing.T) {
	a, b := quarantinedBook(), quarantinedBook()
	now := 4 * time.Second
	a.ClaimTrial(now, culprit, "vm-1")
	b.ClaimTrial(now, culprit, "vm-2")
	fromA, fromB := a.Shares(now, culprit), b.Shares(now, culprit)
	a.Merge(now, fromB...)
	b.Merge(now, fromA...)
	require.True(t, a.HoldsTrial(culprit, "vm-1"))
	require.False(t, b.HoldsTrial(culprit, "vm-2"))

	b.ClaimTrial(now+time.Second, culprit, "vm-2")
	a.Merge(now+time.Second, b.Shares(now+time.Second, culprit)...)
	require.False(t, a.HoldsTrial(culprit, "vm-1"), "a later trial")
}

// Guards against trials that are used up by requests that no server got.
func TestTrialThatWasNotSentIsReturned(t *testing.T) {
	b, now := quarantinedBook(), 3*time.Second
	for range 5 {
		require.True(t, b.Check(now, culprit, sameVersion).Trial)
		b.ClaimTrial(now, culprit, "vm")
		b.ReturnTrial(now, culprit, "other")
		b.ReturnTrial(now, culprit, "vm")
		now += 3 * time.Second
	}
	other := New()
	other.Merge(now, b.Shares(now, culprit)...)
	require.True(t, other.Check(now, culprit, sameVersion).Trial)
	require.False(t, b.Check(now+time.Millisecond, culprit, sameVersion).Quarantined)
}

// BenchmarkFingerprints measures what each request costs while requests are suspect.
func BenchmarkFingerprints(b *testing.B) {
	for _, size := range []int{0, 1 << 10, 64 << 10} {
		b.Run(fmt.Sprint(size, " byte body"), func(b *testing.B) {
			c := Content{Method: "POST", Host: "shop.example", Target: "/look/0123456789?n=1", Route: "look", Account: "account", Body: make([]byte, size)}
			for b.Loop() {
				c.Fingerprints()
			}
		})
	}
}

// BenchmarkCheck measures the decision on a request that is not suspect, with all entries
// in use.
func BenchmarkCheck(b *testing.B) {
	book := quarantinedBook()
	for i := range maxEntries {
		book.Crashed(0, Content{Target: fmt.Sprint(i), Account: fmt.Sprint(i)}.Fingerprints(), crash("s3", 0, 0))
	}
	request := Content{Target: "/other"}.Fingerprints()
	for b.Loop() {
		book.Check(time.Second, request, sameVersion)
	}
}

// Guards against memory and messages above what a node may spend.
func TestSizeOfEntriesAndMessages(t *testing.T) {
	b := New()
	for i := range maxEntries {
		at := time.Duration(i) * ms
		b.Crashed(at, Content{Target: fmt.Sprint(i), Account: fmt.Sprint(i)}.Fingerprints(), crash(fmt.Sprintf("i-%010d@abcdefgh", i), at-ms, at))
	}
	require.LessOrEqual(t, len(b.entries), maxEntries)
	raw, err := json.Marshal(b.Known(time.Second))
	require.NoError(t, err)
	require.Less(t, len(raw), 2500, "bytes of suspects in a message")
	one, err := json.Marshal(quarantinedBook().Shares(time.Second, culprit)[:1])
	require.NoError(t, err)
	require.Less(t, len(one), 200, "bytes of a quarantined request")
	t.Log(len(raw), len(one))
}

// Guards against VMs that do not count crashes as one after the other because the messages
// about them took different times.
func TestCrashesInARowWhenMessagesAreDelayed(t *testing.T) {
	observer, receiver := New(), New()
	observer.Crashed(100*ms, culprit, crash("s1", 0, 100*ms))
	first := observer.Shares(100*ms, culprit)
	observer.Crashed(160*ms, culprit, crash("s2", 100*ms, 160*ms))
	second := observer.Shares(160*ms, culprit)
	receiver.Merge(300*ms, first...)
	before := receiver.Changes()
	receiver.Merge(301*ms, second...)
	require.Equal(t, observer.Quarantined(), receiver.Quarantined())
	require.Greater(t, receiver.Changes(), before)
}
