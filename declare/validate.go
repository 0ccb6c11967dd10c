package declare

import (
	"fmt"
	"slices"
)

// checker checks a merged configuration and collects every error.
type checker struct {
	config  *Config
	origins origins
	errs    ValidationErrors
	// accounts, services, regions and servers are the declared names.
	accounts, services, regions, servers map[string]bool
	// domains maps each failure domain to its region.
	domains map[string]string
}

func validate(c *Config, o origins) ValidationErrors {
	k := &checker{config: c, origins: o, domains: map[string]string{}}
	k.accounts = k.checkNames(listAccounts, len(c.Accounts), func(i int) string { return c.Accounts[i].Name })
	k.services = k.checkNames(listServices, len(c.Services), func(i int) string { return c.Services[i].Name })
	k.regions = k.checkNames(listRegions, len(c.Regions), func(i int) string { return c.Regions[i].Name })
	k.checkNames(listKeys, len(c.Keys), func(i int) string { return c.Keys[i].Name })
	k.checkNames(listRoutes, len(c.Routes), func(i int) string { return c.Routes[i].Name })
	k.checkNames(listDrains, len(c.Drains), func(i int) string { return c.Drains[i].Name })
	k.checkAccounts()
	k.checkKeys()
	k.checkRegions()
	k.checkServices()
	k.checkRoutes()
	k.checkLinks()
	k.checkBlocks()
	k.checkReachable()
	k.checkDrains()
	return k.errs
}

const (
	suffixName    = ".name"
	allowedUnique = "a name that is declared once; it is also declared in %s at %s"
)

// checkNames checks the format and uniqueness of the names of a list and
// returns the names.
func (k *checker) checkNames(l list, n int, name func(int) string) map[string]bool {
	declared := make(map[string]bool, n)
	first := make(map[string]int, n)
	for i := range n {
		k.checkName(l, i, suffixName, name(i))
		k.checkUnique(l, i, suffixName, name(i), first)
		declared[name(i)] = true
	}
	return declared
}

// checkName checks the format of a declared name.
func (k *checker) checkName(l list, i int, suffix, name string) {
	if !validName(name) {
		k.addError(l, i, suffix, ErrMalformed, name, allowedName)
	}
}

// checkUnique reports a value that an earlier element of the list also has.
func (k *checker) checkUnique(l list, i int, suffix, value string, first map[string]int) {
	earlier, seen := first[value]
	if !seen {
		first[value] = i
		return
	}
	file, path := k.origins.locate(l, earlier, suffix)
	k.addError(l, i, suffix, ErrDuplicate, value, fmt.Sprintf(allowedUnique, file, path))
}

// checkReference reports a reference to a name that is not declared.
func (k *checker) checkReference(l list, i int, suffix, name string, names map[string]bool, allowed string) {
	if !names[name] {
		k.addError(l, i, suffix, ErrUndeclared, name, allowed)
	}
}

const allowedRange = "%v to %v"

// checkRange reports a number outside a closed range.
func (k *checker) checkRange(l list, i int, suffix string, value, low, high float64) {
	if !(value >= low && value <= high) {
		k.addError(l, i, suffix, ErrOutOfRange, value, fmt.Sprintf(allowedRange, low, high))
	}
}

func (k *checker) addError(l list, i int, suffix string, kind error, value any, allowed string) {
	file, path := k.origins.locate(l, i, suffix)
	k.errs = append(k.errs, &FieldError{Kind: kind, File: file, Field: path, Value: formatValue(value), Allowed: allowed})
}

// Ranges of the declared numbers.
const (
	minRatePerSecond = 0.001
	maxRatePerSecond = 1e8
	minBurst         = 1
	maxBurst         = 1e8
	minWeight        = 0.01
	maxWeight        = 1000
	minRamp          = 0.001
	maxRamp          = 1
	maxDelayMS       = 10_000
	maxSlots         = 1_000_000
	maxConnections   = 1_000_000
	// MaxDeadlineMS is the longest deadline of a route. A planned stop waits
	// this long for requests in flight, so that none is interrupted.
	MaxDeadlineMS = 40_000
)

