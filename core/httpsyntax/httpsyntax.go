// Package httpsyntax rejects messages that net/http accepts although they are not valid
// HTTP/1.1 (RFC 9110, RFC 9112). A message that breaks the grammar in one place may be
// framed wrongly in another, so none of it is used.
package httpsyntax

import (
	"net/http"

	"github.com/pkg/errors"
	"golang.org/x/net/http/httpguts"
)

// ErrInvalid means that a message is not valid HTTP/1.1.
var ErrInvalid = errors.New("invalid HTTP message")

// Range of the status codes (RFC 9110, section 15).
const (
	minStatus      = 100
	minFinalStatus = 200
	maxStatus      = 599
)

// CheckStatus returns an error for a status that a final response cannot have. That includes
// 101, because no protocol is ever offered.
func CheckStatus(status int) error {
	if status < minFinalStatus || status > maxStatus {
		return errors.Wrapf(ErrInvalid, "status %03d", status)
	}
	return nil
}

// CheckFields returns an error for header or trailer fields with a name that is not a token, such
// as one with a blank, or a value with control characters.
func CheckFields(fields map[string][]string) error {
	for name, values := range fields {
		if !httpguts.ValidHeaderFieldName(name) {
			return errors.Wrapf(ErrInvalid, "field name %.60q", name)
		}
		for _, value := range values {
			if !httpguts.ValidHeaderFieldValue(value) {
				return errors.Wrapf(ErrInvalid, "value of field %.60q", name)
			}
		}
	}
	return nil
}

// CheckResponse checks the head of a final response that was read by net/http.
func CheckResponse(r *http.Response) error {
	if err := CheckStatus(r.StatusCode); err != nil {
		return err
	}
	if err := checkStatusLine(r); err != nil {
		return err
	}
	return CheckFields(r.Header)
}

// CheckInterimResponse checks a response with a status from 100 to 199 that was read by net/http.
func CheckInterimResponse(r *http.Response) error {
	if r.StatusCode < minStatus || r.StatusCode >= minFinalStatus || r.StatusCode == http.StatusSwitchingProtocols {
		return errors.Wrapf(ErrInvalid, "interim status %03d", r.StatusCode)
	}
	if err := checkStatusLine(r); err != nil {
		return err
	}
	return CheckFields(r.Header)
}

// errInterimOf10 means that a server uses a part of HTTP/1.1 that the version of its response does not
// have.
var errInterimOf10 = errors.Wrap(ErrInvalid, version10+" after an interim response")

// CheckAfterInterim checks a final response that follows interim responses.
func CheckAfterInterim(r *http.Response) error {
	if r.ProtoMajor == 1 && r.ProtoMinor == 0 {
		return errInterimOf10
	}
	return nil
}

// checkStatusLine checks the status line apart from the status.
func checkStatusLine(r *http.Response) error {
	if r.ProtoMajor != 1 {
		return errors.Wrapf(ErrInvalid, "version %q", r.Proto)
	}
	if !httpguts.ValidHeaderFieldValue(r.Status) {
		return errors.Wrap(ErrInvalid, "control character in the status line")
	}
	return nil
}
