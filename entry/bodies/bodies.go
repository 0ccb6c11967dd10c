// Package bodies reads the bodies of requests and responses with little more memory than
// they have bytes.
package bodies

import (
	"encoding/json"
	"io"
	"runtime"

	"github.com/pkg/errors"
)

const (
	// minBytes is the memory that is allocated first for a body of unknown length, and
	// maxTrusted that for one whose length is announced: the sender may not send it.
	minBytes   = 512
	maxTrusted = 1 << 20
	// yieldBytes is the length from which on a body leaves the processor to others after each read. A
	// sender that is faster than this process would keep it for milliseconds otherwise.
	yieldBytes = 64 << 10
)

// Errors of Read.
var (
	// ErrTooLarge means that a body is longer than it may be.
	ErrTooLarge = errors.New("body too large")
	// ErrMemoryFull means that the limits of the memory for bodies are reached.
	ErrMemoryFull = errors.New("too many bodies in memory")
)

// Read reads a body of at most limit bytes to its end. announced is its length, or -1 if that is not
// known. The memory of the returned body is that of the reservation, which is released if there is
// an error. A body that ends before its announced length is an error of type io.ErrUnexpectedEOF.
func Read(r io.Reader, announced, limit int64, reservation *Reservation) ([]byte, error) {
	body, err := read(r, announced, limit, reservation)
	if err != nil {
		reservation.Release()
		return nil, err
	}
	return body, nil
}

func read(r io.Reader, announced, limit int64, reservation *Reservation) ([]byte, error) {
	if announced > limit {
		return nil, ErrTooLarge
	}
	size := int64(minBytes)
	if announced >= 0 {
		size = min(announced, maxTrusted)
	}
	buf, err := grow(nil, min(size, limit), reservation)
	for err == nil {
		switch {
		case int64(len(buf)) == announced:
			return buf, nil
		case len(buf) == cap(buf):
			buf, err = readBeyond(r, buf, announced, limit, reservation)
		default:
			var n int
			n, err = r.Read(buf[len(buf):cap(buf)])
			buf = buf[:len(buf)+n]
		}
		if len(buf) >= yieldBytes {
			runtime.Gosched()
		}
	}
	switch {
	case err != io.EOF:
		return nil, err
	case announced >= 0 && int64(len(buf)) != announced:
		return nil, io.ErrUnexpectedEOF
	}
	return buf, nil
}

// readBeyond reads one byte more than the buffer holds, and makes a larger buffer if there is one.
func readBeyond(r io.Reader, buf []byte, announced, limit int64, reservation *Reservation) ([]byte, error) {
	var next [1]byte
	n, err := r.Read(next[:])
	if n == 0 {
		return buf, err
	}
	if int64(len(buf)) == limit {
		return buf, ErrTooLarge
	}
	size := min(2*int64(cap(buf)), limit)
	if announced >= 0 {
		size = min(size, announced)
	}
	larger, growErr := grow(buf, size, reservation)
	if growErr != nil {
		return buf, growErr
	}
	return append(larger, next[0]), err
}

// grow returns a buffer of a size with the bytes of an earlier one.
func grow(buf []byte, size int64, reservation *Reservation) ([]byte, error) {
	if !reservation.resize(size) {
		return buf, ErrMemoryFull
	}
	if len(buf) >= maxTrusted {
		growing.Lock()
		defer growing.Unlock()
	}
	larger := make([]byte, len(buf), size)
	copy(larger, buf)
	return larger, nil
}

// ErrTrailingData means that a body goes on after its JSON value.
var ErrTrailingData = errors.New("data after the JSON value")

// DecodeJSON decodes a body that consists of one JSON value. It reads the body to its end,
// because only there a broken one shows.
func DecodeJSON(r io.Reader, value any) error {
	decoder := json.NewDecoder(r)
	if err := decoder.Decode(value); err != nil {
		return err
	}
	switch _, err := decoder.Token(); err {
	case io.EOF:
		return nil
	case nil:
		return ErrTrailingData
	default:
		return err
	}
}
