package demo

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"math/rand/v2"

	"github.com/cassiawind/cassiawind/declare"
	"github.com/cassiawind/cassiawind/standin/load"
)

// Names that the scripts of the demonstration use as well.
const (
	overloadingAccount = "davao-growers"
	oldKeyClient       = "port-freight-old"
	drainedServer      = "bookhouse-luzon-1"
)

// Limits of the overloading account: its rate and burst at first, and both after
// the second publish.
const (
	overloadingRate        = 40
	overloadingBurst       = 40
	overloadingLoweredRate = 30
)

// keyBytes is the length of a key before hexadecimal encoding.
const keyBytes = 24

// newKeyStartMS is when the client with the new key starts. The second publish,
// which the script does 6 s after the start of the load, is in effect by then.
const newKeyStartMS = 14_000

// demoClient is a client of the load with the limits of its account.
type demoClient struct {
	account     string
	rate, burst float64
	config      load.ClientConfig
}

// demoClients returns the clients of the load. Their SourceAddress holds the region
// until newClientSetup replaces it by an address.
func demoClients() []demoClient {
	lookupPaths, bookingPaths := []string{pathLots, pathScores}, []string{pathAllocations, pathPayments}
	client := func(name, region string, rate, bookingShare float64, entryCount, startMS int) load.ClientConfig {
		return load.ClientConfig{Name: name, SourceAddress: region, RatePerSecond: rate, BookingShare: bookingShare,
			Lookups: lookupPaths, Bookings: bookingPaths, EntryCount: entryCount, StartMS: startMS}
	}
	return []demoClient{
		{account: "harvest-union", rate: 60, burst: 60, config: client("harvest-union", regionLuzon, 48, 0.2, 2, 0)},
		{account: "manila-roasters", rate: 60, burst: 60, config: client("manila-roasters", regionLuzon, 48, 0.2, 1, 0)},
		{account: "cebu-export", rate: 40, burst: 40, config: client("cebu-export", regionVisayas, 30, 0.5, 2, 0)},
		{account: overloadingAccount, rate: overloadingRate, burst: overloadingBurst, config: client(overloadingAccount, regionVisayas, 200, 0.1, 4, 0)},
		{account: "port-freight", rate: 30, burst: 30, config: client(oldKeyClient, regionLuzon, 10, 0.3, 1, 0)},
		{account: "port-freight", rate: 30, burst: 30, config: client("port-freight-new", regionLuzon, 10, 0.3, 1, newKeyStartMS)},
	}
}

const keyNameFormat = "%s-key"

// clientSetup holds the clients with their keys and addresses.
type clientSetup struct {
	accounts []declare.Account
	// firstKeys and secondKeys are the keys that the two publishes declare.
	firstKeys, secondKeys []declare.Key
	load                  load.Config
}

// newClientSetup draws the keys of the clients. The declarations contain only their
// SHA-256.
func (d deployment) newClientSetup(seed uint64) clientSetup {
	rng := rand.New(rand.NewPCG(seed, 0))
	var setup clientSetup
	for i, c := range demoClients() {
		c.config.Account, c.config.Key = c.account, newKey(rng)
		c.config.SourceAddress = fmt.Sprintf(hostFormat, d.net, d.callerSubnet(c.config.SourceAddress), i+1)
		setup.load.Clients = append(setup.load.Clients, c.config)
		digest := sha256.Sum256([]byte(c.config.Key))
		key := declare.Key{Name: fmt.Sprintf(keyNameFormat, c.config.Name), Account: c.account, SHA256: hex.EncodeToString(digest[:])}
		if c.config.StartMS == 0 {
			setup.firstKeys = append(setup.firstKeys, key)
		}
		if c.config.Name != oldKeyClient {
			setup.secondKeys = append(setup.secondKeys, key)
		}
		if n := len(setup.accounts); n > 0 && setup.accounts[n-1].Name == c.account {
			continue
		}
		setup.accounts = append(setup.accounts, declare.Account{Name: c.account, RatePerSecond: c.rate, Burst: c.burst})
		setup.load.Accounts = append(setup.load.Accounts, load.Account{Name: c.account, RatePerSecond: c.rate, Burst: c.burst})
	}
	return setup
}

// callerSubnet returns the third octet of the addresses of a region's callers.
func (d deployment) callerSubnet(region string) int {
	for i, r := range regions {
		if r == region {
			return subnetCallers + i
		}
	}
	return subnetCallers
}

func newKey(rng *rand.Rand) string {
	key := make([]byte, keyBytes)
	for i := range key {
		key[i] = byte(rng.Uint32())
	}
	return hex.EncodeToString(key)
}
