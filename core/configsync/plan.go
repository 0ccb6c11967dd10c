package configsync

import (
	"bytes"

	peerv1 "github.com/cassiawind/cassiawind/peerapi/peer/v1"
)

// nextContent returns the content of a new version. Unchanged entries keep their
// version, changed and new ones get the new version, and entries that are no
// longer present become tombstones.
func nextContent(previous content, entries []*peerv1.ConfigEntry, version uint64) (next content, changed bool) {
	kept := make(map[string]bool, len(entries))
	var changes []*peerv1.ConfigEntry
	for _, e := range entries {
		kept[e.GetName()] = true
		if i, ok := previous.find(e.GetName()); ok && sameContent(previous[i].entry, e) {
			continue
		}
		changes = append(changes, &peerv1.ConfigEntry{Name: e.GetName(), Version: version, Content: e.GetContent()})
	}
	for _, e := range previous.liveEntries() {
		if !kept[e.GetName()] {
			changes = append(changes, &peerv1.ConfigEntry{Name: e.GetName(), Version: version, Removed: true})
		}
	}
	if len(changes) == 0 {
		return previous, false
	}
	return previous.apply(changes).withoutOldTombstones(), true
}

func sameContent(previous, next *peerv1.ConfigEntry) bool {
	return !previous.GetRemoved() && bytes.Equal(previous.GetContent(), next.GetContent())
}
