package main

import (
	"context"

	"github.com/integrii/flaggy"

	"github.com/cassiawind/cassiawind/standin/platformstore"
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
}

func newPlatform() command {
	f := &platformFlags{table: defaultTable, objects: defaultObjects, vms: defaultVMs, admin: defaultAdmin}
	sub := flaggy.NewSubcommand("platform")
	sub.Description = "stores for rows, objects and the VM list, each with faults of its own, and their admin end point"
	sub.String(&f.table, "", "table", "address of the store for rows")
	sub.String(&f.objects, "", "objects", "address of the store for objects")
	sub.String(&f.vms, "", "vms", "address of the store for the VM list")
	sub.String(&f.admin, "", "admin", "address of the admin end point")
	return command{subcommand: sub, run: f.run}
}

func (f *platformFlags) run(ctx context.Context) error {
	table, objects, vms := platformstore.New(), platformstore.New(), platformstore.New()
	admin := platformstore.NewAdmin(map[string]*platformstore.Store{"table": table, "objects": objects, "vms": vms})
	return serve.ListenAndServe(ctx, []serve.Server{
		{Address: f.table, HTTP: serve.NewHTTP(table)},
		{Address: f.objects, HTTP: serve.NewHTTP(objects)},
		{Address: f.vms, HTTP: serve.NewHTTP(vms)},
		{Address: f.admin, HTTP: serve.NewHTTP(admin)},
	})
}
