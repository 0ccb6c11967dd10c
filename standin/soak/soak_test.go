package soak

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// buildBinary builds the program under test and returns its path.
func buildBinary(t *testing.T) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "cassiawind")
	output, err := exec.Command("go", "build", "-o", binary, "github.com/cassiawind/cassiawind/cassiawind").CombinedOutput()
	require.NoError(t, err, string(output))
	return binary
}

// requireNoViolations runs the plan of the options, or that of their seed, and fails the
// test if the checks find violations. The logs of the gateways are kept then.
func requireNoViolations(t *testing.T, options Options, message ...any) {
	t.Helper()
	folder, err := os.MkdirTemp("", "cassiawind-soak-")
	require.NoError(t, err)
	t.Cleanup(func() {
		if t.Failed() {
			t.Log("the logs of the gateways are in", folder)
			return
		}
		require.NoError(t, os.RemoveAll(folder))
	})
	options.Folder = folder
	violations, err := Run(context.Background(), options)
	require.NoError(t, err)
	require.Empty(t, violations, message...)
}

// Guards against gateways that violate a check under faults, in one short run of
// the real processes. `make soak` does longer runs with new seeds.
func TestShortSoak(t *testing.T) {
	requireNoViolations(t, Options{Binary: buildBinary(t), Seed: 1, FaultPeriod: 4 * time.Second})
}

// Guards against gateways that keep withdrawn keys, evacuated failure domains and
// leaving servers after the store was restored from an older copy, because its
// versions are lower than the ones that they know. The second restoration comes while
// the writers repeat what the first one lost.
func TestRestoredStore(t *testing.T) {
	plan := []Event{{Start: 5500 * time.Millisecond, Kind: StoreRestored, Target: 5, Duration: 4 * time.Second}}
	for i := range 12 {
		plan = append(plan, Event{Start: time.Duration(1500+300*i) * time.Millisecond, Kind: ConfigChange})
	}
	plan = append(plan,
		Event{Start: 5 * time.Second, Kind: Evacuate, Target: 1},
		Event{Start: 8500 * time.Millisecond, Kind: StoreRestored, Target: 1, Duration: 500 * time.Millisecond},
		Event{Start: 7500 * time.Millisecond, Kind: WithdrawKey},
		Event{Start: 7600 * time.Millisecond, Kind: Evacuate, Target: 2},
		Event{Start: 7700 * time.Millisecond, Kind: ServerDrains, Target: 0},
	)
	sortByStart(plan)
	requireNoViolations(t, Options{Binary: buildBinary(t), Seed: 2, Plan: plan})
}

// Guards against gateways that reject their callers while a restored store lacks the
// configuration and the servers that were written last.
func TestCallersAreServedAroundARestoration(t *testing.T) {
	t.Parallel()
	requireNoViolations(t, Options{Binary: buildBinary(t), Seed: 7, Plan: RestorationPlan()})
}

// Guards against servers that get more requests from all gateways together than the limit
// that they name, while gateways are stopped and started again, killed, suspended and lose
// the store.
func TestServersThatNameLimits(t *testing.T) {
	plan := []Event{
		{Start: time.Second, Kind: ServerLimits, Target: 0, Duration: 16 * time.Second},
		{Start: time.Second, Kind: ServerLimits, Target: 1, Duration: 8 * time.Second},
		{Start: 1500 * time.Millisecond, Kind: ServerLimits, Target: 2, Duration: 14 * time.Second},
		{Start: 2 * time.Second, Kind: ServerLimits, Target: 4, Duration: 13 * time.Second},
		{Start: 4 * time.Second, Kind: PlannedStop, Target: 0},
		{Start: 5 * time.Second, Kind: StoreUnavailable, Duration: 2 * time.Second},
		{Start: 6 * time.Second, Kind: Kill, Target: 1},
		{Start: 7 * time.Second, Kind: ConfigChange},
		{Start: 8 * time.Second, Kind: Pause, Target: 2, Duration: 2 * time.Second},
		{Start: 9 * time.Second, Kind: PlannedStop, Target: 3},
		{Start: 11 * time.Second, Kind: ServerSlow, Target: 2, Duration: 2 * time.Second},
	}
	requireNoViolations(t, Options{Binary: buildBinary(t), Seed: 3, Plan: plan})
}

