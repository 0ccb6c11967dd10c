package demo

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"math/rand/v2"

	"github.com/cassiawind/cassiawind/declare"
	"github.com/cassiawind/cassiawind/standin/load"
)

// Names that the script of the demonstration uses.
const (
	noisyAccount  = "davao-growers"
	rekeyedClient = "port-freight-old"
	drainedServer = "bookhouse-luzon-1"
)

// Limits of the noisy account before and after the second publish.
const (
	noisyRate      = 40
	noisyBurst     = 40
	noisyLaterRate = 30
)

// keyBytes is the length of a key before hexadecimal encoding.
const keyBytes = 24

// newKeyStartMS is when the client with the new key begins: after the second
// publish, which the script makes 6 s into the load, is in effect.
const newKeyStartMS = 14_000

// caller is a client account with one caller.
type caller struct {
	account     string
	rate, burst float64
	client      load.ClientConfig
}

func callers() []caller {
	lookups, bookings := []string{pathLots, pathScores}, []string{pathAllocations, pathPayments}
	client := func(name, region string, rate, bookingShare float64, vms, startMS int) load.ClientConfig {
		return load.ClientConfig{Name: name, SourceAddress: region, RatePerSecond: rate, BookingShare: bookingShare,
			Lookups: lookups, Bookings: bookings, EntryCount: vms, StartMS: startMS}
	}
	return []caller{
		{account: "harvest-union", rate: 60, burst: 60, client: client("harvest-union", regionLuzon, 48, 0.2, 2, 0)},
		{account: "manila-roasters", rate: 60, burst: 60, client: client("manila-roasters", regionLuzon, 48, 0.2, 1, 0)},
		{account: "cebu-export", rate: 40, burst: 40, client: client("cebu-export", regionVisayas, 30, 0.5, 2, 0)},
		{account: noisyAccount, rate: noisyRate, burst: noisyBurst, client: client(noisyAccount, regionVisayas, 200, 0.1, 4, 0)},
		{account: "port-freight", rate: 30, burst: 30, client: client(rekeyedClient, regionLuzon, 10, 0.3, 1, 0)},
		{account: "port-freight", rate: 30, burst: 30, client: client("port-freight-new", regionLuzon, 10, 0.3, 1, newKeyStartMS)},
	}
}

const keyNameFormat = "%s-key"

// population is the callers with their keys and addresses.
type population struct {
	accounts []declare.Account
	// first and second are the keys of the two publishes.
	first, second []declare.Key
	load          load.Config
}

// newPopulation draws the keys. Only their SHA-256 is declared.
func (d deployment) newPopulation(seed uint64) population {
	rnd := rand.New(rand.NewPCG(seed, 0))
	var p population
	for i, c := range callers() {
		c.client.Account, c.client.Key = c.account, newKey(rnd)
		c.client.SourceAddress = fmt.Sprintf(hostFormat, d.net, d.callerPart(c.client.SourceAddress), i+1)
		p.load.Clients = append(p.load.Clients, c.client)
		sum := sha256.Sum256([]byte(c.client.Key))
		key := declare.Key{Name: fmt.Sprintf(keyNameFormat, c.client.Name), Account: c.account, SHA256: hex.EncodeToString(sum[:])}
		if c.client.StartMS == 0 {
			p.first = append(p.first, key)
		}
		if c.client.Name != rekeyedClient {
			p.second = append(p.second, key)
		}
		if n := len(p.accounts); n > 0 && p.accounts[n-1].Name == c.account {
			continue
		}
		p.accounts = append(p.accounts, declare.Account{Name: c.account, RatePerSecond: c.rate, Burst: c.burst})
		p.load.Accounts = append(p.load.Accounts, load.Account{Name: c.account, RatePerSecond: c.rate, Burst: c.burst})
	}
	return p
}

func (d deployment) callerPart(region string) int {
	for i, r := range regions {
		if r == region {
			return partCallers + i
		}
	}
	return partCallers
}

func newKey(rnd *rand.Rand) string {
	key := make([]byte, keyBytes)
	for i := range key {
		key[i] = byte(rnd.Uint32())
	}
	return hex.EncodeToString(key)
}
