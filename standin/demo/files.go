package demo

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"

	"github.com/cassiawind/cassiawind/declare"
)

// Names and modes of the files and folders.
const (
	dirFirst       = "declarations-1"
	dirSecond      = "declarations-2"
	fileAccounts   = "10-accounts.json"
	fileServices   = "20-services.json"
	fileRegions    = "30-regions.json"
	fileDrains     = "40-drains.json"
	settingsFormat = "settings-%s.json"
	fileBackends   = "backends.json"
	fileLoad       = "load.json"
	fileEvents     = "events.jsonl"
	fileReport     = "report.json"

	dirMode  = 0o755
	fileMode = 0o600
)

const (
	loadDurationMS  = 30_000
	drainName       = "bookhouse-maintenance"
	maxLoadRequests = 20_000
)

// Options are the options of the generated files.
type Options struct {
	// Dir is the folder to write to.
	Dir string
	// Net is the second octet of all addresses.
	Net int
	// Seed is the seed of the keys and of the load.
	Seed uint64
}

// WriteFiles writes all files that the demonstration reads.
func WriteFiles(o Options) error {
	d := deployment{net: o.Net}
	setup := d.newClientSetup(o.Seed)
	declared, backendConfig := d.backendServers(o.Seed)
	regions, links, blocks := d.regions()
	setup.load.Seed, setup.load.DurationMS, setup.load.MaxRequests, setup.load.TimeoutMS = o.Seed, loadDurationMS, maxLoadRequests, deadlineMS
	setup.load.BackendControl = d.url(subnetBackend, hostControl, portControl)
	setup.load.EventsFile, setup.load.ReportFile = filepath.Join(o.Dir, fileEvents), filepath.Join(o.Dir, fileReport)
	files := map[string]any{fileBackends: backendConfig}
	for _, s := range d.settings() {
		setup.load.Entries = append(setup.load.Entries, s.CallerAddress)
		files[fmt.Sprintf(settingsFormat, s.VM)] = s
	}
	files[fileLoad] = setup.load
	for _, dir := range []string{dirFirst, dirSecond} {
		files[filepath.Join(dir, fileServices)] = declare.Config{Services: declared, Routes: routes()}
		files[filepath.Join(dir, fileRegions)] = declare.Config{Regions: regions, Links: links, Blocks: blocks}
	}
	files[filepath.Join(dirFirst, fileAccounts)] = declare.Config{Accounts: setup.accounts, Keys: setup.firstKeys}
	files[filepath.Join(dirSecond, fileAccounts)] = declare.Config{Accounts: accountsOfSecondPublish(setup.accounts), Keys: setup.secondKeys}
	files[filepath.Join(dirSecond, fileDrains)] = declare.Config{
		Drains: []declare.Drain{{Name: drainName, BackendServer: drainedServer}}}
	return writeAll(o.Dir, files)
}

// accountsOfSecondPublish returns the accounts of the second publish.
func accountsOfSecondPublish(first []declare.Account) []declare.Account {
	accounts := slices.Clone(first)
	for i := range accounts {
		if accounts[i].Name == overloadingAccount {
			accounts[i].RatePerSecond, accounts[i].Burst = overloadingLoweredRate, overloadingLoweredRate
		}
	}
	return accounts
}

func writeAll(dir string, files map[string]any) error {
	for name, value := range files {
		content, err := json.MarshalIndent(value, "", " ")
		if err != nil {
			return err
		}
		path := filepath.Join(dir, name)
		if err := os.MkdirAll(filepath.Dir(path), dirMode); err != nil {
			return err
		}
		if err := os.WriteFile(path, append(content, '\n'), fileMode); err != nil {
			return err
		}
	}
	return nil
}