// Guards against gateways that are cut from all backend servers and serve their callers
// worse than the others, run a booking twice or say that one did not run that has, while
// other gateways are cut, stopped and killed.
func TestGatewaysCutFromAllServers(t *testing.T) {
	plan := []Event{
		{Start: time.Second, Kind: GatewayCut, Target: 0, Duration: 9 * time.Second},
		{Start: 1500 * time.Millisecond, Kind: GatewayCut, Target: 1, Duration: 7 * time.Second},
		{Start: 3 * time.Second, Kind: PlannedStop, Target: 3},
		{Start: 7 * time.Second, Kind: ConfigChange},
		{Start: 11 * time.Second, Kind: GatewayCut, Target: 2, Duration: 6 * time.Second},
		{Start: 12 * time.Second, Kind: GatewayCut, Target: 3, Duration: 7 * time.Second},
		{Start: 18 * time.Second, Kind: GatewayCut, Target: 0, Duration: 2 * time.Second},
		{Start: 18 * time.Second, Kind: Kill, Target: 1},
	}
	requireNoViolations(t, Options{Binary: buildBinary(t), Seed: 4, Plan: plan})
}

// Guards against gateways that lose one server after the other to a request which comes
// again, while gateways are killed, all at once too, stopped and suspended, and while the
// store is away.
func TestRequestsThatCrashServers(t *testing.T) {
	t.Parallel()
	plan := []Event{
		{Start: time.Second, Kind: CrashingRequests, Target: 0, Duration: 14 * time.Second},
		{Start: 3 * time.Second, Kind: CrashingRequests, Target: 1, Duration: 12 * time.Second},
		{Start: 4 * time.Second, Kind: StoreUnavailable, Duration: time.Second},
		{Start: 6 * time.Second, Kind: Kill, Target: 0},
		{Start: 7 * time.Second, Kind: PlannedStop, Target: 1},
		{Start: 8 * time.Second, Kind: Pause, Target: 2, Duration: time.Second},
		{Start: 9 * time.Second, Kind: ConfigChange},
		{Start: 12 * time.Second, Kind: KillAll},
	}
	requireNoViolations(t, Options{Binary: buildBinary(t), Seed: 5, Plan: plan})
}

// Guards against gateways that go on sending to servers which leave or want no requests,
// while the store is away and gateways are stopped and killed.
func TestServersThatLeaveOrWantNoRequests(t *testing.T) {
	t.Parallel()
	plan := []Event{
		{Start: time.Second, Kind: ServerPauses, Target: 0, Duration: 5 * time.Second},
		{Start: 1500 * time.Millisecond, Kind: ServerPauses, Target: 4, Duration: 3 * time.Second},
		{Start: 2 * time.Second, Kind: StoreUnavailable, Duration: 4 * time.Second},
		{Start: 3 * time.Second, Kind: ServerDrains, Target: 1},
		{Start: 4 * time.Second, Kind: PlannedStop, Target: 1},
		{Start: 5 * time.Second, Kind: Kill, Target: 2},
		{Start: 7 * time.Second, Kind: ServerPauses, Target: 2, Duration: 2 * time.Second},
		{Start: 8 * time.Second, Kind: StoreRestored, Target: 4, Duration: time.Second},
	}
	requireNoViolations(t, Options{Binary: buildBinary(t), Seed: 6, Plan: plan})
}

// Guards against an upgrade or a downgrade that breaks a promise while gateways of both
// builds run side by side: each gateway is replaced as planned by the other build, one after
// the other, with faults around.
func TestBuildsSideBySide(t *testing.T) {
	t.Parallel()
	current, production := buildBinary(t), filepath.Join(t.TempDir(), "production")
	output, err := exec.Command("bash", "build-production", production).CombinedOutput()
	require.NoError(t, err, string(output))
	plan := []Event{
		{Start: 2 * time.Second, Kind: ConfigChange},
		{Start: 3 * time.Second, Kind: ServerDrains, Target: 0},
		{Start: 4 * time.Second, Kind: WithdrawKey},
		{Start: 5 * time.Second, Kind: StoreDropsHistory},
		{Start: 7 * time.Second, Kind: Kill, Target: 3},
		{Start: 9 * time.Second, Kind: ConfigChange},
	}
	for i, target := range []int{2, 0, 1, 3, 2, 0} {
		plan = append(plan, Event{Start: time.Duration(1000+1500*i) * time.Millisecond, Kind: Replace, Target: target})
	}
	sortByStart(plan)
	for name, options := range map[string]Options{
		"upgrade": {Binary: production, OtherBinary: current, Seed: 8, Plan: plan}, "downgrade": {Binary: current, OtherBinary: production, Seed: 9, Plan: plan},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			requireNoViolations(t, options)
		})
	}
}

