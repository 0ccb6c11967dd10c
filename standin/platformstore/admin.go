package platformstore

import (
	"encoding/json"
	"net/http"
)

// PathFaults is the path of the admin endpoint, to which the name of a store is
// appended. PUT sets the Faults of the store, GET returns them.
const PathFaults = "/admin/faults/"

// maxAdminBytes bounds the body of a request to the admin endpoint.
const maxAdminBytes = 64 << 10

// NewAdmin returns the handler of the admin endpoint for the given stores by name.
func NewAdmin(stores map[string]*Store) http.Handler {
	mux := http.NewServeMux()
	for name, s := range stores {
		writeFaults := func(w http.ResponseWriter) {
			w.Header().Set("Content-Type", "application/json")
			_ = json.NewEncoder(w).Encode(s.Faults())
		}
		mux.HandleFunc(http.MethodGet+" "+PathFaults+name, func(w http.ResponseWriter, _ *http.Request) { writeFaults(w) })
		mux.HandleFunc(http.MethodPut+" "+PathFaults+name, func(w http.ResponseWriter, r *http.Request) {
			var f Faults
			if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAdminBytes)).Decode(&f); err != nil {
				http.Error(w, err.Error(), http.StatusBadRequest)
				return
			}
			s.SetFaults(f)
			writeFaults(w)
		})
	}
	return mux
}
