package declare

import (
	"fmt"
	"reflect"
	"strings"
)

const (
	addedFormat       = "%s %s added"
	removedFormat     = "%s %s removed"
	changedFormat     = "%s %s: %s changed from %v to %v"
	changedHashFormat = "%s %s: %s changed"
	moreBlocksFormat  = "client blocks: %d more changes"
	kindAccount       = "account"
	kindKey           = "key"
	kindService       = "service"
	kindServer        = "backend server"
	kindRoute         = "route"
	kindRegion        = "region"
	kindLink          = "link"
	kindBlock         = "client block"
	kindDrain         = "drain"
	hashField         = "sha256"
	serversField      = "backend_servers"
	noValue           = "(none)"
	// maxBlockLines bounds the number of lines about client blocks. A single
	// change can affect hundreds of thousands of them.
	maxBlockLines = 100
)

// Diff describes the changes from old to next, one per line. Either may be nil
// for an empty configuration. It lists the first 100 changes of client blocks
// and counts the others.
func Diff(old, next *Config) []string {
	if old == nil {
		old = &Config{}
	}
	if next == nil {
		next = &Config{}
	}
	var lines []string
	lines = append(lines, diffList(kindAccount, old.Accounts, next.Accounts, func(a *Account) string { return a.Name })...)
	lines = append(lines, diffList(kindKey, old.Keys, next.Keys, func(k *Key) string { return k.Name })...)
	lines = append(lines, diffList(kindService, old.Services, next.Services, func(s *Service) string { return s.Name })...)
	lines = append(lines, diffList(kindServer, servers(old), servers(next), func(b *BackendServer) string { return b.Name })...)
	lines = append(lines, diffServerServices(old, next)...)
	lines = append(lines, diffList(kindRoute, old.Routes, next.Routes, func(r *Route) string { return r.Name })...)
	lines = append(lines, diffList(kindRegion, old.Regions, next.Regions, func(r *Region) string { return r.Name })...)
	lines = append(lines, diffList(kindLink, old.Links, next.Links, func(l *Link) string { return fmt.Sprintf(linkFormat, l.From, l.To) })...)
	blocks := diffList(kindBlock, old.Blocks, next.Blocks, func(b *Block) string { return b.Prefix })
	if more := len(blocks) - maxBlockLines; more > 0 {
		blocks = append(blocks[:maxBlockLines], fmt.Sprintf(moreBlocksFormat, more))
	}
	lines = append(lines, blocks...)
	return append(lines, diffList(kindDrain, old.Drains, next.Drains, func(d *Drain) string { return d.Name })...)
}

// diffServerServices describes which backend servers moved to another service.
func diffServerServices(old, next *Config) []string {
	serviceOf := map[string]string{}
	for _, s := range old.Services {
		for _, b := range s.BackendServers {
			serviceOf[b.Name] = s.Name
		}
	}
	var lines []string
	for _, s := range next.Services {
		for _, b := range s.BackendServers {
			if from, ok := serviceOf[b.Name]; ok && from != s.Name {
				lines = append(lines, fmt.Sprintf(changedFormat, kindServer, b.Name, kindService, from, s.Name))
			}
		}
	}
	return lines
}

// servers returns the backend servers of all services.
func servers(c *Config) []BackendServer {
	var all []BackendServer
	for _, s := range c.Services {
		all = append(all, s.BackendServers...)
	}
	return all
}

// diffList compares two lists by name. It returns removals and changes in the
// order of the old list, then additions in the order of the new list.
func diffList[T any](kind string, old, next []T, name func(*T) string) []string {
	index := make(map[string]int, len(next))
	for i := range next {
		index[name(&next[i])] = i
	}
	var lines []string
	kept := make(map[int]bool, len(old))
	for i := range old {
		n, ok := index[name(&old[i])]
		if !ok {
			lines = append(lines, fmt.Sprintf(removedFormat, kind, name(&old[i])))
			continue
		}
		kept[n] = true
		lines = append(lines, diffFields(kind, name(&old[i]), &old[i], &next[n])...)
	}
	for i := range next {
		if !kept[i] {
			lines = append(lines, fmt.Sprintf(addedFormat, kind, name(&next[i])))
		}
	}
	return lines
}

// diffFields compares the fields of two elements with the same name. It skips
// the backend servers of a service, because they are compared in a list of
// their own.
func diffFields(kind, name string, old, next any) []string {
	a, b := reflect.ValueOf(old).Elem(), reflect.ValueOf(next).Elem()
	var lines []string
	for i := range a.NumField() {
		field, _, _ := strings.Cut(a.Type().Field(i).Tag.Get(jsonTag), nameSeparator)
		from, to := a.Field(i), b.Field(i)
		if field == serversField || reflect.DeepEqual(from.Interface(), to.Interface()) {
			continue
		}
		if field == hashField {
			lines = append(lines, fmt.Sprintf(changedHashFormat, kind, name, field))
			continue
		}
		lines = append(lines, fmt.Sprintf(changedFormat, kind, name, field, formatField(from), formatField(to)))
	}
	return lines
}

func formatField(v reflect.Value) any {
	if v.IsZero() {
		return noValue
	}
	return v.Interface()
}