// Guards against plans that differ between runs of the same seed.
func TestPlanIsDeterministic(t *testing.T) {
	require.Equal(t, Plan(7, 20*time.Second, gatewayCount, serverCount), Plan(7, 20*time.Second, gatewayCount, serverCount))
	require.NotEqual(t, Plan(7, 20*time.Second, gatewayCount, serverCount), Plan(8, 20*time.Second, gatewayCount, serverCount))
	drawn := make(map[Kind]bool)
	for seed := range uint64(50) {
		for _, e := range Plan(seed, 20*time.Second, gatewayCount, serverCount) {
			drawn[e.Kind] = true
		}
	}
	require.Len(t, drawn, len(kinds)+len(linkKinds)+6, "every kind of fault must be drawn")
}

// checkViolations returns the violations that the checks find in synthetic records.
func checkViolations(outcomes []outcome, executions map[string][]execution, faults ...appliedFault) []string {
	tb := &testbed{
		outcomes: &outcomeLog{list: outcomes}, executions: &executionLog{byID: executions}, faults: faults,
		gateways: []*gateway{{ip: "127.0.0.1"}},
	}
	return tb.check()
}

// Guards against checks that find nothing: each violation is constructed and must
// be reported.
func TestChecksFindBrokenPromises(t *testing.T) {
	now := time.Now()
	valid := outcome{id: "a", account: "free", path: "/x", sent: now, finished: now, status: 200, hasSeal: true, bodyMatches: true, gateway: "127.0.0.1:8206", key: "k"}
	executed := execution{at: now, server: "s", failureDomain: "z", account: "free", path: "/x"}
	modified := func(change func(o *outcome, r *execution)) ([]outcome, map[string][]execution) {
		o, r := valid, executed
		change(&o, &r)
		return []outcome{o, {id: "b", account: "free", path: "/x", sent: now, finished: now, status: 404}}, map[string][]execution{"a": {r}}
	}
	require.Empty(t, checkViolations([]outcome{valid}, map[string][]execution{"a": {executed}}))

	cases := map[string]struct {
		change func(o *outcome, r *execution)
		faults []appliedFault
		want   string
	}{
		"false rejection": {func(o *outcome, _ *execution) { o.atMostOnce, o.status = true, 503 }, nil, "did not run"},
		"foreign body":    {func(o *outcome, _ *execution) { o.bodyMatches = false }, nil, "own complete response"},
		"no seal":         {func(o *outcome, _ *execution) { o.hasSeal = false }, nil, "own complete response"},
		"key":             {func(_ *outcome, r *execution) { r.hasKey = true }, nil, "the key of request"},
		"account":         {func(_ *outcome, r *execution) { r.account = "other" }, nil, "ran for account"},
		"target":          {func(_ *outcome, r *execution) { r.path = "/y" }, nil, "with target"},
		"withdrawn": {func(*outcome, *execution) {}, []appliedFault{{kind: WithdrawKey, key: "k", start: now.Add(-time.Minute)}},
			"key was withdrawn"},
		"evacuated": {func(*outcome, *execution) {}, []appliedFault{{kind: Evacuate, failureDomain: "z", start: now.Add(-time.Minute)}},
			"after its evacuation"},
		"left": {func(*outcome, *execution) {}, []appliedFault{{kind: ServerDrains, server: "s", start: now.Add(-time.Minute)}},
			"the server began to drain"},
		"vanished": {func(*outcome, *execution) {}, []appliedFault{{kind: ServerVanishes, server: "s", start: now.Add(-time.Minute)}},
			"after its registration was removed"},
		"cut": {func(o *outcome, _ *execution) { o.connBroken = true }, []appliedFault{{kind: PlannedStop, start: now.Add(-time.Second)}},
			"planned stop"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			outcomes, executions := modified(c.change)
			violations := checkViolations(outcomes, executions, c.faults...)
			require.NotEmpty(t, violations)
			require.Contains(t, violations[0], c.want)
		})
	}
	atMostOnce := valid
	atMostOnce.atMostOnce = true
	require.Contains(t, checkViolations([]outcome{atMostOnce}, map[string][]execution{"a": {executed, executed}})[0], "ran 2 times")
	require.Contains(t, checkViolations([]outcome{valid}, map[string][]execution{"a": {executed}, "z": {executed}})[0], "no caller sent")

	var burst []execution
	for i := range 300 {
		burst = append(burst, execution{at: now.Add(time.Duration(i) * time.Millisecond), account: limitedAccount, path: "/x"})
	}
	violations := checkViolations([]outcome{{id: "m", account: limitedAccount, path: "/x", status: 200, hasSeal: true, bodyMatches: true, finished: now}}, map[string][]execution{"m": burst})
	require.Contains(t, violations[0], "the limited account ran 300 requests within 5s")
	require.Contains(t, violations[0], "284 are allowed")
	vanished := appliedFault{kind: ServerVanishes, server: "s", start: now.Add(-time.Minute)}
	outage := appliedFault{kind: StoreUnavailable, start: now.Add(-time.Minute), end: now.Add(-vanishBound + time.Second)}
	require.Empty(t, checkViolations([]outcome{valid}, map[string][]execution{"a": {executed}}, vanished, outage))
	outage.end = now.Add(-vanishBound - time.Second)
	require.NotEmpty(t, checkViolations([]outcome{valid}, map[string][]execution{"a": {executed}}, vanished, outage))
	cut := valid
	cut.connBroken = true
	stop := appliedFault{kind: PlannedStop, start: now.Add(-time.Second)}
	vanished.start = now.Add(-time.Second)
	require.Contains(t, checkViolations([]outcome{cut}, map[string][]execution{"a": {executed}}, vanished, stop)[0], "planned stop")
	limit := appliedFault{kind: ServerLimits, limitedServer: "s", limit: 2, start: now.Add(-limitSettleTime - time.Second), end: now.Add(time.Minute)}
	var arrivals []execution
	for i := range 18 {
		arrivals = append(arrivals, execution{at: now.Add(time.Duration(i) * time.Millisecond), server: "s", account: "free", path: "/x"})
	}
	require.Contains(t, checkViolations([]outcome{valid}, map[string][]execution{"a": arrivals}, limit)[0], "ran 18 requests within 4s")
	require.Contains(t, checkViolations([]outcome{valid}, map[string][]execution{"a": arrivals}, limit)[0], "17 are allowed")
	killed := appliedFault{kind: Kill, start: now.Add(-time.Second)}
	require.Empty(t, checkViolations([]outcome{valid}, map[string][]execution{"a": arrivals}, limit, killed))
	require.Contains(t, checkViolations(nil, nil)[0], "0 of 0 requests were served")
	told := valid
	told.leaving = "s@1"
	later := outcome{id: "l", account: "free", path: "/x", sent: now.Add(drainBound + time.Second), status: 200, hasSeal: true, bodyMatches: true, gateway: "127.0.0.1:8206"}
	ranLater := map[string][]execution{"a": {executed}, "l": {{at: later.sent, server: "s", start: "s@1", account: "free", path: "/x"}}}
	require.Contains(t, checkViolations([]outcome{told, later}, ranLater)[0], "had passed on that the server leaves")
	require.Empty(t, checkViolations([]outcome{told, later}, ranLater, appliedFault{kind: Kill, start: now, end: now}))
	crash := valid
	crash.path = "/look" + crashMarker + "1"
	var crashed []execution
	for i := range 7 {
		crashed = append(crashed, execution{at: now.Add(time.Duration(i) * 2 * crashNotice), server: "s", account: "free", path: crash.path})
	}
	require.Contains(t, checkViolations([]outcome{crash}, map[string][]execution{"a": crashed})[0], "reached servers 4 times more")
	require.Contains(t, checkViolations([]outcome{crash}, map[string][]execution{"a": crashed[:6]})[0], "was answered with 200")
	require.NotContains(t, checkViolations([]outcome{crash}, map[string][]execution{"a": crashed}, killed)[0], "reached servers")
}

