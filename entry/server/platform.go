package server

import (
	"github.com/cassiawind/cassiawind/declare"
	"github.com/cassiawind/cassiawind/entry/control"
	"github.com/cassiawind/cassiawind/platform/adapter"
)

// DialPlatform connects to the platform services at the endpoints in the
// settings. All three endpoints may be the same.
func DialPlatform(s declare.Settings) (control.Platform, error) {
	table, err := adapter.Dial(s.TableURL)
	if err != nil {
		return control.Platform{}, err
	}
	objects, err := adapter.Dial(s.ObjectsURL)
	if err != nil {
		return control.Platform{}, err
	}
	vms, err := adapter.Dial(s.VMListURL)
	if err != nil {
		return control.Platform{}, err
	}
	return control.Platform{Table: adapter.NewTable(table), Objects: adapter.NewObjects(objects), VMs: adapter.NewVMRegistry(vms)}, nil
}
