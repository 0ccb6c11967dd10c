package load

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var testAccount = Account{Name: "a", RatePerSecond: 10, Burst: 5}

func at(ms int) time.Time { return time.UnixMilli(int64(ms)) }

// burst returns n requests that are sent and answered at the same time.
func burst(n, ms int) []requestSpan {
	spans := make([]requestSpan, n)
	for i := range spans {
		spans[i] = requestSpan{sent: at(ms), answered: at(ms)}
	}
	return spans
}

// Guards against a check of the whole run only: a burst above the limit after an
// idle time must count as excess.
func TestEveryWindowIsChecked(t *testing.T) {
	schedule := newLimitSchedule(testAccount, nil)
	require.Zero(t, maxExcess(burst(5, 10_000), schedule))
	require.InDelta(t, 3, maxExcess(append(burst(1, 0), burst(8, 10_000)...), schedule), 1e-9)
	require.Zero(t, maxExcess(append(burst(5, 0), burst(5, 500)...), schedule))
	require.InDelta(t, 1, maxExcess(append(burst(5, 0), burst(6, 500)...), schedule), 1e-9)
}

// Guards against counting delays as excess: requests that were admitted one by one
// may be answered at the same time.
func TestDelayedResponsesAreNotExcess(t *testing.T) {
	var spans []requestSpan
	for i := range 50 {
		spans = append(spans, requestSpan{sent: at(100 * i), answered: at(10_000)})
	}
	require.Zero(t, maxExcess(spans, newLimitSchedule(testAccount, nil)))
}

// Guards against a lowered rate that is never checked and against false violations
// while the change propagates.
func TestLoweredRateAppliesAfterPropagation(t *testing.T) {
	lowered := Event{Event: EventRate, UnixMS: 10_000, EndUnixMS: 10_000, RatePerSecond: 1, Burst: 1}
	schedule := newLimitSchedule(testAccount, []Event{lowered})
	require.Zero(t, maxExcess(burst(5, 14_000), schedule))
	require.InDelta(t, 4, maxExcess(burst(5, 15_001), schedule), 1e-9)
}
