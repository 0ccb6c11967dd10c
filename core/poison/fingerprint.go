// Package poison keeps requests that crash backend servers away from them.
//
// It answers the load of one request that comes again and again, at any VM, and ends
// each server that runs it, together with the other requests in progress there.
package poison

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
)

// Fingerprint identifies the requests that a server handles alike. It is a
// cryptographic hash, so that no caller can make requests that have the fingerprint of
// another client account's.
type Fingerprint [16]byte

// Content is what the fingerprint of a request depends on.
type Content struct {
	Method, Host, Target string
	// Account is the client account of the caller; empty for anonymous callers.
	Account string
	Body    []byte
}

// Fingerprint returns the fingerprint of requests with this content.
func (c Content) Fingerprint() Fingerprint {
	hash := sha256.New()
	var length [8]byte
	for _, part := range [...]string{c.Method, c.Host, c.Target, c.Account} {
		binary.LittleEndian.PutUint64(length[:], uint64(len(part)))
		hash.Write(length[:])
		hash.Write([]byte(part))
	}
	hash.Write(c.Body)
	return Fingerprint(hash.Sum(nil)[:len(Fingerprint{})])
}

// String returns the fingerprint as text for logs and rows of the store.
func (f Fingerprint) String() string { return base64.RawURLEncoding.EncodeToString(f[:]) }
