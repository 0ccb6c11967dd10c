package declare

import (
	"net/netip"
	"regexp"
)

const (
	allowedName    = "1 to 63 lower-case letters, digits, dots, underscores and hyphens, beginning with a letter or digit"
	allowedAddress = "ip:port with a port from 1 to 65535"
)

// Names are used in table keys, limit names and metrics, so they are restricted
// to characters that need no escaping there.
var (
	namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)
	hashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

func validName(name string) bool { return namePattern.MatchString(name) }

func validHash(hash string) bool { return hashPattern.MatchString(hash) }

// validAddress accepts "ip:port". Host names are not allowed, because processes
// communicate by IP address.
func validAddress(address string) bool {
	a, err := netip.ParseAddrPort(address)
	return err == nil && a.Port() != 0
}
