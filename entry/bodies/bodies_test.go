package bodies

import (
	"bytes"
	"io"
	"math"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"
)

// readWith reads a body into a memory of its own.
func readWith(r io.Reader, announced, memoryBytes int64) ([]byte, error) {
	memory := NewMemory(Limits{Total: memoryBytes, PerSource: memoryBytes})
	return Read(r, announced, math.MaxInt64, memory.Reserve("s"))
}

// Guards against bodies that lose bytes, and against a part that is taken for the whole.
func TestRead(t *testing.T) {
	for _, size := range []int{0, 1, minBytes, minBytes + 1, maxTrusted - 1, maxTrusted, maxTrusted + 1, 5<<20 + 3} {
		sent := bytes.Repeat([]byte("0123456789"), size/10+1)[:size]
		for _, announced := range []int64{-1, int64(size)} {
			got, err := readWith(iotest.HalfReader(bytes.NewReader(sent)), announced, math.MaxInt64)
			require.NoError(t, err)
			require.True(t, bytes.Equal(sent, got), "%d bytes, %d announced", size, announced)
		}
		_, err := readWith(bytes.NewReader(sent), int64(size)+1, math.MaxInt64)
		require.ErrorIs(t, err, io.ErrUnexpectedEOF)
	}
	_, err := readWith(iotest.TimeoutReader(iotest.OneByteReader(strings.NewReader("abc"))), 3, math.MaxInt64)
	require.ErrorIs(t, err, iotest.ErrTimeout)
}

// Guards against a body of 62 MiB that takes several times its length, and against memory
// for an announced length that is not sent.
func TestMemoryOfLongBodies(t *testing.T) {
	const size = 62 << 20
	got, err := readWith(io.LimitReader(zeros{}, size), size, size)
	require.NoError(t, err)
	require.Equal(t, size, cap(got))
	_, err = readWith(strings.NewReader("x"), size, maxTrusted)
	require.ErrorIs(t, err, io.ErrUnexpectedEOF, "no more is reserved than is trusted")
}

// Guards against bodies that take more memory than is counted, and against a body of the largest
// length that is rejected because a larger buffer for it would not fit.
func TestMemoryIsThatOfTheBuffers(t *testing.T) {
	for _, announced := range []int64{-1, 5 << 20} {
		memory := NewMemory(Limits{Total: 5 << 20, PerSource: 5 << 20})
		reservation := memory.Reserve("s")
		got, err := Read(io.LimitReader(zeros{}, 5<<20), announced, 5<<20, reservation)
		require.NoError(t, err)
		require.Len(t, got, 5<<20)
		require.Equal(t, int64(cap(got)), memory.Used())
		_, err = Read(strings.NewReader("x"), 1, 5<<20, memory.Reserve("t"))
		require.ErrorIs(t, err, ErrMemoryFull)
		reservation.Release()
		reservation.Release()
		require.Zero(t, memory.Used())
		_, err = Read(zeros{}, -1, 5<<20, memory.Reserve("s"))
		require.ErrorIs(t, err, ErrTooLarge)
		require.Zero(t, memory.Used())
	}
}

// Guards against bodies of one source that leave no memory for those of others.
func TestOneSourceLeavesMemoryToOthers(t *testing.T) {
	memory := NewMemory(Limits{Total: 8 << 20, PerSource: 6 << 20, ShortReserve: 3 << 20, Uncounted: 16 << 10})
	fill := func(size int64) {
		for range 20 {
			// Endless bodies stay in memory until they are too large or there is no more.
			_, _ = Read(io.LimitReader(zeros{}, size), size, 32<<20, memory.Reserve("endless"))
		}
	}
	fill(3 << 20 / 2)
	require.Equal(t, int64(3<<20), memory.Used(), "long bodies leave memory to short ones")
	fill(1 << 20)
	require.Equal(t, int64(6<<20), memory.Used())
	var others []*Reservation
	for range 2 {
		reservation := memory.Reserve("other")
		_, err := Read(io.LimitReader(zeros{}, 1<<20), 1<<20, 32<<20, reservation)
		require.NoError(t, err)
		others = append(others, reservation)
	}
	_, err := Read(io.LimitReader(zeros{}, 1<<20), 1<<20, 32<<20, memory.Reserve("other"))
	require.ErrorIs(t, err, ErrMemoryFull)
	for range 100 {
		_, err := Read(io.LimitReader(zeros{}, 16<<10), -1, 32<<20, memory.Reserve("other"))
		require.NoError(t, err, "short bodies always fit")
	}
	for _, reservation := range others {
		reservation.Release()
	}
	require.Equal(t, int64(6<<20), memory.Used())
}

// zeros is an endless reader.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) { return len(p), nil }
