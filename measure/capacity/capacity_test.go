package capacity

import (
	"bytes"
	"encoding/json"
	"io"
	"math"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	peerv1 "github.com/cassiawind/cassiawind/peerapi/peer/v1"
)

func seriesPoints(points ...[2]float64) []Point {
	var out []Point
	for _, p := range points {
		out = append(out, Point{Series: leaseBytes, Size: p[0], Value: p[1]})
	}
	return out
}

// Guards against a slope, a base or an extrapolation that does not follow the
// points.
func TestSlopeOfALine(t *testing.T) {
	slopes := Slopes(seriesPoints([2]float64{4, 13}, [2]float64{11, 34}, [2]float64{64, 193}))
	require.Len(t, slopes, 1)
	assert.InDelta(t, 1, slopes[0].Base, 1e-9)
	assert.InDelta(t, 3, slopes[0].PerUnit, 1e-9)
	assert.InDelta(t, 12_301, slopes[0].Extrapolate(4100), 1e-6)
	assert.InDelta(t, 0, slopes[0].WorstResidual, 1e-9)
}

// Guards against a small residual for a figure that does not grow linearly.
func TestResidualShowsACurve(t *testing.T) {
	slopes := Slopes(seriesPoints([2]float64{10, 100}, [2]float64{20, 400}, [2]float64{40, 1600}))
	require.Len(t, slopes, 1)
	assert.Greater(t, slopes[0].WorstResidual, 0.05)
}

// Guards against a line through points of a single size, and against one line
// through points with different conditions.
func TestSlopesKeepConditionsApart(t *testing.T) {
	points := seriesPoints([2]float64{4, 1}, [2]float64{4, 2})
	assert.Empty(t, Slopes(points))
	other := points[1]
	other.Conditions, other.Size = atLoad, 8
	assert.Empty(t, Slopes(append(points, other)))
}

// Guards against wrong counts of heartbeats and acks, of which there is one each
// per peer and interval, and of their bytes.
func TestHeartbeatsAreCounted(t *testing.T) {
	r := NewRecorder(io.Discard)
	require.NoError(t, measureLease(r, []int{4}))
	values := map[Series]float64{}
	for _, p := range r.Points() {
		values[p.Series] = p.Value
	}
	// With ticks of 100 ms, an interval of 250 ms takes 300 ms.
	assert.InDelta(t, 3/0.3, values[leaseExchanges], 0.2)
	assert.InDelta(t, 2*values[leaseExchanges], values[leaseMessages], 0.2)
	assert.Greater(t, values[leaseFramingBytes], values[leaseBytes])
	assert.Positive(t, values[unitsHeldTime])
}

// Guards against a computed size of a batch that differs from its encoding.
func TestBatchSize(t *testing.T) {
	w := newWorld(2, 1)
	from, to := w.vms[0], w.vms[1]
	messages := []*peerv1.Message{heartbeat(3), heartbeat(200)}
	w.countBatch(from, to, messages)
	encoded, err := proto.Marshal(&peerv1.Batch{
		From: from.member, ToVm: to.member.Vm, ToIncarnation: to.member.Incarnation, Messages: messages,
	})
	require.NoError(t, err)
	assert.InDelta(t, len(encoded), w.bytes[componentFleet]+w.framingBytes, 0)
}

// Guards against bookings with other than two rows, the claim and the outcome, and
// against records that are not batched under load.
func TestRecordsOfBookings(t *testing.T) {
	r := NewRecorder(io.Discard)
	measureRecords(r, []int{11}, []int{10, 1000})
	for _, p := range r.Points() {
		switch {
		case p.Figure == bookingRows.Figure:
			assert.InDelta(t, 2, p.Value, 0.1)
		case p.Figure == bookingWrites.Figure && p.Size == 1000:
			assert.Less(t, p.Value, 0.5)
		case p.Figure == bookingRate.Figure:
			assert.LessOrEqual(t, p.Value, 1.05*recordsRate)
		}
	}
}

func smallSizes() Sizes {
	return Sizes{
		Members: []int{4, 5}, EpochMembers: []int{4, 11}, RestMembers: []int{4}, StartMembers: []int{4, 8},
		KillMembers: 5, KilledVMs: []int{1, 2},
		QuotaMembers: []int{4}, Limits: []int{2, 8}, PropagationVMs: []int{2, 4}, Files: []int{2, 10}, FileBytes: 100,
		TotalBlocks: []int{300, 1000}, FileBlocks: []int{10, 100}, ChangedBlocks: []int{1, 10}, LocateVMs: []int{4, 128},
		Hints: []int{0, 8}, Connections: []int{1, 4}, Servers: []int{2, 8}, DeclaredServers: []int{2, 8}, BookingVMs: []int{4}, BookingRates: []int{10, 100},
	}
}

// Guards against a measurement that fails, a value that is not a finite number, and
// output other than one JSON value a line followed by the table.
func TestRunAtSmallSizes(t *testing.T) {
	var out bytes.Buffer
	r := NewRecorder(&out)
	require.NoError(t, Run(r, smallSizes()))
	roles := map[string]bool{}
	for _, p := range r.Points() {
		roles[p.Role] = true
		assert.False(t, math.IsNaN(p.Value) || math.IsInf(p.Value, 0), p.Figure)
	}
	for _, role := range []string{
		roleLease, roleQuota, roleMembership, roleTable, roleConfig, roleLookup, roleTransport, roleHealth, roleOnce,
	} {
		assert.True(t, roles[role], role)
	}
	require.NoError(t, r.Write(&out))
	lines, table, found := strings.Cut(out.String(), strings.Fields(tableHeader)[0]+" ")
	require.True(t, found)
	for l := range strings.Lines(lines) {
		require.True(t, json.Valid([]byte(l)), l)
	}
	assert.Equal(t, len(Slopes(r.Points()))+1, strings.Count(table, "\n"))
}
