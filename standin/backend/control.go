package backend

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"

	"github.com/cassiawind/cassiawind/standin/serve"
)

// Paths of the control endpoint. GET PathServers returns the Status of every
// server, PUT PathServers/<name> applies a ServerChange, and GET PathRuns returns a
// RunReport.
const (
	PathServers = "/control/servers"
	PathRuns    = "/control/runs"
)

const (
	wildcardName  = "name"
	patternServer = PathServers + "/{" + wildcardName + "}"
)

// Group holds the backend servers of one process.
type Group struct {
	cfg      Config
	servers  []*Server
	bookings *BookingLog
}

// NewGroup returns the servers of a configuration.
func NewGroup(cfg Config) *Group {
	g := &Group{cfg: cfg, bookings: NewBookingLog()}
	for i, c := range cfg.Servers {
		g.servers = append(g.servers, NewServer(c, g.bookings, rand.New(rand.NewPCG(cfg.Seed, uint64(i)))))
	}
	return g
}

// Servers returns the HTTP servers to run: the control endpoint first, then the
// backend servers in the order of the configuration.
func (g *Group) Servers() []serve.Server {
	all := []serve.Server{{Address: g.cfg.ControlAddress, HTTP: serve.NewHTTP(g.ControlHandler())}}
	for i, s := range g.servers {
		all = append(all, serve.Server{Address: g.cfg.Servers[i].Address, HTTP: s.HTTP()})
	}
	return all
}

// ControlHandler returns the handler of the control endpoint.
func (g *Group) ControlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(http.MethodGet+" "+PathServers, func(w http.ResponseWriter, _ *http.Request) {
		list := make([]Status, 0, len(g.servers))
		for _, s := range g.servers {
			list = append(list, s.Status())
		}
		writeJSON(w, http.StatusOK, list)
	})
	mux.HandleFunc(http.MethodGet+" "+PathRuns, func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, g.bookings.Report())
	})
	mux.HandleFunc(http.MethodPut+" "+patternServer, g.changeServer)
	return mux
}

func (g *Group) changeServer(w http.ResponseWriter, r *http.Request) {
	var c ServerChange
	if json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&c) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, s := range g.servers {
		if s.cfg.Name == r.PathValue(wildcardName) {
			s.Apply(c)
			writeJSON(w, http.StatusOK, s.Status())
			return
		}
	}
	w.WriteHeader(http.StatusNotFound)
}
