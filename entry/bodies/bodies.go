// Package bodies reads the bodies of requests and responses with little more memory than
// they have bytes.
package bodies

import (
	"encoding/json"
	"io"

	"github.com/pkg/errors"
)

const (
	// minBytes is the memory that is allocated first for a body of unknown length, and
	// maxTrusted that for one whose length is announced: the sender may not send it.
	minBytes   = 512
	maxTrusted = 1 << 20
)

// Read reads a body to its end. announced is its length, or -1 if that is not known. A body
// that ends before its announced length is an error of type io.ErrUnexpectedEOF.
func Read(r io.Reader, announced int64) ([]byte, error) {
	buf := make([]byte, 0, max(minBytes, min(announced, maxTrusted)))
	for {
		if int64(len(buf)) == announced {
			return buf, nil
		}
		if len(buf) == cap(buf) {
			buf = grow(buf, announced)
		}
		n, err := r.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		switch {
		case err != nil && err != io.EOF:
			return buf, err
		case int64(len(buf)) == announced:
			return buf, nil
		case err == io.EOF && announced >= 0:
			return buf, io.ErrUnexpectedEOF
		case err == io.EOF:
			return buf, nil
		}
	}
}

// grow returns the bytes with twice the memory, or with that of the announced length if this
// suffices for it.
func grow(buf []byte, announced int64) []byte {
	size := int64(2 * cap(buf))
	if announced >= 0 {
		size = min(size, announced)
	}
	larger := make([]byte, len(buf), size)
	copy(larger, buf)
	return larger
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