// Guards against a check of pauses that finds nothing, and against one that counts a
// rejection which its gateway could not get.
func TestCheckOfPauses(t *testing.T) {
	asked := time.Now()
	arrivals := []pauseArrival{{at: asked, id: "asked", rejected: true}}
	sent := map[string]outcome{"asked": {id: "asked", gateway: "g", finished: asked.Add(time.Millisecond)}}
	for i := range maxPausedRequests + 1 {
		id := string(rune('a' + i))
		arrivals = append(arrivals, pauseArrival{at: asked.Add(pauseNotice + time.Duration(1+i)*time.Millisecond), id: id})
		sent[id] = outcome{id: id, gateway: "g"}
	}
	check := func() (violations []string) {
		tb := &testbed{pauses: &pauseLog{arrivals: map[string][]pauseArrival{"s": arrivals}}}
		tb.checkPauses(sent, func(format string, args ...any) { violations = append(violations, fmt.Sprintf(format, args...)) })
		return violations
	}
	require.Len(t, check(), 1)
	require.Contains(t, check()[0], "server s got 3 requests from gateway g in the pause")
	answered := sent["asked"]
	answered.finished = asked.Add(-time.Millisecond)
	sent["asked"] = answered
	require.Empty(t, check(), "the caller was answered before the request reached the server")
}
