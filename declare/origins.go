package declare

import (
	"fmt"
	"sort"
)

// list identifies a list of Config.
type list int

const (
	listAccounts list = iota
	listKeys
	listServices
	listRoutes
	listRegions
	listLinks
	listBlocks
	listDrains
	listCount
)

// listNames are the JSON names of the lists.
var listNames = [listCount]string{
	"accounts", "keys", "services", "routes", "regions", "links", "client_blocks", "drains",
}

// origins tells from which file an element of a merged list comes. It holds one
// entry per file and list, not one per element.
type origins [listCount][]origin

// origin says that the elements from first on come from the file.
type origin struct {
	file  string
	first int
}

func (o *origins) start(file string, c *Config) {
	lengths := [listCount]int{
		len(c.Accounts), len(c.Keys), len(c.Services), len(c.Routes),
		len(c.Regions), len(c.Links), len(c.Blocks), len(c.Drains),
	}
	for l, n := range lengths {
		o[l] = append(o[l], origin{file: file, first: n})
	}
}

const elementFormat = "%s[%d]%s"

// of returns the file and the path within the file of an element's field.
func (o *origins) of(l list, index int, suffix string) (file, path string) {
	spans := o[l]
	at := sort.Search(len(spans), func(i int) bool { return spans[i].first > index }) - 1
	return spans[at].file, fmt.Sprintf(elementFormat, listNames[l], index-spans[at].first, suffix)
}
