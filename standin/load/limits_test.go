package load

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var testAccount = Account{Name: "a", RatePerSecond: 10, Burst: 5}

func at(ms int) time.Time { return time.UnixMilli(int64(ms)) }

// burst returns n requests that are sent and answered at one moment.
func burst(n, ms int) []span {
	spans := make([]span, n)
	for i := range spans {
		spans[i] = span{sent: at(ms), answered: at(ms)}
	}
	return spans
}

// Guards against a check that sees only the whole run: a burst above the bucket
// after an idle time must count.
func TestEveryWindowIsChecked(t *testing.T) {
	e := newEnvelope(testAccount, nil)
	require.Zero(t, worstExcess(burst(5, 10_000), e))
	require.InDelta(t, 3, worstExcess(append(burst(1, 0), burst(8, 10_000)...), e), 1e-9)
	require.Zero(t, worstExcess(append(burst(5, 0), burst(5, 500)...), e))
	require.InDelta(t, 1, worstExcess(append(burst(5, 0), burst(6, 500)...), e), 1e-9)
}

// Guards against delays that look like an excess: requests that were admitted
// one by one may be answered at once.
func TestDelayedAnswersAreNotExcess(t *testing.T) {
	var spans []span
	for i := range 50 {
		spans = append(spans, span{sent: at(100 * i), answered: at(10_000)})
	}
	require.Zero(t, worstExcess(spans, newEnvelope(testAccount, nil)))
}

// Guards against a lowered rate that is never enforced, and against a false
// alarm while the change propagates.
func TestLoweredRateAppliesAfterPropagation(t *testing.T) {
	lowered := Event{Event: EventRate, UnixMS: 10_000, EndUnixMS: 10_000, RatePerSecond: 1, Burst: 1}
	e := newEnvelope(testAccount, []Event{lowered})
	require.Zero(t, worstExcess(burst(5, 14_000), e))
	require.InDelta(t, 4, worstExcess(burst(5, 15_001), e), 1e-9)
}
