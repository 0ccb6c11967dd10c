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
	initialFiller  = "x"
	changedFiller  = "y"
	changeIDFormat = "change-%d"
	// operatorRetryInterval is the time after which an operator retries a failed
	// publication, based on the version that is then in effect.
	operatorRetryInterval = time.Second
)

// allKeys returns a configuration folder with one file for each key.
func allKeys() []*peerv1.ConfigEntry {
	var out []*peerv1.ConfigEntry
	for i := range keyFiles {
		out = append(out, &peerv1.ConfigEntry{Name: fmt.Sprintf(keyNameFormat, i), Content: []byte(strings.Repeat(initialFiller, fileBytes))})
	}
	return out
}

// start publishes the first version and waits until all VMs have installed it.
func (sim *simulation) start() {
	sim.publish(allKeys(), sim.current.Version, func(configsync.PublishStep) {})
	sim.advance(startupPeriod)
}

// withdraw publishes the version in effect without a key. If another operator
// published first or the store is down, it retries with the version that is then in
// effect.
func (sim *simulation) withdraw(key int) {
	name := fmt.Sprintf(keyNameFormat, key)
	sim.requestedWithdrawals[name] = true
	folder := slices.DeleteFunc(slices.Clone(sim.currentFolder()), func(e *peerv1.ConfigEntry) bool { return e.Name == name })
	sim.publish(folder, sim.current.Version, func(result configsync.PublishStep) {
		if result.Err != nil && sim.withdrawn[name] == 0 {
			sim.After(operatorRetryInterval, func() { sim.withdraw(key) })
		}
	})
}

// publish runs a publication on an operator's host, which is as far from the store
// as the VMs of other regions.
func (sim *simulation) publish(folder []*peerv1.ConfigEntry, expected uint64, onDone func(configsync.PublishStep)) {
	sim.changes++
	id := fmt.Sprintf(changeIDFormat, sim.changes)
	sim.folders[id] = folder
	p := configsync.NewPublish(folder, expected, id)
	sim.runPublishStep(p, p.Start(), func(result configsync.PublishStep) {
		sim.checkPublishResult(id, result)
		onDone(result)
	})
}

func (sim *simulation) runPublishStep(p *configsync.Publish, step configsync.PublishStep, onDone func(configsync.PublishStep)) {
	next := func(step configsync.PublishStep) { sim.runPublishStep(p, step, onDone) }
	disconnected := func() bool { return false }
	switch step.Kind {
	case configsync.PublishTable:
		sim.table.Call(sim.deployment.CrossRegionDelay, disconnected, step.Op, func(r tableop.Result) { next(p.TableResult(r)) })
	case configsync.PublishGetObject:
		sim.getObject(sim.deployment.CrossRegionDelay, disconnected, step.Object, func(content []byte, err error) { next(p.ObjectResult(content, err)) })
	case configsync.PublishPutObject:
		sim.After(2*sim.deployment.CrossRegionDelay, func() {
			if sim.table.Down {
				next(p.ObjectResult(nil, platform.ErrUnavailable))
				return
			}
			sim.objects[step.Object] = step.Content
			next(p.ObjectResult(nil, nil))
		})
	case configsync.PublishWait:
		sim.After(step.Wait, func() { next(p.Waited()) })
	case configsync.PublishDone:
		onDone(step)
	}
}

// checkPublishResult counts a publication as reverted if its result contradicts the
// row: the operator was told that it succeeded and the row does not name the change,
// or that it failed and the row does.
func (sim *simulation) checkPublishResult(id string, result configsync.PublishStep) {
	written := slices.Contains(sim.current.ChangeIDs, id)
	outcomeUnknown := errors.Is(result.Err, configsync.ErrPublishUnknown)
	if !result.Unchanged && !outcomeUnknown && written != (result.Err == nil) {
		sim.reverted++
	}
}
