package configsync

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cassiawind/cassiawind/platform"
)

// Guards against entries with a wrong version, which a delta would not contain,
// and against a new version without a change.
func TestPublishVersionsEntries(t *testing.T) {
	s := newFakeStore()
	require.EqualValues(t, 1, s.publish(NewPublish(entriesOf("a", "b"), 0, "c1"), nil).Version)
	require.EqualValues(t, 2, s.publish(NewPublish(entriesOf("a", "b2", "c"), 1, "c2"), nil).Version)
	same := s.publish(NewPublish(entriesOf("a", "b2", "c"), 2, "c3"), nil)
	require.True(t, same.Unchanged)
	require.EqualValues(t, 2, same.Version)
	require.EqualValues(t, 3, s.publish(NewPublish(entriesOf("", "b2", "c"), 2, "c4"), nil).Version)
	v := s.startReplica(1)
	require.EqualValues(t, 3, v.Version())
	require.Equal(t, []string{"b2", "c"}, contentsOf(v.Entries()))
	from, entries := v.content.changedSince(2)
	require.EqualValues(t, 2, from)
	require.Len(t, entries, 1)
	require.True(t, entries[0].GetRemoved())
	for _, bad := range [][]string{{}, {"a", "a"}} {
		p := NewPublish(nil, 3, "c5")
		if len(bad) > 0 {
			p.entries = append(entriesOf("a"), entriesOf("a")...)
		}
		require.Error(t, s.publish(p, nil).Err)
	}
}

// Guards against a publisher that overwrites a version that its operator has not
// seen: both publishers read version 1, and only one write succeeds.
func TestRacingPublishers(t *testing.T) {
	s := newFakeStore()
	s.publish(NewPublish(entriesOf("a"), 0, "c1"), nil)
	one, two := NewPublish(entriesOf("one"), 1, "c2"), NewPublish(entriesOf("two"), 1, "c3")
	stepOne, stepTwo := one.Start(), two.Start()
	for range 4 {
		stepOne, stepTwo = s.perform(one, stepOne, noFault), s.perform(two, stepTwo, noFault)
	}
	stepTwo = s.perform(two, stepTwo, noFault)
	stepOne = s.perform(one, s.perform(one, stepOne, noFault), noFault)
	require.Equal(t, PublishStep{Kind: PublishDone, Version: 2}, stepTwo)
	require.ErrorIs(t, stepOne.Err, ErrVersion)
	require.Equal(t, &VersionError{Expected: 1, Found: 2}, stepOne.Err)
	require.Equal(t, []string{"two"}, contentsOf(s.startReplica(1).Entries()))
	require.ErrorIs(t, s.publish(NewPublish(entriesOf("late"), 1, "c4"), nil).Err, ErrVersion)
}

// Guards against a version in effect whose object does not exist, if a publisher
// stops after any of its steps.
func TestPublisherStopsHalfway(t *testing.T) {
	for steps := range 5 {
		s := newFakeStore()
		s.publish(NewPublish(entriesOf("a"), 0, "c1"), nil)
		p := NewPublish(entriesOf("b"), 1, "c2")
		step := p.Start()
		for range steps {
			step = s.perform(p, step, noFault)
		}
		require.EqualValues(t, 1, s.startReplica(1).Version())
		require.EqualValues(t, 2, s.publish(NewPublish(entriesOf("c"), 1, "c3"), nil).Version)
		require.Equal(t, []string{"c"}, contentsOf(s.startReplica(2).Entries()))
	}
}

