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

// origins records from which file each element of a merged list comes. It holds
// one entry per file and list, not one per element.
type origins [listCount][]origin

// origin is a file and the index of the first element of the list that comes
// from it.
type origin struct {
	file  string
	first int
}

func (o *origins) startFile(file string, c *Config) {
	lengths := [listCount]int{
		len(c.Accounts), len(c.Keys), len(c.Services), len(c.Routes),
		len(c.Regions), len(c.Links), len(c.Blocks), len(c.Drains),
	}
	for l, n := range lengths {
		o[l] = append(o[l], origin{file: file, first: n})
	}
}

const elementFormat = "%s[%d]%s"

// locate returns the file that contains the field of an element, and the path
// of the field in that file.
func (o *origins) locate(l list, index int, suffix string) (file, path string) {
	fileOrigins := o[l]
	fileIndex := sort.Search(len(fileOrigins), func(i int) bool { return fileOrigins[i].first > index }) - 1
	return fileOrigins[fileIndex].file, fmt.Sprintf(elementFormat, listNames[l], index-fileOrigins[fileIndex].first, suffix)
}
