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
	// StopReserveMS is the part of a planned stop besides the validity of
	// lookup responses: 1 s for the announcement, 5 s for handing over, the
	// longest deadline of a route with 1 s for the end of its response, and 5 s
	// for leaving the fleet.
	StopReserveMS = MaxDeadlineMS + 12_000
)

const (
	settingVM           = "vm"
	settingRegion       = "region"
	settingDomain       = "failure_domain"
	settingCaller       = "caller_address"
	settingPeer         = "peer_address"
	settingOperator     = "operator_address"
	settingCertificate  = "tls_certificate_file"
	settingTLSKey       = "tls_key_file"
	settingTable        = "table_url"
	settingObjects      = "objects_url"
	settingVMList       = "vm_list_url"
	settingMaxBody      = "max_body_bytes"
	settingMaxHeader    = "max_header_bytes"
	settingLookup       = "lookup_validity_ms"
	settingStop         = "stop_timeout_ms"
	schemeHTTP          = "http"
	schemeHTTPS         = "https"
	allowedURL          = "an http or https URL with ip:port, without user, query and fragment"
	allowedOwnAddress   = "an address of its own; %s has it too"
	allowedBothTLS      = "both or none of tls_certificate_file and tls_key_file"
	allowedTLSPair      = "readable PEM files with a certificate and its key"
	allowedStop         = "%d to %d, at least lookup_validity_ms + %d"
	allowedFileReadable = "a readable settings file"
)

// LoadSettings reads and checks a settings file, including the TLS files that it
// names. The error is a ValidationErrors with every error.
func LoadSettings(path string) (Settings, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, ValidationErrors{unreadable(path, err, allowedFileReadable)}
	}
	settings, errs := parseSettings(path, content)
	if settings.TLSCertificateFile != "" && settings.TLSKeyFile != "" {
		if _, err := tls.LoadX509KeyPair(settings.TLSCertificateFile, settings.TLSKeyFile); err != nil {
			errs = append(errs, &FieldError{
				Kind: ErrUnreadable, File: path, Field: settingCertificate, Value: err.Error(), Allowed: allowedTLSPair,
			})
		}
	}
	if len(errs) > 0 {
		return Settings{}, errs
	}
	return settings, nil
}

// ParseSettings decodes settings, sets the defaults and checks the whole except
// for the content of the TLS files. The error is a ValidationErrors.
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
	k.check(s)
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

// settingsChecker collects every error of the settings.
type settingsChecker struct {
	file string
	errs ValidationErrors
}

func (k *settingsChecker) check(s Settings) {
	k.name(settingVM, s.VM)
	k.name(settingRegion, s.Region)
	k.name(settingDomain, s.FailureDomain)
	k.addresses([]setting{{settingCaller, s.CallerAddress}, {settingPeer, s.PeerAddress}, {settingOperator, s.OperatorAddress}})
	for _, u := range []setting{{settingTable, s.TableURL}, {settingObjects, s.ObjectsURL}, {settingVMList, s.VMListURL}} {
		if !validURL(u.value) {
			k.add(u.name, ErrMalformed, u.value, allowedURL)
		}
	}
	if (s.TLSCertificateFile == "") != (s.TLSKeyFile == "") {
		k.add(settingCertificate, ErrContradiction, s.TLSCertificateFile, allowedBothTLS)
	}
	k.within(settingMaxBody, s.MaxBodyBytes, 1, maxMaxBodyBytes)
	k.within(settingMaxHeader, int64(s.MaxHeaderBytes), minMaxHeaderBytes, maxMaxHeaderBytes)
	k.within(settingLookup, int64(s.LookupValidityMS), minLookupValidityMS, maxLookupValidityMS)
	if low := s.LookupValidityMS + StopReserveMS; s.StopTimeoutMS < low || s.StopTimeoutMS > maxStopTimeoutMS {
		k.add(settingStop, ErrOutOfRange, s.StopTimeoutMS, fmt.Sprintf(allowedStop, low, maxStopTimeoutMS, StopReserveMS))
	}
}

// setting is a setting's name with its value.
type setting struct{ name, value string }

func (k *settingsChecker) addresses(list []setting) {
	taken := map[string]string{}
	for _, a := range list {
		if !validAddress(a.value) {
			k.add(a.name, ErrMalformed, a.value, allowedAddress)
			continue
		}
		if other, seen := taken[a.value]; seen {
			k.add(a.name, ErrDuplicate, a.value, fmt.Sprintf(allowedOwnAddress, other))
		}
		taken[a.value] = a.name
	}
}

func (k *settingsChecker) name(field, value string) {
	if !validName(value) {
		k.add(field, ErrMalformed, value, allowedName)
	}
}

func (k *settingsChecker) within(field string, value, low, high int64) {
	if value < low || value > high {
		k.add(field, ErrOutOfRange, value, fmt.Sprintf(allowedRange, low, high))
	}
}

func (k *settingsChecker) add(field string, kind error, value any, allowed string) {
	k.errs = append(k.errs, &FieldError{Kind: kind, File: k.file, Field: field, Value: show(value), Allowed: allowed})
}

// validURL accepts a platform end point. The host is an IP address, because the
// system resolves no host names.
func validURL(text string) bool {
	u, err := url.Parse(text)
	if err != nil || u.Scheme != schemeHTTP && u.Scheme != schemeHTTPS {
		return false
	}
	_, err = netip.ParseAddrPort(u.Host)
	return err == nil && u.User == nil && u.RawQuery == "" && u.Fragment == ""
}
