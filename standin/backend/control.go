package backend

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"

	"github.com/cassiawind/cassiawind/standin/serve"
)

// Paths of the control end point. GET PathServers lists every Status, PUT
// PathServers/<name> takes a Change, GET PathRuns answers a RunReport.
const (
	PathServers = "/control/servers"
	PathRuns    = "/control/runs"
)

const (
	pathValueName = "name"
	pathServer    = PathServers + "/{" + pathValueName + "}"
)

// Group is the backend servers of one process.
type Group struct {
	cfg     Config
	servers []*Server
	runs    *BookingLog
}

// NewGroup returns the servers of a configuration.
func NewGroup(cfg Config) *Group {
	g := &Group{cfg: cfg, runs: NewBookingLog()}
	for i, c := range cfg.Servers {
		g.servers = append(g.servers, NewServer(c, g.runs, rand.New(rand.NewPCG(cfg.Seed, uint64(i)))))
	}
	return g
}

// Servers returns all servers and the control end point.
func (g *Group) Servers() []serve.Server {
	all := []serve.Server{{Address: g.cfg.ControlAddress, HTTP: serve.NewHTTP(g.ControlHandler())}}
	for i, s := range g.servers {
		all = append(all, serve.Server{Address: g.cfg.Servers[i].Address, HTTP: s.HTTP()})
	}
	return all
}

// Control serves the control end point.
func (g *Group) ControlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(http.MethodGet+" "+PathServers, func(w http.ResponseWriter, _ *http.Request) {
		list := make([]Status, 0, len(g.servers))
		for _, s := range g.servers {
			list = append(list, s.Status())
		}
		answer(w, http.StatusOK, list)
	})
	mux.HandleFunc(http.MethodGet+" "+PathRuns, func(w http.ResponseWriter, _ *http.Request) {
		answer(w, http.StatusOK, g.runs.Report())
	})
	mux.HandleFunc(http.MethodPut+" "+pathServer, g.change)
	return mux
}

func (g *Group) change(w http.ResponseWriter, r *http.Request) {
	var c ServerChange
	if json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&c) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, s := range g.servers {
		if s.cfg.Name == r.PathValue(pathValueName) {
			s.Apply(c)
			answer(w, http.StatusOK, s.Status())
			return
		}
	}
	w.WriteHeader(http.StatusNotFound)
}
