package platformstore

import (
	"encoding/json"
	"net/http"
)

// PathFaults is the path of the admin end point; the name of a store follows.
// PUT sets its Faults, GET shows them.
const PathFaults = "/admin/faults/"

// maxAdminBytes bounds a body of the admin end point.
const maxAdminBytes = 64 << 10

// NewAdmin serves the admin end point of named stores.
func NewAdmin(stores map[string]*Store) http.Handler {
	mux := http.NewServeMux()
	for name, s := range stores {
		show := func(w http.ResponseWriter) {
			w.Header().Set("Content-Type", "application/json")
			_ = json.NewEncoder(w).Encode(s.Faults())
		}
		mux.HandleFunc(http.MethodGet+" "+PathFaults+name, func(w http.ResponseWriter, _ *http.Request) { show(w) })
		mux.HandleFunc(http.MethodPut+" "+PathFaults+name, func(w http.ResponseWriter, r *http.Request) {
			var f Faults
			if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAdminBytes)).Decode(&f); err != nil {
				http.Error(w, err.Error(), http.StatusBadRequest)
				return
			}
			s.SetFaults(f)
			show(w)
		})
	}
	return mux
}
