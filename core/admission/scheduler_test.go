package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var epoch = time.Unix(1_700_000_000, 0)

// Guards against a free slot being withheld from a waiting request.
func TestReleaseAdmitsNext(t *testing.T) {
	s := New(Config{Slots: 1})
	require.Equal(t, Admitted, s.Offer(epoch, Request{ID: 1, Account: "a"}).Verdict)
	require.Equal(t, Queued, s.Offer(epoch, Request{ID: 2, Account: "a"}).Verdict)
	require.Equal(t, []uint64{2}, s.Release(epoch.Add(time.Millisecond), 1))
}
