package main

import (
	"context"
	"fmt"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/cassiawind/cassiawind/core/configsync"
	"github.com/cassiawind/cassiawind/core/fleet"
	"github.com/cassiawind/cassiawind/declare"
	"github.com/cassiawind/cassiawind/entry/control"
	peerv1 "github.com/cassiawind/cassiawind/peerapi/peer/v1"
	"github.com/cassiawind/cassiawind/platform"
	"github.com/cassiawind/cassiawind/platform/adapter"
)

// publishTimeout bounds one publish including its retries.
const publishTimeout = time.Minute

// anyVersion means that the operator did not give an expected version.
const anyVersion = -1

type publishOptions struct {
	dir, table, objects string
	expect              int64
	dryRun, resetFleet  bool
}

func publishCommand() command {
	sub := newSubcommand("publish", "validates a folder and makes it the accepted configuration",
		"cassiawind publish examples/frameshare --table http://10.0.0.5:7000 --objects http://10.0.0.5:7001 --expect 12")
	o := publishOptions{expect: anyVersion}
	sub.AddPositionalValue(&o.dir, "DIR", 1, true, "folder with the declarations")
	sub.String(&o.table, "", "table", "URL of the platform's table service")
	sub.String(&o.objects, "", "objects", "URL of the platform's object store")
	sub.Int64(&o.expect, "", "expect", "version that must be in effect; default: the version that is read")
	sub.Bool(&o.dryRun, "", "dry-run", "shows the changes and writes nothing")
	sub.Bool(&o.resetFleet, "", "reset-fleet", "also empties the membership; only if all entry VMs were lost at once")
	return command{sub, o.run}
}

func (o *publishOptions) run() error {
	if o.table == "" || o.objects == "" {
		return errors.Wrap(ErrUsage, "--table and --objects are needed")
	}
	folder, err := declare.LoadFolder(o.dir)
	if err != nil {
		return err
	}
	tableStore, err := adapter.Dial(o.table)
	if err != nil {
		return err
	}
	objectStore, err := adapter.Dial(o.objects)
	if err != nil {
		return err
	}
	table, objects := adapter.NewTable(tableStore), adapter.NewObjects(objectStore)
	ctx, cancel := context.WithTimeout(context.Background(), publishTimeout)
	defer cancel()
	if err := o.publish(ctx, folder, table, objects); err != nil || !o.resetFleet || o.dryRun {
		return err
	}
	return resetFleet(ctx, table)
}

// publish prints the changes and publishes them if the version that they were
// compared with is still in effect.
func (o *publishOptions) publish(ctx context.Context, folder *declare.Folder, table platform.Table, objects platform.Objects) error {
	version, old, err := readAccepted(ctx, table, objects)
	if err != nil {
		return err
	}
	if o.expect != anyVersion && uint64(o.expect) != version {
		return versionConflict(uint64(o.expect), version)
	}
	changes := declare.Diff(old, folder.Config)
	for _, line := range changes {
		fmt.Println(line)
	}
	if o.dryRun {
		fmt.Printf("dry run: %d changes over version %d; nothing was written\n", len(changes), version)
		return nil
	}
	step, err := runPublish(ctx, configsync.NewPublish(configEntries(folder), version, uuid.NewString()), table, objects)
	if err != nil {
		return err
	}
	if step.Unchanged {
		fmt.Printf("no change: version %d stays in effect\n", version)
		return nil
	}
	fmt.Printf("published version %d with %d changes\n", step.Version, len(changes))
	return nil
}

func versionConflict(expected, found uint64) error {
	return errors.Wrapf(platform.ErrConflict, "version %d was expected, version %d is in effect", expected, found)
}

func configEntries(folder *declare.Folder) []*peerv1.ConfigEntry {
	out := make([]*peerv1.ConfigEntry, 0, len(folder.Files))
	for _, f := range folder.Files {
		out = append(out, &peerv1.ConfigEntry{Name: f.Name, Content: f.Content})
	}
	return out
}

// readAccepted reads the accepted configuration. It returns version 0 and nil
// if there is none.
func readAccepted(ctx context.Context, table platform.Reader, objects platform.Objects) (uint64, *declare.Config, error) {
	row, err := table.Get(ctx, configsync.CurrentKey)
	if errors.Is(err, platform.ErrNotFound) {
		return 0, nil, nil
	}
	if err != nil {
		return 0, nil, err
	}
	current, err := configsync.ParseCurrent(row)
	if err != nil {
		return 0, nil, err
	}
	object, err := objects.Get(ctx, current.Object)
	if err != nil {
		return 0, nil, err
	}
	entries, err := configsync.DecodeObject(current, object)
	if err != nil {
		return 0, nil, err
	}
	config, err := declare.Parse(control.DeclarationFiles(entries))
	return current.Version, config, err
}

// runPublish executes the steps of a publish.
func runPublish(ctx context.Context, p *configsync.Publish, table platform.Table, objects platform.Objects) (configsync.PublishStep, error) {
	step := p.Start()
	for {
		switch step.Kind {
		case configsync.PublishTable:
			step = p.TableResult(control.RunOp(ctx, table, step.Op))
		case configsync.PublishGetObject:
			content, err := objects.Get(ctx, step.Object)
			step = p.ObjectResult(content, err)
		case configsync.PublishPutObject:
			step = p.ObjectResult(nil, objects.Put(ctx, step.Object, step.Content))
		case configsync.PublishWait:
			time.Sleep(step.Wait)
			step = p.Waited()
		default:
			return step, publishError(step.Err)
		}
	}
}

// publishError maps the errors of a publish to the errors that have exit codes.
func publishError(err error) error {
	var version *configsync.VersionError
	switch {
	case errors.As(err, &version):
		return versionConflict(version.Expected, version.Found)
	case errors.Is(err, configsync.ErrPublishUnknown):
		return errors.Wrap(platform.ErrOutcomeUnknown, err.Error())
	default:
		return err
	}
}

// resetFleet empties the fleet row.
func resetFleet(ctx context.Context, table platform.Table) error {
	row, err := table.Get(ctx, fleet.RowKey)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return err
	}
	write, next, err := fleet.PlanReset(row, uuid.NewString())
	if err != nil {
		return err
	}
	if _, err := table.Transact(ctx, []platform.Write{write}); err != nil {
		return err
	}
	fmt.Printf("membership is empty at epoch %d; entry VMs join again by themselves\n", next.GetEpoch())
	return nil
}
