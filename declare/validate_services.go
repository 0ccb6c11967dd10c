package declare

import (
	"fmt"
	"net/http"
	"path"
	"slices"
	"strings"
)

const (
	suffixServers                   = ".backend_servers"
	suffixServerFormat              = ".backend_servers[%d].%s"
	fieldName                       = "name"
	fieldAddress                    = "address"
	fieldRegion                     = "region"
	fieldFailureDomain              = "failure_domain"
	fieldSlots                      = "slots"
	fieldConnections                = "connections"
	allowedServers                  = "at least one backend server"
	allowedUniqueServer             = "a backend server that is declared once; it is also declared in service %s"
	allowedUniqueServerAddress      = "a unique address; backend server %s has the same one"
	allowedDomainOfRegion           = "a failure domain of region %s"
	allowedIntegerRange             = "an integer from 1 to %d"
	allowedDeadline                 = "1 to %d milliseconds"
	suffixService                   = ".service"
	suffixDeadline                  = ".deadline_ms"
	suffixPathPrefix                = ".path_prefix"
	suffixMethodFormat              = ".methods[%d]"
	suffixIdempotent                = ".idempotent"
	allowedService                  = "the name of a declared service"
	allowedPathPrefix               = "a clean absolute path of at most 1024 visible ASCII characters without query or fragment"
	allowedUnreserved               = "a prefix outside /v1/locate, which the entry VMs answer themselves"
	allowedMethod                   = "one of %s, once"
	allowedUniqueRoute              = "one route for each path prefix and method; route %s also covers %s"
	allowedOpenIdempotent           = "true for an open route, because at-most-once records belong to a client account"
	allMethodsText                  = "every method"
	lookupPath                      = "/v1/locate"
	pathSeparator                   = "/"
	forbiddenPathBytes              = "?#%\\\""
	maxPathPrefix                   = 1024
	firstVisible               byte = '!'
	lastVisible                byte = '~'
)

func (k *checker) checkServices() {
	k.servers = map[string]bool{}
	serviceOf := map[string]string{}
	serverAt := map[string]string{}
	for i, s := range k.config.Services {
		if len(s.BackendServers) == 0 {
			k.addError(listServices, i, suffixServers, ErrMissing, emptyValueText, allowedServers)
		}
		for n, b := range s.BackendServers {
			suffix := func(part string) string { return fmt.Sprintf(suffixServerFormat, n, part) }
			k.checkServer(i, suffix, b)
			if service, seen := serviceOf[b.Name]; seen {
				k.addError(listServices, i, suffix(fieldName), ErrDuplicate, b.Name, fmt.Sprintf(allowedUniqueServer, service))
			}
			if server, seen := serverAt[b.Address]; seen {
				k.addError(listServices, i, suffix(fieldAddress), ErrDuplicate, b.Address, fmt.Sprintf(allowedUniqueServerAddress, server))
			}
			serviceOf[b.Name], serverAt[b.Address] = s.Name, b.Name
			k.servers[b.Name] = true
		}
	}
}

func (k *checker) checkServer(i int, suffix func(string) string, b BackendServer) {
	k.checkName(listServices, i, suffix(fieldName), b.Name)
	if !validAddress(b.Address) {
		k.addError(listServices, i, suffix(fieldAddress), ErrMalformed, b.Address, allowedAddress)
	}
	k.checkReference(listServices, i, suffix(fieldRegion), b.Region, k.regions, allowedRegion)
	if region, ok := k.domains[b.FailureDomain]; !ok || region != b.Region {
		k.addError(listServices, i, suffix(fieldFailureDomain), ErrUndeclared, b.FailureDomain, fmt.Sprintf(allowedDomainOfRegion, b.Region))
	}
	k.checkInteger(listServices, i, suffix(fieldSlots), b.Slots, maxSlots)
	k.checkInteger(listServices, i, suffix(fieldConnections), b.Connections, maxConnections)
}

// checkInteger reports an integer outside the range from 1 to high.
func (k *checker) checkInteger(l list, i int, suffix string, value, high int) {
	if value < 1 || value > high {
		k.addError(l, i, suffix, ErrOutOfRange, value, fmt.Sprintf(allowedIntegerRange, high))
	}
}

var methods = []string{
	http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut,
	http.MethodPatch, http.MethodDelete, http.MethodOptions,
}

// routeKey is a path prefix with one method. The method is empty for a route
// that covers all methods.
type routeKey struct{ prefix, method string }

func (k *checker) checkRoutes() {
	claimed := map[routeKey]string{}
	for i, r := range k.config.Routes {
		k.checkReference(listRoutes, i, suffixService, r.Service, k.services, allowedService)
		if r.DeadlineMS < 1 || r.DeadlineMS > MaxDeadlineMS {
			k.addError(listRoutes, i, suffixDeadline, ErrOutOfRange, r.DeadlineMS, fmt.Sprintf(allowedDeadline, MaxDeadlineMS))
		}
		if r.Open && !r.Idempotent {
			k.addError(listRoutes, i, suffixIdempotent, ErrContradiction, r.Idempotent, allowedOpenIdempotent)
		}
		k.checkPathPrefix(i, r.PathPrefix)
		k.checkMethods(i, r, claimed)
	}
}

func (k *checker) checkPathPrefix(i int, prefix string) {
	if !validPathPrefix(prefix) {
		k.addError(listRoutes, i, suffixPathPrefix, ErrMalformed, prefix, allowedPathPrefix)
	}
	if prefix == lookupPath || strings.HasPrefix(prefix, lookupPath+pathSeparator) {
		k.addError(listRoutes, i, suffixPathPrefix, ErrContradiction, prefix, allowedUnreserved)
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
// same path prefix for one of them. A route without methods covers all methods.
// It may be declared beside routes for single methods, which take precedence.
func (k *checker) checkMethods(i int, r Route, claimed map[routeKey]string) {
	allowed := fmt.Sprintf(allowedMethod, strings.Join(methods, listSeparator))
	for n, m := range r.Methods {
		suffix := fmt.Sprintf(suffixMethodFormat, n)
		if !slices.Contains(methods, m) || slices.Contains(r.Methods[:n], m) {
			k.addError(listRoutes, i, suffix, ErrMalformed, m, allowed)
			continue
		}
		k.claimRoute(i, suffix, routeKey{prefix: r.PathPrefix, method: m}, r.Name, claimed)
	}
	if len(r.Methods) == 0 {
		k.claimRoute(i, suffixPathPrefix, routeKey{prefix: r.PathPrefix}, r.Name, claimed)
	}
}

func (k *checker) claimRoute(i int, suffix string, key routeKey, name string, claimed map[routeKey]string) {
	other, seen := claimed[key]
	if !seen {
		claimed[key] = name
		return
	}
	method := key.method
	if method == "" {
		method = allMethodsText
	}
	k.addError(listRoutes, i, suffix, ErrDuplicate, key.prefix, fmt.Sprintf(allowedUniqueRoute, other, method))
}
