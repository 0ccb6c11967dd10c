package main

import (
	"context"
	"time"

	"github.com/integrii/flaggy"

	"github.com/cassiawind/cassiawind/standin/demo"
	"github.com/cassiawind/cassiawind/standin/load"
)

const (
	defaultNet  = 77
	defaultSeed = 20261203
)

func newDemoFiles() command {
	o := &demo.Options{Net: defaultNet, Seed: defaultSeed}
	sub := flaggy.NewSubcommand("demo-files")
	sub.Description = "writes the declarations and settings of the demonstration"
	sub.String(&o.Dir, "o", "out", "folder to write to")
	sub.Int(&o.Net, "", "net", "second octet of all addresses")
	sub.UInt64(&o.Seed, "", "seed", "seed of keys and load")
	return command{subcommand: sub, run: func(context.Context) error { return demo.WriteFiles(*o) }}
}

type eventFlags struct {
	file  string
	event load.Event
}

func newEvent() command {
	f := &eventFlags{}
	sub := flaggy.NewSubcommand("event")
	sub.Description = "appends an event that ended now to the events of a load run"
	sub.String(&f.file, "f", "file", "events file")
	sub.String(&f.event.Event, "k", "kind", "kind of the event")
	sub.Int64(&f.event.UnixMS, "", "since", "begin of the event in milliseconds of Unix time; default now")
	sub.String(&f.event.Entry, "", "entry", "caller address of an entry VM")
	sub.String(&f.event.Client, "", "client", "client whose key was withdrawn")
	sub.String(&f.event.Server, "", "server", "backend server")
	sub.String(&f.event.Account, "", "account", "client account whose limits were changed")
	sub.Float64(&f.event.RatePerSecond, "", "rate", "new rate in requests per second")
	sub.Float64(&f.event.Burst, "", "burst", "new burst in requests")
	return command{subcommand: sub, run: f.run}
}

func (f *eventFlags) run(context.Context) error {
	f.event.EndUnixMS = time.Now().UnixMilli()
	if f.event.UnixMS == 0 {
		f.event.UnixMS = f.event.EndUnixMS
	}
	return load.AppendEvent(f.file, f.event)
}
