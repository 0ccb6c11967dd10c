package main

import (
	"context"
	"encoding/json"
	"os"
	"time"

	"github.com/integrii/flaggy"

	"github.com/cassiawind/cassiawind/platform"
	"github.com/cassiawind/cassiawind/platform/httpvms"
	"github.com/cassiawind/cassiawind/platform/memory"
	"github.com/cassiawind/cassiawind/standin/platformserver"
	"github.com/cassiawind/cassiawind/standin/serve"
)

// Default addresses of the platform stand-in.
const (
	defaultTable   = "127.0.0.1:7001"
	defaultObjects = "127.0.0.1:7002"
	defaultVMs     = "127.0.0.1:7003"
	defaultAdmin   = "127.0.0.1:7004"
)

type platformFlags struct {
	table, objects, vms, admin string
	vmsFile                    string
	vmsLag                     time.Duration
}

func newPlatform() command {
	f := &platformFlags{table: defaultTable, objects: defaultObjects, vms: defaultVMs, admin: defaultAdmin}
	sub := flaggy.NewSubcommand("platform")
	sub.Description = "table, object store, VM list and their admin end point"
	sub.String(&f.table, "", "table", "address of the table")
	sub.String(&f.objects, "", "objects", "address of the object store")
	sub.String(&f.vms, "", "vms", "address of the VM list")
	sub.String(&f.admin, "", "admin", "address of the admin end point")
	sub.String(&f.vmsFile, "", "vms-file", "JSON file with the first VM list")
	sub.Duration(&f.vmsLag, "", "vms-lag", "lag of changes of the VM list")
	return command{sub: sub, run: f.run}
}

func (f *platformFlags) run(ctx context.Context) error {
	vms, err := readVMs(f.vmsFile)
	if err != nil {
		return err
	}
	s := platformserver.Services{
		Table:   memory.NewTable(),
		Objects: memory.NewObjects(),
		VMs:     memory.NewVMs(f.vmsLag, vms),
	}
	return serve.All(ctx, []serve.Server{
		{Address: f.table, HTTP: serve.NewHTTP(platformserver.NewTable(s.Table))},
		{Address: f.objects, HTTP: serve.NewHTTP(platformserver.NewObjects(s.Objects))},
		{Address: f.vms, HTTP: serve.NewHTTP(platformserver.NewVMs(s.VMs))},
		{Address: f.admin, HTTP: serve.NewHTTP(platformserver.NewAdmin(s))},
	})
}

func readVMs(file string) ([]platform.VM, error) {
	if file == "" {
		return nil, nil
	}
	content, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	var list httpvms.List
	if err := json.Unmarshal(content, &list); err != nil {
		return nil, err
	}
	return list.VMs, nil
}
