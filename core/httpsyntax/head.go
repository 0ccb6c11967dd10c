package httpsyntax

import (
	"bytes"
	"strings"

	"github.com/pkg/errors"
)

const (
	version10        = "HTTP/1.0"
	transferEncoding = "Transfer-Encoding"
)

// HeadRecorder keeps the head of an HTTP/1.0 message. net/http removes the Transfer-Encoding of such
// a message and reads the body without it, but the message is framed wrongly then (RFC 9112,
// section 6.1). The zero value records nothing.
type HeadRecorder struct {
	head []byte
	// mayBe10 reports whether the message may be an HTTP/1.0 message, by what was read of it; nil if
	// nothing is recorded.
	mayBe10 func(head []byte) bool
}

// BeginResponse starts to record a response of which the given bytes have been read.
func (h *HeadRecorder) BeginResponse(read []byte) {
	h.begin(read, func(head []byte) bool {
		n := min(len(head), len(version10))
		return string(head[:n]) == version10[:n]
	})
}

// BeginRequest starts to record a request of which the given bytes have been read.
func (h *HeadRecorder) BeginRequest(read []byte) {
	h.begin(read, func(head []byte) bool {
		line, _, complete := bytes.Cut(head, []byte("\n"))
		return !complete || bytes.HasSuffix(bytes.TrimSpace(line), []byte(version10))
	})
}

func (h *HeadRecorder) begin(read []byte, mayBe10 func([]byte) bool) {
	h.head, h.mayBe10 = nil, mayBe10
	h.Record(read)
}

// Record adds bytes that were read.
func (h *HeadRecorder) Record(read []byte) {
	if h.mayBe10 == nil {
		return
	}
	if len(h.head) == 0 && !h.mayBe10(read) {
		// Nothing is copied of most messages.
		h.mayBe10 = nil
		return
	}
	h.head = append(h.head, read[:min(len(read), maxHeadBytes-len(h.head))]...)
	if !h.mayBe10(h.head) {
		h.head, h.mayBe10 = nil, nil
	}
}

// End ends the recording. It returns an error if the message has the version HTTP/1.0 and a
// Transfer-Encoding.
func (h *HeadRecorder) End() error {
	head := h.head
	h.head, h.mayBe10 = nil, nil
	for line := range bytes.Lines(head) {
		name, _, isField := bytes.Cut(line, []byte(":"))
		switch {
		case len(bytes.TrimRight(line, "\r\n")) == 0:
			return nil
		case isField && strings.EqualFold(string(name), transferEncoding):
			return errors.Wrap(ErrInvalid, transferEncoding+" with "+version10)
		}
	}
	return nil
}
