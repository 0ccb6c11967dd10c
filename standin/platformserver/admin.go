package platformserver

import (
	"net/http"

	"github.com/cassiawind/cassiawind/platform/httpvms"
	"github.com/cassiawind/cassiawind/platform/memory"
)

// Paths of the admin end point. PUT sets the memory.Faults of a service
// or the httpvms.List; GET shows the faults.
const (
	PathFaults = "/admin/faults/"
	PathVMs    = "/admin/vms"
)

// Names of the services below PathFaults.
const (
	ServiceTable   = "table"
	ServiceObjects = "objects"
	ServiceVMs     = "vms"
)

// Services are the services of one platform.
type Services struct {
	Table   *memory.Table
	Objects *memory.Objects
	VMs     *memory.VMs
}

type faulty interface {
	Faults() memory.Faults
	SetFaults(memory.Faults)
}

// NewAdmin serves the admin end point.
func NewAdmin(s Services) http.Handler {
	mux := http.NewServeMux()
	for name, service := range map[string]faulty{
		ServiceTable: s.Table, ServiceObjects: s.Objects, ServiceVMs: s.VMs,
	} {
		mux.HandleFunc(http.MethodGet+" "+PathFaults+name, func(w http.ResponseWriter, _ *http.Request) {
			writeJSON(w, http.StatusOK, service.Faults())
		})
		mux.HandleFunc(http.MethodPut+" "+PathFaults+name, func(w http.ResponseWriter, r *http.Request) {
			var f memory.Faults
			if decode(w, r, maxAdminBytes, &f) {
				service.SetFaults(f)
				writeJSON(w, http.StatusOK, f)
			}
		})
	}
	mux.HandleFunc(http.MethodPut+" "+PathVMs, func(w http.ResponseWriter, r *http.Request) {
		var list httpvms.List
		if decode(w, r, maxAdminBytes, &list) {
			s.VMs.Set(list.VMs)
			writeJSON(w, http.StatusOK, list)
		}
	})
	return mux
}
