package soak

import (
	"context"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// program builds the program under test.
func program(t *testing.T) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "cassiawind")
	out, err := exec.Command("go", "build", "-o", binary, "github.com/cassiawind/cassiawind/cassiawind").CombinedOutput()
	require.NoError(t, err, string(out))
	return binary
}

// Guards against a release that breaks a promise under faults: one short run of
// the real processes. Longer runs with fresh seeds are `make soak`.
func TestShortSoak(t *testing.T) {
	found, err := Run(context.Background(), Options{Binary: program(t), Folder: t.TempDir(), Seed: 1, FaultPeriod: 4 * time.Second})
	require.NoError(t, err)
	require.Empty(t, found)
}

// Guards against a plan that another run of the same seed does not repeat.
func TestPlanIsDeterministic(t *testing.T) {
	require.Equal(t, Plan(7, 20*time.Second, gateways, servers), Plan(7, 20*time.Second, gateways, servers))
	require.NotEqual(t, Plan(7, 20*time.Second, gateways, servers), Plan(8, 20*time.Second, gateways, servers))
	seen := make(map[Kind]bool)
	for seed := range uint64(50) {
		for _, e := range Plan(seed, 20*time.Second, gateways, servers) {
			seen[e.Kind] = true
		}
	}
	require.Len(t, seen, len(kinds)+len(linkKinds), "every kind of fault is drawn")
}

// checked returns what the checks find in a made-up history.
func checked(outcomes []outcome, runs map[string][]run, history ...fact) []string {
	w := &world{
		answers: &answers{all: outcomes}, ledger: &ledger{runs: runs}, history: history,
		nodes: []*node{{ip: "127.0.0.1"}},
	}
	return w.check()
}

// Guards against checks that find nothing: each broken promise is made up and
// must be told.
func TestChecksFindBrokenPromises(t *testing.T) {
	now := time.Now()
	good := outcome{id: "a", account: "free", path: "/x", sent: now, done: now, status: 200, sealed: true, whole: true, to: "127.0.0.1:8206", key: "k"}
	ran := run{at: now, server: "s", zone: "z", account: "free", path: "/x"}
	with := func(change func(o *outcome, r *run)) ([]outcome, map[string][]run) {
		o, r := good, ran
		change(&o, &r)
		return []outcome{o, {id: "b", account: "free", path: "/x", sent: now, done: now, status: 404}}, map[string][]run{"a": {r}}
	}
	require.Empty(t, checked([]outcome{good}, map[string][]run{"a": {ran}}))

	cases := map[string]struct {
		change  func(o *outcome, r *run)
		history []fact
		says    string
	}{
		"false refusal": {func(o *outcome, _ *run) { o.once, o.status = true, 503 }, nil, "did not run"},
		"foreign body":  {func(o *outcome, _ *run) { o.whole = false }, nil, "own whole answer"},
		"no seal":       {func(o *outcome, _ *run) { o.sealed = false }, nil, "own whole answer"},
		"key":           {func(_ *outcome, r *run) { r.key = true }, nil, "the key of request"},
		"account":       {func(_ *outcome, r *run) { r.account = "other" }, nil, "ran for account"},
		"target":        {func(_ *outcome, r *run) { r.path = "/y" }, nil, "with target"},
		"withdrawn": {func(*outcome, *run) {}, []fact{{kind: WithdrawKey, key: "k", from: now.Add(-time.Minute)}},
			"key was withdrawn"},
		"evacuated": {func(*outcome, *run) {}, []fact{{kind: Evacuate, zone: "z", from: now.Add(-time.Minute)}},
			"after its evacuation"},
		"left": {func(*outcome, *run) {}, []fact{{kind: ServerDrains, server: "s", from: now.Add(-time.Minute)}},
			"said that it leaves"},
		"cut": {func(o *outcome, _ *run) { o.broken = true }, []fact{{kind: PlannedStop, from: now.Add(-time.Second)}},
			"planned stop"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			outcomes, runs := with(c.change)
			found := checked(outcomes, runs, c.history...)
			require.NotEmpty(t, found)
			require.Contains(t, found[0], c.says)
		})
	}
	once := good
	once.once = true
	require.Contains(t, checked([]outcome{once}, map[string][]run{"a": {ran, ran}})[0], "ran 2 times")
	require.Contains(t, checked([]outcome{good}, map[string][]run{"a": {ran}, "z": {ran}})[0], "nobody sent")

	var many []run
	for i := range 300 {
		many = append(many, run{at: now.Add(time.Duration(i) * time.Millisecond), account: limited, path: "/x"})
	}
	found := checked([]outcome{{id: "m", account: limited, path: "/x", status: 200, sealed: true, whole: true, done: now}}, map[string][]run{"m": many})
	require.Contains(t, found[0], "the limited account ran 300 requests within 5s")
	require.Contains(t, found[0], "284 are allowed")
	require.Contains(t, checked(nil, nil)[0], "0 of 0 requests were served")
}
