package server

import (
	"github.com/cassiawind/cassiawind/declare"
	"github.com/cassiawind/cassiawind/entry/control"
	"github.com/cassiawind/cassiawind/platform/httpclient"
	"github.com/cassiawind/cassiawind/platform/httpobjects"
	"github.com/cassiawind/cassiawind/platform/httptable"
	"github.com/cassiawind/cassiawind/platform/httpvms"
)

// HTTPPlatform returns the platform's services at the settings' end points.
func HTTPPlatform(s declare.Settings) (control.Platform, error) {
	table, err := httptable.New(httpclient.Config{BaseURL: s.TableURL})
	if err != nil {
		return control.Platform{}, err
	}
	objects, err := httpobjects.New(httpclient.Config{BaseURL: s.ObjectsURL})
	if err != nil {
		return control.Platform{}, err
	}
	vms, err := httpvms.New(httpclient.Config{BaseURL: s.VMListURL})
	if err != nil {
		return control.Platform{}, err
	}
	return control.Platform{Table: table, Objects: objects, VMs: vms}, nil
}
