package configsync

import (
	"bytes"

	peerv1 "github.com/cassiawind/cassiawind/peerapi/peer/v1"
)

// planContent returns the content of a new version: unchanged entries keep their
// version, changed and new ones get the new version, and entries that are gone
// become tombstones.
func planContent(previous content, entries []*peerv1.ConfigEntry, version uint64) (next content, changed bool) {
	wanted := make(map[string]bool, len(entries))
	var changes []*peerv1.ConfigEntry
	for _, e := range entries {
		wanted[e.GetName()] = true
		if i, ok := previous.find(e.GetName()); ok && sameContent(previous[i].entry, e) {
			continue
		}
		changes = append(changes, &peerv1.ConfigEntry{Name: e.GetName(), Version: version, Content: e.GetContent()})
	}
	for _, e := range previous.live() {
		if !wanted[e.GetName()] {
			changes = append(changes, &peerv1.ConfigEntry{Name: e.GetName(), Version: version, Removed: true})
		}
	}
	if len(changes) == 0 {
		return previous, false
	}
	return previous.apply(changes).bounded(), true
}

func sameContent(previous, next *peerv1.ConfigEntry) bool {
	return !previous.GetRemoved() && bytes.Equal(previous.GetContent(), next.GetContent())
}