const (
	suffixRate   = ".rate_per_second"
	suffixBurst  = ".burst"
	suffixWeight = ".weight"
)

func (k *checker) checkAccounts() {
	for i, a := range k.config.Accounts {
		k.checkRange(listAccounts, i, suffixRate, a.RatePerSecond, minRatePerSecond, maxRatePerSecond)
		k.checkRange(listAccounts, i, suffixBurst, a.Burst, minBurst, maxBurst)
		k.checkRange(listAccounts, i, suffixWeight, a.Weight, minWeight, maxWeight)
	}
}

const (
	suffixAccount       = ".account"
	suffixSHA256        = ".sha256"
	allowedAccount      = "the name of a declared account"
	allowedSHA256       = "64 lower-case hexadecimal digits, the SHA-256 of the key"
	allowedUniqueKey    = "a key that is declared once; it is also declared in %s at %s"
	allowedSingleOwner  = "a key of a single account; account %s also declares it, in %s at %s"
	hiddenDuplicateText = "(hash)"
)

func (k *checker) checkKeys() {
	first := make(map[string]int, len(k.config.Keys))
	for i, key := range k.config.Keys {
		k.checkReference(listKeys, i, suffixAccount, key.Account, k.accounts, allowedAccount)
		if !validHash(key.SHA256) {
			k.addKeyError(i, ErrMalformed, fmt.Sprintf(hiddenValueFormat, len(key.SHA256)), allowedSHA256)
			continue
		}
		earlier, seen := first[key.SHA256]
		if !seen {
			first[key.SHA256] = i
			continue
		}
		file, path := k.origins.locate(listKeys, earlier, suffixSHA256)
		allowed := fmt.Sprintf(allowedUniqueKey, file, path)
		if owner := k.config.Keys[earlier].Account; owner != key.Account {
			allowed = fmt.Sprintf(allowedSingleOwner, owner, file, path)
		}
		k.addKeyError(i, ErrDuplicate, hiddenDuplicateText, allowed)
	}
}

func (k *checker) addKeyError(i int, kind error, value, allowed string) {
	file, path := k.origins.locate(listKeys, i, suffixSHA256)
	k.errs = append(k.errs, &FieldError{Kind: kind, File: file, Field: path, Value: value, Allowed: allowed})
}

const (
	suffixTarget        = ""
	suffixBackendServer = ".backend_server"
	suffixFailureDomain = ".failure_domain"
	suffixRegion        = ".region"
	allowedServer       = "the name of a declared backend server"
	allowedDomain       = "a declared failure domain"
	allowedRegion       = "the name of a declared region"
	allowedOneTarget    = "exactly one of backend_server, failure_domain and region"
	targetsFormat       = "%d targets"
)

func (k *checker) checkDrains() {
	for i, d := range k.config.Drains {
		targets := slices.DeleteFunc([]string{d.BackendServer, d.FailureDomain, d.Region},
			func(target string) bool { return target == "" })
		if len(targets) != 1 {
			k.addError(listDrains, i, suffixTarget, ErrContradiction, fmt.Sprintf(targetsFormat, len(targets)), allowedOneTarget)
		}
		if d.BackendServer != "" {
			k.checkReference(listDrains, i, suffixBackendServer, d.BackendServer, k.servers, allowedServer)
		}
		if d.Region != "" {
			k.checkReference(listDrains, i, suffixRegion, d.Region, k.regions, allowedRegion)
		}
		if _, ok := k.domains[d.FailureDomain]; d.FailureDomain != "" && !ok {
			k.addError(listDrains, i, suffixFailureDomain, ErrUndeclared, d.FailureDomain, allowedDomain)
		}
	}
}
