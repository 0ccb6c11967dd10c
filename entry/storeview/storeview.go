// Package storeview reads, for operators, what the platform's store holds for
// the gateway. It needs no gateway process.
package storeview

import (
	"cmp"
	"context"
	"maps"
	"slices"

	"github.com/pkg/errors"

	"github.com/cassiawind/cassiawind/core/steering"
	"github.com/cassiawind/cassiawind/entry/gateway"
	"github.com/cassiawind/cassiawind/platform/adapter"
)

// Errors of Explain.
var (
	ErrNoConfig   = errors.New("the store holds no configuration")
	ErrNoRoute    = errors.New("no route matches: 404")
	ErrUnknownKey = errors.New("no client account has this key: 401")
)

// View is the content of the store.
type View struct {
	// Config is nil if the store holds none.
	Config *steering.Config
	// Evacuated lists the evacuated failure domains.
	Evacuated []string
	Servers   []*steering.Server
	VMs       []*steering.VM
	// Unreadable lists the rows that cannot be decoded, with the reason. They
	// are in no other list; gateways keep the last known state of such rows.
	Unreadable []string
}

// Read reads the store.
func Read(ctx context.Context, store *adapter.Store, regionOf map[string]string) (*View, error) {
	v := &View{}
	for table, add := range map[string]func(adapter.Row) error{
		adapter.TableOperator: v.addOperator,
		adapter.TableServers: func(r adapter.Row) error {
			s, err := adapter.DecodeServer(r.Key, r.Value, regionOf, 0)
			if err == nil {
				v.Servers = append(v.Servers, s)
			}
			return err
		},
		adapter.TableVMs: func(r adapter.Row) error {
			vm, err := gateway.DecodeVM(r.Key, r.Value)
			if err == nil {
				v.VMs = append(v.VMs, vm)
			}
			return err
		},
	} {
		rows, err := store.Read(ctx, table)
		if err != nil {
			return nil, err
		}
		for _, r := range rows.Rows {
			if err := add(r); err != nil {
				v.Unreadable = append(v.Unreadable, table+"/"+r.Key+": "+err.Error())
			}
		}
	}
	slices.Sort(v.Unreadable)
	return v, nil
}

func (v *View) addOperator(r adapter.Row) error {
	isConfig, domain := adapter.ParseOperatorKey(r.Key)
	if domain != "" {
		v.Evacuated = append(v.Evacuated, domain)
	}
	if !isConfig {
		return nil
	}
	config, err := adapter.DecodeConfig(r.Value)
	if err == nil {
		v.Config = config
	}
	return err
}

// Group counts the backend servers of one service in one region.
type Group struct {
	Service, Region                         string
	Ready, Cold, Draining, Evacuated, Slots int
}

// Groups returns the groups ordered by service and region. Slots are those of
// servers that may be used.
func (v *View) Groups() []Group {
	groups := make(map[[2]string]*Group)
	for _, s := range v.Servers {
		key := [2]string{s.Service, s.Region}
		g := groups[key]
		if g == nil {
			g = &Group{Service: s.Service, Region: s.Region}
			groups[key] = g
		}
		switch {
		case s.Draining:
			g.Draining++
			continue
		case slices.Contains(v.Evacuated, s.FailureDomain):
			g.Evacuated++
			continue
		case s.ColdUntil > 0:
			g.Cold++
		default:
			g.Ready++
		}
		g.Slots += s.Slots
	}
	out := make([]Group, 0, len(groups))
	for _, g := range groups {
		out = append(out, *g)
	}
	slices.SortFunc(out, func(a, b Group) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Region, b.Region))
	})
	return out
}

// Explanation is how a gateway would decide a request.
type Explanation struct {
	Route    *steering.Route
	Account  *steering.Account
	Priority int
	// Groups are the backend servers of the route's services, Allowed the
	// regions that may serve the request.
	Groups  []Group
	Allowed []string
}

// Explain returns how a request with a key would be decided. The key may be
// empty.
func (v *View) Explain(host, path, key string) (*Explanation, error) {
	if v.Config == nil {
		return nil, ErrNoConfig
	}
	e := &Explanation{Route: v.Config.Match(host, path)}
	if e.Route == nil {
		return nil, ErrNoRoute
	}
	if v.Config.RequireKeys && key != "" {
		e.Account = v.Config.AccountByKey(key)
	}
	if v.Config.RequireKeys && e.Account == nil && !e.Route.AllowAnonymous {
		return nil, ErrUnknownKey
	}
	e.Priority = steering.PriorityOf(e.Route, e.Account)
	allowed := make(map[string]bool)
	for _, g := range v.Groups() {
		if !slices.ContainsFunc(e.Route.TrafficSplit, func(p steering.WeightedService) bool { return p.Service == g.Service }) {
			continue
		}
		e.Groups = append(e.Groups, g)
		if steering.RegionAllowed(e.Route, e.Account, g.Region) {
			allowed[g.Region] = true
		}
	}
	e.Allowed = slices.Sorted(maps.Keys(allowed))
	return e, nil
}
