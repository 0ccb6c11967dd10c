package declare

import (
	"crypto/tls"
	"fmt"
	"net/netip"
	"net/url"
	"os"
)

// Defaults of the settings.
const (
	DefaultMaxBodyBytes     = 16 << 20
	DefaultMaxHeaderBytes   = 32 << 10
	DefaultLookupValidityMS = 5_000
	DefaultStopTimeoutMS    = 60_000
)

// Ranges of the settings.
const (
	maxMaxBodyBytes     = 1 << 30
	minMaxHeaderBytes   = 1 << 10
	maxMaxHeaderBytes   = 1 << 20
	minLookupValidityMS = 100
	maxLookupValidityMS = 60_000
	maxStopTimeoutMS    = 600_000
	// StopReserveMS is the time that a planned stop needs in addition to the
	// validity of lookup responses: 1 s for the announcement, 5 s for handing
	// over units, the longest deadline of a route plus 1 s for the end of its
	// response, and 5 s for leaving the fleet.
	StopReserveMS = MaxDeadlineMS + 12_000
)

const (
	settingVM              = "vm"
	settingRegion          = "region"
	settingDomain          = "failure_domain"
	settingCaller          = "caller_address"
	settingPeer            = "peer_address"
	settingOperator        = "operator_address"
	settingCertificateFile = "tls_certificate_file"
	settingKeyFile         = "tls_key_file"
	settingTable           = "table_url"
	settingObjects         = "objects_url"
	settingVMList          = "vm_list_url"
	settingMaxBody         = "max_body_bytes"
	settingMaxHeader       = "max_header_bytes"
	settingLookup          = "lookup_validity_ms"
	settingStop            = "stop_timeout_ms"
	schemeHTTP             = "http"
	schemeHTTPS            = "https"
	allowedURL             = "an http or https URL with ip:port, without user, query and fragment"
	allowedUniqueAddress   = "a unique address; %s has the same one"
	allowedBothTLS         = "both or none of tls_certificate_file and tls_key_file"
	allowedTLSPair         = "readable PEM files with a certificate and its key"
	allowedStop            = "%d to %d, at least lookup_validity_ms + %d"
	allowedFileReadable    = "a readable settings file"
)

// LoadSettings reads and checks a settings file, including the TLS files that
// it refers to. The error is a ValidationErrors with every error.
func LoadSettings(path string) (Settings, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, ValidationErrors{unreadableError(path, err, allowedFileReadable)}
	}
	settings, errs := parseSettings(path, content)
	if settings.TLSCertificateFile != "" && settings.TLSKeyFile != "" {
		if _, err := tls.LoadX509KeyPair(settings.TLSCertificateFile, settings.TLSKeyFile); err != nil {
			errs = append(errs, &FieldError{
				Kind: ErrUnreadable, File: path, Field: settingCertificateFile, Value: err.Error(), Allowed: allowedTLSPair,
			})
		}
	}
	if len(errs) > 0 {
		return Settings{}, errs
	}
	return settings, nil
}

// ParseSettings decodes settings, sets the defaults and checks everything
// except the content of the TLS files. The error is a ValidationErrors.
func ParseSettings(file string, content []byte) (Settings, error) {
	settings, errs := parseSettings(file, content)
	if len(errs) > 0 {
		return Settings{}, errs
	}
	return settings, nil
}

func parseSettings(file string, content []byte) (Settings, ValidationErrors) {
	var s Settings
	if errs := decodeStrict(file, content, &s); len(errs) > 0 {
		return Settings{}, errs
	}
	setSettingsDefaults(&s)
	k := &settingsChecker{file: file}
	k.checkAll(s)
	return s, k.errs
}

func setSettingsDefaults(s *Settings) {
	if s.MaxBodyBytes == 0 {
		s.MaxBodyBytes = DefaultMaxBodyBytes
	}
	if s.MaxHeaderBytes == 0 {
		s.MaxHeaderBytes = DefaultMaxHeaderBytes
	}
	if s.LookupValidityMS == 0 {
		s.LookupValidityMS = DefaultLookupValidityMS
	}
	if s.StopTimeoutMS == 0 {
		s.StopTimeoutMS = DefaultStopTimeoutMS
	}
}

// settingsChecker checks the settings and collects every error.
type settingsChecker struct {
	file string
	errs ValidationErrors
}

func (k *settingsChecker) checkAll(s Settings) {
	k.checkName(settingVM, s.VM)
	k.checkName(settingRegion, s.Region)
	k.checkName(settingDomain, s.FailureDomain)
	k.checkAddresses([]setting{{settingCaller, s.CallerAddress}, {settingPeer, s.PeerAddress}, {settingOperator, s.OperatorAddress}})
	for _, u := range []setting{{settingTable, s.TableURL}, {settingObjects, s.ObjectsURL}, {settingVMList, s.VMListURL}} {
		if !validURL(u.value) {
			k.addError(u.name, ErrMalformed, u.value, allowedURL)
		}
	}
	if (s.TLSCertificateFile == "") != (s.TLSKeyFile == "") {
		k.addError(settingCertificateFile, ErrContradiction, s.TLSCertificateFile, allowedBothTLS)
	}
	k.checkRange(settingMaxBody, s.MaxBodyBytes, 1, maxMaxBodyBytes)
	k.checkRange(settingMaxHeader, int64(s.MaxHeaderBytes), minMaxHeaderBytes, maxMaxHeaderBytes)
	k.checkRange(settingLookup, int64(s.LookupValidityMS), minLookupValidityMS, maxLookupValidityMS)
	if low := s.LookupValidityMS + StopReserveMS; s.StopTimeoutMS < low || s.StopTimeoutMS > maxStopTimeoutMS {
		k.addError(settingStop, ErrOutOfRange, s.StopTimeoutMS, fmt.Sprintf(allowedStop, low, maxStopTimeoutMS, StopReserveMS))
	}
}

// setting is the name and value of a setting.
type setting struct{ name, value string }

func (k *settingsChecker) checkAddresses(list []setting) {
	usedBy := map[string]string{}
	for _, a := range list {
		if !validAddress(a.value) {
			k.addError(a.name, ErrMalformed, a.value, allowedAddress)
			continue
		}
		if other, seen := usedBy[a.value]; seen {
			k.addError(a.name, ErrDuplicate, a.value, fmt.Sprintf(allowedUniqueAddress, other))
		}
		usedBy[a.value] = a.name
	}
}

func (k *settingsChecker) checkName(field, value string) {
	if !validName(value) {
		k.addError(field, ErrMalformed, value, allowedName)
	}
}

func (k *settingsChecker) checkRange(field string, value, low, high int64) {
	if value < low || value > high {
		k.addError(field, ErrOutOfRange, value, fmt.Sprintf(allowedRange, low, high))
	}
}

func (k *settingsChecker) addError(field string, kind error, value any, allowed string) {
	k.errs = append(k.errs, &FieldError{Kind: kind, File: k.file, Field: field, Value: formatValue(value), Allowed: allowed})
}

// validURL accepts the URL of a platform endpoint. The host must be an IP
// address, because the system does not resolve host names.
func validURL(text string) bool {
	u, err := url.Parse(text)
	if err != nil || u.Scheme != schemeHTTP && u.Scheme != schemeHTTPS {
		return false
	}
	_, err = netip.ParseAddrPort(u.Host)
	return err == nil && u.User == nil && u.RawQuery == "" && u.Fragment == ""
}