// Guards against a publication that is reported as failed, or made twice, when
// only the answer was lost, also if others have published since.
func TestPublishAnswerLost(t *testing.T) {
	s := newFakeStore()
	done := s.publish(NewPublish(entriesOf("a"), 0, "c1"), map[int]fault{0: failedCall, 3: failedCall, 5: lostAnswer, 7: failedCall})
	require.Equal(t, PublishStep{Kind: PublishDone, Version: 1}, done)
	p := NewPublish(entriesOf("b"), 1, "c2")
	step := p.Start()
	for range 4 {
		step = s.perform(p, step, noFault)
	}
	step = s.perform(p, step, delayedWrite)
	s.deliverDelayed()
	for i := range maxChangeIDs - 1 {
		require.NoError(t, s.publish(NewPublish(entriesOf(fmt.Sprint(i)), uint64(2+i), fmt.Sprint("d", i)), nil).Err)
	}
	for step.Kind != PublishDone {
		step = s.perform(p, step, noFault)
	}
	require.NoError(t, step.Err)
}

// Guards against a failure that is reported as certain although the version may
// have been published, and against one reported as uncertain although nothing was
// published.
func TestPublishDuringOutage(t *testing.T) {
	down := map[int]fault{}
	for i := range 40 {
		down[i] = failedCall
	}
	s := newFakeStore()
	require.ErrorIs(t, s.publish(NewPublish(entriesOf("a"), 0, "c1"), down).Err, platform.ErrUnavailable)
	delete(down, 0)
	delete(down, 1)
	done := s.publish(NewPublish(entriesOf("a"), 0, "c1"), down)
	require.ErrorIs(t, done.Err, platform.ErrUnavailable)
	require.NotErrorIs(t, done.Err, ErrPublishUnknown)
	down[2] = delayedWrite
	require.ErrorIs(t, s.publish(NewPublish(entriesOf("a"), 0, "c1"), down).Err, ErrPublishUnknown)
	s.deliverDelayed()
	require.EqualValues(t, 1, s.publish(NewPublish(entriesOf("a"), 0, "c1"), nil).Version, "the same change id")
}

// Guards against a publication that overwrites a row or an object that cannot be
// decoded.
func TestPublishOverInvalidData(t *testing.T) {
	s := newFakeStore()
	s.row = platform.Row{Key: CurrentKey, Value: []byte(`{"version": 0}`), Version: 1}
	require.ErrorIs(t, s.publish(NewPublish(entriesOf("a"), 0, "c1"), nil).Err, ErrBadRow)
	s = newFakeStore()
	s.publish(NewPublish(entriesOf("a"), 0, "c1"), nil)
	for name := range s.objects {
		s.objects[name] = []byte("x")
	}
	require.ErrorIs(t, s.publish(NewPublish(entriesOf("b"), 1, "c2"), nil).Err, ErrBadContent)
}

// Guards against tombstones that grow without bound, and against a delta that
// lacks removals whose tombstones were dropped.
func TestTombstonesAreBounded(t *testing.T) {
	s := newFakeStore()
	var version uint64
	publish := func(contents ...string) {
		step := s.publish(NewPublish(entriesOf(contents...), version, fmt.Sprint("c", version)), nil)
		require.NoError(t, step.Err)
		version = step.Version
	}
	many := make([]string, maxTombstones+20)
	for i := range many {
		many[i] = fmt.Sprint(i)
	}
	publish(many...)
	behind := s.startReplica(1)
	for len(many) > 1 {
		many = many[:len(many)-2+len(many)%2]
		publish(many...)
		if len(many)%2 == 0 {
			many = many[:len(many)-1]
		}
	}
	v := s.startReplica(2)
	require.LessOrEqual(t, len(v.content)-len(v.Entries()), maxTombstones+1)
	require.NotZero(t, v.content.horizon())
	vms := map[string]*Replica{"new": v, "behind": behind}
	require.True(t, exchange(start, vms, "behind", behind.PeerVersion(start, "new", version)))
	require.Equal(t, contentsOf(v.Entries()), contentsOf(behind.Entries()))
	require.Equal(t, v.Digest(), behind.Digest())
	from, _ := v.content.changedSince(v.content.horizon() - 1)
	require.Zero(t, from)
	from, entries := v.content.changedSince(v.content.horizon())
	require.Equal(t, v.content.horizon(), from)
	require.NotEmpty(t, entries)
}
