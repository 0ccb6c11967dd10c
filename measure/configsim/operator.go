package configsim

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/cassiawind/cassiawind/core/configsync"
	"github.com/cassiawind/cassiawind/core/tableop"
	peerv1 "github.com/cassiawind/cassiawind/peerapi/peer/v1"
	"github.com/cassiawind/cassiawind/platform"
)

const (
	filler       = "x"
	otherFiller  = "y"
	changeFormat = "change-%d"
	// operatorRetry is the time after which an operator publishes again on the
	// version found.
	operatorRetry = time.Second
)

// allKeys returns a folder with one file for each key.
func allKeys() []*peerv1.ConfigEntry {
	var out []*peerv1.ConfigEntry
	for i := range keyFiles {
		out = append(out, &peerv1.ConfigEntry{Name: fmt.Sprintf(keyName, i), Content: []byte(strings.Repeat(filler, fileBytes))})
	}
	return out
}

// begin publishes the first version and lets all VMs install it.
func (w *world) begin() {
	w.publish(allKeys(), w.current.Version, func(configsync.PublishStep) {})
	w.run(startTime)
}

// withdraw publishes the version in effect without a key, and again on the
// version found when another operator was first or the store is down.
func (w *world) withdraw(key int) {
	name := fmt.Sprintf(keyName, key)
	w.wanted[name] = true
	folder := slices.DeleteFunc(slices.Clone(w.folder()), func(e *peerv1.ConfigEntry) bool { return e.Name == name })
	w.publish(folder, w.current.Version, func(end configsync.PublishStep) {
		if end.Err != nil && w.withdrawn[name] == 0 {
			w.After(operatorRetry, func() { w.withdraw(key) })
		}
	})
}

// publish carries out a publication from a host that is as far from the store as
// VMs of other regions.
func (w *world) publish(folder []*peerv1.ConfigEntry, expected uint64, done func(configsync.PublishStep)) {
	w.changes++
	id := fmt.Sprintf(changeFormat, w.changes)
	w.folders[id] = folder
	p := configsync.NewPublish(folder, expected, id)
	w.perform(p, p.Start(), func(end configsync.PublishStep) {
		w.checkAccepted(id, end)
		done(end)
	})
}

func (w *world) perform(p *configsync.Publish, step configsync.PublishStep, done func(configsync.PublishStep)) {
	next := func(step configsync.PublishStep) { w.perform(p, step, done) }
	connected := func() bool { return false }
	switch step.Kind {
	case configsync.PublishTable:
		w.table.Call(w.d.CrossRegionDelay, connected, step.Op, func(r tableop.Result) { next(p.TableResult(r)) })
	case configsync.PublishGetObject:
		w.getObject(w.d.CrossRegionDelay, connected, step.Object, func(content []byte, err error) { next(p.ObjectResult(content, err)) })
	case configsync.PublishPutObject:
		w.After(2*w.d.CrossRegionDelay, func() {
			if w.table.Down {
				next(p.ObjectResult(nil, platform.ErrUnavailable))
				return
			}
			w.objects[step.Object] = step.Content
			next(p.ObjectResult(nil, nil))
		})
	case configsync.PublishWait:
		w.After(step.Wait, func() { next(p.Waited()) })
	case configsync.PublishDone:
		done(step)
	}
}

// checkAccepted counts a publication as reverted if its operator was told that it
// is in effect and the row does not name it, or that it is not and the row does.
func (w *world) checkAccepted(id string, end configsync.PublishStep) {
	written := slices.Contains(w.current.ChangeIDs, id)
	unknown := errors.Is(end.Err, configsync.ErrPublishUnknown)
	if !end.Unchanged && !unknown && written != (end.Err == nil) {
		w.reverted++
	}
}
