package main

import (
	"context"
	"fmt"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/pkg/errors"

	"github.com/cassiawind/cassiawind/entry/storeview"
	"github.com/cassiawind/cassiawind/platform/adapter"
)

// readStore reads the content of the store given in a settings file of the
// platform.
func readStore(settingsPath string) (*storeview.View, error) {
	settings, err := adapter.LoadSettings(settingsPath)
	if err != nil {
		return nil, err
	}
	store, err := adapter.Dial("http://" + settings.StoreAddress)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), queryTimeout)
	defer cancel()
	return storeview.Read(ctx, store, settings.RegionOf)
}

// printStoreStatus prints the content of the store.
func printStoreStatus(settingsPath string) error {
	view, err := readStore(settingsPath)
	if err != nil {
		return err
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	if view.Config == nil {
		fmt.Fprintln(w, storeview.ErrNoConfig)
	} else {
		fmt.Fprintf(w, "configuration %d\t%d routes\t%d services\t%d client accounts\n",
			view.Config.Version, view.Config.RouteCount(), len(view.Config.Services), len(view.Config.Accounts))
	}
	if len(view.Evacuated) > 0 {
		fmt.Fprintf(w, "evacuated: %s\n", strings.Join(view.Evacuated, ", "))
	}
	fmt.Fprintln(w, "\nVM\tREGION\tFAILURE DOMAIN\tLEAVING\tFOR CALLERS")
	for _, vm := range view.VMs {
		fmt.Fprintf(w, "%s\t%s\t%s\t%v\t%s\n", vm.Name, vm.Region, vm.FailureDomain, vm.Leaving, vm.FrontAddress)
	}
	printGroups(w, view.Groups())
	for _, row := range view.Unreadable {
		fmt.Fprintln(w, "unreadable:", row)
	}
	return w.Flush()
}

func printGroups(w *tabwriter.Writer, groups []storeview.Group) {
	fmt.Fprintln(w, "\nSERVICE\tREGION\tREADY\tCOLD\tDRAINING\tEVACUATED\tUSABLE SLOTS")
	for _, g := range groups {
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\t%d\n", g.Service, g.Region, g.Ready, g.Cold, g.Draining, g.Evacuated, g.Slots)
	}
}

// printStoreExplain prints how a request would be handled according to the
// content of the store.
func printStoreExplain(settingsPath, host, path, keyFile string) error {
	view, err := readStore(settingsPath)
	if err != nil {
		return err
	}
	key := ""
	if keyFile != "" {
		raw, err := os.ReadFile(keyFile)
		if err != nil {
			return errors.WithStack(err)
		}
		key = strings.TrimSpace(string(raw))
	}
	explanation, err := view.Explain(host, path, key)
	if err != nil {
		return err
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	r := explanation.Route
	fmt.Fprintf(w, "route %s\tprefix %s\trank %d\ttime-out %s\tobjective %s\tattempts %d\tmay be repeated %v\taffinity %v\n",
		r.Name, r.Prefix, explanation.Priority, r.Timeout, r.Objective, r.MaxAttempts, r.Idempotent, r.Affinity)
	if explanation.Account != nil {
		fmt.Fprintf(w, "client account %s\t%.1f requests/s\tburst %.0f\n", explanation.Account.Name, explanation.Account.RatePerSecond, explanation.Account.Burst)
	}
	for _, p := range r.TrafficSplit {
		fmt.Fprintf(w, "service %s\tweight %.1f\n", p.Service, p.Weight)
	}
	fmt.Fprintf(w, "regions that may serve it: %s\n", strings.Join(explanation.Allowed, ", "))
	printGroups(w, explanation.Groups)
	return w.Flush()
}
