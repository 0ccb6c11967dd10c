package bodies

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"
)

// Guards against bodies that lose bytes, and against a part that is taken for the whole.
func TestRead(t *testing.T) {
	for _, size := range []int{0, 1, minBytes, minBytes + 1, maxTrusted - 1, maxTrusted, maxTrusted + 1, 5<<20 + 3} {
		sent := bytes.Repeat([]byte("0123456789"), size/10+1)[:size]
		for _, announced := range []int64{-1, int64(size)} {
			got, err := Read(iotest.HalfReader(bytes.NewReader(sent)), announced)
			require.NoError(t, err)
			require.True(t, bytes.Equal(sent, got), "%d bytes, %d announced", size, announced)
		}
		_, err := Read(bytes.NewReader(sent), int64(size)+1)
		require.ErrorIs(t, err, io.ErrUnexpectedEOF)
	}
	_, err := Read(iotest.TimeoutReader(iotest.OneByteReader(strings.NewReader("abc"))), 3)
	require.ErrorIs(t, err, iotest.ErrTimeout)
}

// Guards against a body of 62 MiB that takes several times its length, and against memory
// for an announced length that is not sent.
func TestMemoryOfLongBodies(t *testing.T) {
	const size = 62 << 20
	got, err := Read(io.LimitReader(zeros{}, size), size)
	require.NoError(t, err)
	require.Equal(t, size, cap(got))
	got, err = Read(strings.NewReader("x"), size)
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
	require.LessOrEqual(t, cap(got), maxTrusted)
}

// zeros is an endless reader.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) { return len(p), nil }
