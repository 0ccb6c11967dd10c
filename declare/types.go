// Package declare holds the operators' declarations and the settings of a
// process: their types, strict JSON decoding and whole validation.
package declare

// Config is the merged content of a declarations folder. Every file of the
// folder is one JSON object with any of these members; the files are merged in
// the order of their names and a name may be declared only once.
type Config struct {
	Accounts []Account `json:"accounts,omitempty"`
	Keys     []Key     `json:"keys,omitempty"`
	Services []Service `json:"services,omitempty"`
	Routes   []Route   `json:"routes,omitempty"`
	Regions  []Region  `json:"regions,omitempty"`
	Links    []Link    `json:"links,omitempty"`
	Blocks   []Block   `json:"client_blocks,omitempty"`
	Drains   []Drain   `json:"drains,omitempty"`
}

// Account is a client account with its limits over all VMs together.
type Account struct {
	Name string `json:"name"`
	// RatePerSecond is the sustained rate in requests per second, above 0.
	RatePerSecond float64 `json:"rate_per_second"`
	// Burst is the bucket size in requests, at least 1.
	Burst float64 `json:"burst"`
	// Weight is the account's part under overload; default 1.
	Weight float64 `json:"weight,omitempty"`
}

// Key is a credential of a client account. Only its SHA-256 is declared.
type Key struct {
	// Name identifies the key to operators; it is not secret.
	Name    string `json:"name"`
	Account string `json:"account"`
	// SHA256 is the lower-case hexadecimal SHA-256 of the key.
	SHA256 string `json:"sha256"`
}

// Service is a group of backend servers that answer the same requests.
type Service struct {
	Name           string          `json:"name"`
	BackendServers []BackendServer `json:"backend_servers"`
}

// BackendServer is one server of a service.
type BackendServer struct {
	Name string `json:"name"`
	// Address is "ip:port".
	Address       string `json:"address"`
	Region        string `json:"region"`
	FailureDomain string `json:"failure_domain"`
	// Slots is the number of requests it runs at once.
	Slots int `json:"slots"`
	// Connections is the number of connections it takes in all.
	Connections int `json:"connections"`
}

// Route maps requests to a service.
type Route struct {
	Name string `json:"name"`
	// Methods are upper-case HTTP methods; empty means all.
	Methods []string `json:"methods,omitempty"`
	// PathPrefix begins with "/"; the longest matching prefix wins.
	PathPrefix string `json:"path_prefix"`
	Service    string `json:"service"`
	// Open routes need no key.
	Open bool `json:"open,omitempty"`
	// Idempotent requests may be retried and are scheduled as look-ups;
	// others run at most once and are scheduled as bookings.
	Idempotent bool `json:"idempotent,omitempty"`
	// DeadlineMS is the longest time for the whole answer, in milliseconds.
	DeadlineMS int `json:"deadline_ms"`
}

// Region is a group of failure domains with a cap.
type Region struct {
	Name           string   `json:"name"`
	FailureDomains []string `json:"failure_domains"`
	// CapPerSecond is the number of requests per second that the region can
	// carry over all VMs together.
	CapPerSecond float64 `json:"cap_per_second"`
	// CapBurst is the bucket size of the cap, in requests.
	CapBurst float64 `json:"cap_burst"`
	// RampPerSecond is the part of the cap by which the traffic to the region
	// may grow each second; default 0.05.
	RampPerSecond float64 `json:"ramp_per_second,omitempty"`
	// DelayMS gives the one-way delay in milliseconds to other regions.
	DelayMS map[string]float64 `json:"delay_ms,omitempty"`
}

// Link is the one-way capacity between two regions.
type Link struct {
	From string `json:"from"`
	To   string `json:"to"`
	// LimitPerSecond is in requests per second over all VMs together.
	LimitPerSecond float64 `json:"limit_per_second"`
}

// Block maps a block of client addresses to its nearest region.
type Block struct {
	// Prefix is in CIDR form. Equal prefixes are an error; a longer prefix
	// within a shorter one must name the shorter one in Within.
	Prefix string `json:"prefix"`
	Region string `json:"region" declare:"shared"`
	// Within names the smallest enclosing block, which this block refines.
	Within string `json:"within,omitempty" declare:"shared"`
}

// Drain takes something out of service. Exactly one of the targets is set.
type Drain struct {
	Name          string `json:"name"`
	BackendServer string `json:"backend_server,omitempty"`
	FailureDomain string `json:"failure_domain,omitempty"`
	Region        string `json:"region,omitempty"`
}

// Settings configure one entry process. They are read from one JSON file and
// checked whole before anything is bound.
type Settings struct {
	// VM is the VM's id, unique in the fleet.
	VM            string `json:"vm"`
	Region        string `json:"region"`
	FailureDomain string `json:"failure_domain"`
	// CallerAddress, PeerAddress and OperatorAddress are "ip:port" to bind.
	CallerAddress   string `json:"caller_address"`
	PeerAddress     string `json:"peer_address"`
	OperatorAddress string `json:"operator_address"`
	// TLSCertificateFile and TLSKeyFile switch TLS on for callers; both or
	// none. They are read again when they change.
	TLSCertificateFile string `json:"tls_certificate_file,omitempty"`
	TLSKeyFile         string `json:"tls_key_file,omitempty"`
	// TableURL, ObjectsURL and VMListURL are the platform's end points.
	TableURL   string `json:"table_url"`
	ObjectsURL string `json:"objects_url"`
	VMListURL  string `json:"vm_list_url"`
	// MaxBodyBytes bounds a request body; default 16 MiB.
	MaxBodyBytes int64 `json:"max_body_bytes,omitempty"`
	// MaxHeaderBytes bounds the request head; default 32 KiB.
	MaxHeaderBytes int `json:"max_header_bytes,omitempty"`
	// LookupValidityMS is how long callers may cache a look-up answer;
	// default 5000.
	LookupValidityMS int `json:"lookup_validity_ms,omitempty"`
	// StopTimeoutMS bounds a planned stop; default 60000.
	StopTimeoutMS int `json:"stop_timeout_ms,omitempty"`
}
