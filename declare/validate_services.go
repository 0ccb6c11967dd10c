package declare

import (
	"fmt"
	"net/http"
	"path"
	"slices"
	"strings"
)

const (
	suffixServers              = ".backend_servers"
	suffixServerFormat         = ".backend_servers[%d].%s"
	partName                   = "name"
	partAddress                = "address"
	partRegion                 = "region"
	partFailureDomain          = "failure_domain"
	partSlots                  = "slots"
	partConnections            = "connections"
	allowedSomeServers         = "at least one backend server"
	allowedServerOnce          = "a backend server that is declared once; service %s has it too"
	allowedAddressOnce         = "an address of one backend server; %s has it too"
	allowedDomainOfRegion      = "a failure domain of region %s"
	allowedIntegerRange        = "an integer from 1 to %d"
	allowedDeadline            = "1 to %d milliseconds"
	suffixService              = ".service"
	suffixDeadline             = ".deadline_ms"
	suffixPathPrefix           = ".path_prefix"
	suffixMethodFormat         = ".methods[%d]"
	suffixIdempotent           = ".idempotent"
	allowedService             = "the name of a declared service"
	allowedPathPrefix          = "a clean absolute path of at most 1024 visible ASCII characters without query or fragment"
	allowedUnreserved          = "a prefix outside /v1/locate, which the entry VMs answer themselves"
	allowedMethod              = "one of %s, once"
	allowedRouteOnce           = "one route for each path prefix and method; route %s covers %s too"
	allowedOpenIdempotent      = "true for an open route, because at-most-once records belong to a client account"
	anyMethod                  = "every method"
	reservedPath               = "/v1/locate"
	pathSeparator              = "/"
	forbiddenPathBytes         = "?#%\\\""
	maxPathPrefix              = 1024
	firstVisible          byte = '!'
	lastVisible           byte = '~'
)

func (k *checker) checkServices() {
	k.servers = map[string]bool{}
	owner := map[string]string{}
	address := map[string]string{}
	for i, s := range k.config.Services {
		if len(s.BackendServers) == 0 {
			k.add(listServices, i, suffixServers, ErrMissing, emptyValueText, allowedSomeServers)
		}
		for n, b := range s.BackendServers {
			at := func(part string) string { return fmt.Sprintf(suffixServerFormat, n, part) }
			k.checkServer(i, at, b)
			if service, seen := owner[b.Name]; seen {
				k.add(listServices, i, at(partName), ErrDuplicate, b.Name, fmt.Sprintf(allowedServerOnce, service))
			}
			if server, seen := address[b.Address]; seen {
				k.add(listServices, i, at(partAddress), ErrDuplicate, b.Address, fmt.Sprintf(allowedAddressOnce, server))
			}
			owner[b.Name], address[b.Address] = s.Name, b.Name
			k.servers[b.Name] = true
		}
	}
}

func (k *checker) checkServer(i int, at func(string) string, b BackendServer) {
	k.name(listServices, i, at(partName), b.Name)
	if !validAddress(b.Address) {
		k.add(listServices, i, at(partAddress), ErrMalformed, b.Address, allowedAddress)
	}
	k.known(listServices, i, at(partRegion), b.Region, k.regions, allowedRegion)
	if region, ok := k.domains[b.FailureDomain]; !ok || region != b.Region {
		k.add(listServices, i, at(partFailureDomain), ErrUndeclared, b.FailureDomain, fmt.Sprintf(allowedDomainOfRegion, b.Region))
	}
	k.integer(listServices, i, at(partSlots), b.Slots, maxSlots)
	k.integer(listServices, i, at(partConnections), b.Connections, maxConnections)
}

// integer reports an integer outside 1 to high.
func (k *checker) integer(l list, i int, suffix string, value, high int) {
	if value < 1 || value > high {
		k.add(l, i, suffix, ErrOutOfRange, value, fmt.Sprintf(allowedIntegerRange, high))
	}
}

var methods = []string{
	http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut,
	http.MethodPatch, http.MethodDelete, http.MethodOptions,
}

// routeKey is a path prefix with one method, or with all methods if empty.
type routeKey struct{ prefix, method string }

func (k *checker) checkRoutes() {
	taken := map[routeKey]string{}
	for i, r := range k.config.Routes {
		k.known(listRoutes, i, suffixService, r.Service, k.services, allowedService)
		if r.DeadlineMS < 1 || r.DeadlineMS > MaxDeadlineMS {
			k.add(listRoutes, i, suffixDeadline, ErrOutOfRange, r.DeadlineMS, fmt.Sprintf(allowedDeadline, MaxDeadlineMS))
		}
		if r.Open && !r.Idempotent {
			k.add(listRoutes, i, suffixIdempotent, ErrContradiction, r.Idempotent, allowedOpenIdempotent)
		}
		k.checkPathPrefix(i, r.PathPrefix)
		k.checkMethods(i, r, taken)
	}
}

func (k *checker) checkPathPrefix(i int, prefix string) {
	if !validPathPrefix(prefix) {
		k.add(listRoutes, i, suffixPathPrefix, ErrMalformed, prefix, allowedPathPrefix)
	}
	if prefix == reservedPath || strings.HasPrefix(prefix, reservedPath+pathSeparator) {
		k.add(listRoutes, i, suffixPathPrefix, ErrContradiction, prefix, allowedUnreserved)
	}
}

func validPathPrefix(prefix string) bool {
	if len(prefix) > maxPathPrefix || !strings.HasPrefix(prefix, pathSeparator) || strings.ContainsAny(prefix, forbiddenPathBytes) {
		return false
	}
	for i := range len(prefix) {
		if prefix[i] < firstVisible || prefix[i] > lastVisible {
			return false
		}
	}
	return prefix == pathSeparator || path.Clean(prefix) == strings.TrimSuffix(prefix, pathSeparator)
}

// checkMethods checks the methods of a route and that no other route has the
// same path prefix for one of them. A route without methods covers them all and
// may stand beside routes for single methods, which take precedence.
func (k *checker) checkMethods(i int, r Route, taken map[routeKey]string) {
	allowed := fmt.Sprintf(allowedMethod, strings.Join(methods, listSeparator))
	for n, m := range r.Methods {
		suffix := fmt.Sprintf(suffixMethodFormat, n)
		if !slices.Contains(methods, m) || slices.Contains(r.Methods[:n], m) {
			k.add(listRoutes, i, suffix, ErrMalformed, m, allowed)
			continue
		}
		k.takeRoute(i, suffix, routeKey{prefix: r.PathPrefix, method: m}, r.Name, taken)
	}
	if len(r.Methods) == 0 {
		k.takeRoute(i, suffixPathPrefix, routeKey{prefix: r.PathPrefix}, r.Name, taken)
	}
}

func (k *checker) takeRoute(i int, suffix string, key routeKey, name string, taken map[routeKey]string) {
	other, seen := taken[key]
	if !seen {
		taken[key] = name
		return
	}
	shown := key.method
	if shown == "" {
		shown = anyMethod
	}
	k.add(listRoutes, i, suffix, ErrDuplicate, key.prefix, fmt.Sprintf(allowedRouteOnce, other, shown))
}
