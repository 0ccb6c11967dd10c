// Package declare defines the operators' declarations and the settings of a
// process: their types, strict JSON decoding and validation.
package declare

// Config is the merged content of a declarations folder. Every file of the
// folder is a JSON object with any of these members. The files are merged in
// the order of their names, and a name may be declared only once.
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

// Account is a client account. Its limits apply to all VMs together.
type Account struct {
	Name string `json:"name"`
	// RatePerSecond is the sustained rate in requests per second, above 0.
	RatePerSecond float64 `json:"rate_per_second"`
	// Burst is the bucket size in requests, at least 1.
	Burst float64 `json:"burst"`
	// Weight determines the account's share under overload. The default is 1.
	Weight float64 `json:"weight,omitempty"`
}

// Key is a credential of a client account. Only its SHA-256 is declared.
type Key struct {
	// Name identifies the key to operators. It is not secret.
	Name    string `json:"name"`
	Account string `json:"account"`
	// SHA256 is the SHA-256 of the key in lower-case hexadecimal digits.
	SHA256 string `json:"sha256"`
}

// Service is a group of backend servers that serve the same requests.
type Service struct {
	Name           string          `json:"name"`
	BackendServers []BackendServer `json:"backend_servers"`
}

// BackendServer is a server of a service.
type BackendServer struct {
	Name string `json:"name"`
	// Address is "ip:port".
	Address       string `json:"address"`
	Region        string `json:"region"`
	FailureDomain string `json:"failure_domain"`
	// Slots is the number of requests that the server runs at the same time.
	Slots int `json:"slots"`
	// Connections is the total number of connections that the server accepts.
	Connections int `json:"connections"`
}

// Route maps requests to a service.
type Route struct {
	Name string `json:"name"`
	// Methods are upper-case HTTP methods. An empty list means all methods.
	Methods []string `json:"methods,omitempty"`
	// PathPrefix begins with "/". The longest matching prefix wins.
	PathPrefix string `json:"path_prefix"`
	Service    string `json:"service"`
	// Open routes require no key.
	Open bool `json:"open,omitempty"`
	// Idempotent requests may be retried and are scheduled as lookups. All
	// other requests run at most once and are scheduled as bookings.
	Idempotent bool `json:"idempotent,omitempty"`
	// DeadlineMS bounds the time for the complete response, in milliseconds.
	DeadlineMS int `json:"deadline_ms"`
}

// Region is a group of failure domains with a cap.
type Region struct {
	Name           string   `json:"name"`
	FailureDomains []string `json:"failure_domains"`
	// CapPerSecond is the number of requests per second, from all VMs together,
	// that the region can serve.
	CapPerSecond float64 `json:"cap_per_second"`
	// CapBurst is the bucket size of the cap, in requests.
	CapBurst float64 `json:"cap_burst"`
	// RampPerSecond is the fraction of the cap by which the traffic to the
	// region may grow per second. The default is 0.05.
	RampPerSecond float64 `json:"ramp_per_second,omitempty"`
	// DelayMS maps other regions to the one-way delay in milliseconds.
	DelayMS map[string]float64 `json:"delay_ms,omitempty"`
}

// Link is the one-way capacity between two regions.
type Link struct {
	From string `json:"from"`
	To   string `json:"to"`
	// LimitPerSecond is the number of requests per second of all VMs together.
	LimitPerSecond float64 `json:"limit_per_second"`
}

// Block maps a block of client addresses to its nearest region.
type Block struct {
	// Prefix is in CIDR form. Equal prefixes are an error. A longer prefix
	// within a shorter one must name the shorter one in Within.
	Prefix string `json:"prefix"`
	Region string `json:"region" declare:"shared"`
	// Within is the prefix of the smallest enclosing block, which this block
	// refines.
	Within string `json:"within,omitempty" declare:"shared"`
}

// Drain takes a backend server, a failure domain or a region out of service.
// Exactly one of the targets is set.
type Drain struct {
	Name          string `json:"name"`
	BackendServer string `json:"backend_server,omitempty"`
	FailureDomain string `json:"failure_domain,omitempty"`
	Region        string `json:"region,omitempty"`
}

// Settings configure one entry process. They are read from one JSON file and
// validated completely before any address is bound.
type Settings struct {
	// VM is the id of the VM, unique in the fleet.
	VM            string `json:"vm"`
	Region        string `json:"region"`
	FailureDomain string `json:"failure_domain"`
	// CallerAddress, PeerAddress and OperatorAddress are the addresses to bind,
	// as "ip:port".
	CallerAddress   string `json:"caller_address"`
	PeerAddress     string `json:"peer_address"`
	OperatorAddress string `json:"operator_address"`
	// TLSCertificateFile and TLSKeyFile enable TLS for callers. Both or neither
	// must be set. The files are read again when they change.
	TLSCertificateFile string `json:"tls_certificate_file,omitempty"`
	TLSKeyFile         string `json:"tls_key_file,omitempty"`
	// TableURL, ObjectsURL and VMListURL are the endpoints of the platform.
	TableURL   string `json:"table_url"`
	ObjectsURL string `json:"objects_url"`
	VMListURL  string `json:"vm_list_url"`
	// MaxBodyBytes bounds a request body. The default is 16 MiB.
	MaxBodyBytes int64 `json:"max_body_bytes,omitempty"`
	// MaxHeaderBytes bounds the request headers. The default is 32 KiB.
	MaxHeaderBytes int `json:"max_header_bytes,omitempty"`
	// LookupValidityMS is how long callers may cache a lookup response. The
	// default is 5000.
	LookupValidityMS int `json:"lookup_validity_ms,omitempty"`
	// StopTimeoutMS bounds a planned stop. The default is 60000.
	StopTimeoutMS int `json:"stop_timeout_ms,omitempty"`
}
