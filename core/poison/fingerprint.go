// Package poison keeps requests that crash backend servers away from them.
//
// It answers the load of one request that comes again and again, at any VM, and ends
// each server that runs it, together with the other requests in progress there.
package poison

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"strings"
)

// Fingerprint identifies requests that a server may handle alike. It is a
// cryptographic hash, so that no caller can make requests that have the fingerprint of
// another client account's.
type Fingerprint [16]byte

// Content is what the fingerprints of a request depend on.
type Content struct {
	Method, Host, Target string
	// Route is the name of the route.
	Route string
	// Account is the client account of the caller; empty for anonymous callers.
	Account string
	Body    []byte
}

// Fingerprints identify one request: by all of its content, without query and body, and by
// route and client account alone. The latter two recognize a caller that varies its
// requests.
type Fingerprints [3]Fingerprint

// Exact returns the fingerprint of the whole content.
func (f Fingerprints) Exact() Fingerprint { return f[0] }

// variant tells the requests apart that have a less exact fingerprint in common.
func (f Fingerprints) variant() uint32 { return binary.LittleEndian.Uint32(f[0][:]) | 1 }

// Fingerprints returns the fingerprints of requests with this content.
func (c Content) Fingerprints() Fingerprints {
	path, _, _ := strings.Cut(c.Target, "?")
	return Fingerprints{
		fingerprint("content", c.Body, c.Method, c.Host, c.Target, c.Account),
		fingerprint("path", nil, c.Method, c.Host, path, c.Account),
		fingerprint("route", nil, c.Route, c.Account),
	}
}

// fingerprint hashes a kind and parts, each with its length, and a body.
func fingerprint(kind string, body []byte, parts ...string) Fingerprint {
	hash := sha256.New()
	var length [8]byte
	for _, part := range append([]string{kind}, parts...) {
		binary.LittleEndian.PutUint64(length[:], uint64(len(part)))
		hash.Write(length[:])
		hash.Write([]byte(part))
	}
	hash.Write(body)
	return Fingerprint(hash.Sum(nil)[:len(Fingerprint{})])
}

// String returns the fingerprint as text for logs and rows of the store.
func (f Fingerprint) String() string { return base64.RawURLEncoding.EncodeToString(f[:]) }
