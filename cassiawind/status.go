package main

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/pkg/errors"

	"github.com/cassiawind/cassiawind/entry/operator"
	"github.com/cassiawind/cassiawind/entry/telemetry"
)

func statusCommand() command {
	sub := newSubcommand("status", "shows the fleet, versions, drains, limits, headroom and client accounts",
		"cassiawind status --operator 127.1.0.1:8082\n  cassiawind status --platform /etc/cassiawind/local.json")
	var address, platformFile string
	sub.String(&platformFile, "", "platform", "settings file of the users' platform; shows what its store holds")
	var asJSON bool
	sub.String(&address, "", "operator", "operator address of an entry VM, ip:port")
	sub.Bool(&asJSON, "", "json", "prints the answer as JSON")
	return command{sub, func() error {
		if platformFile != "" {
			return printStoreStatus(platformFile)
		}
		if address == "" {
			return errors.Wrap(ErrUsage, "--operator or --platform is missing")
		}
		body, err := queryEntryVM(address, "/status", nil)
		if err != nil {
			return err
		}
		if asJSON {
			fmt.Println(string(body))
			return nil
		}
		var s operator.Status
		if err := json.Unmarshal(body, &s); err != nil {
			return errors.Wrap(ErrQuery, err.Error())
		}
		return printStatus(&s)
	}}
}

// printStatus prints the status as tables, one for each section.
func printStatus(s *operator.Status) error {
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintf(w, "VM %s\tversion %s\tconfiguration %d\tepoch %d\t%s\tready %v\tlease %v\tin flight %d\n\n",
		s.VM, s.Build, s.ConfigVersion, s.Epoch, s.Phase, s.Ready, s.LeaseValid, s.InFlight)
	printFleet(w, s.Fleet)
	printLimits(w, s.Limits)
	printRegions(w, s.Regions)
	printServices(w, s.Services)
	printDrains(w, s.Drains)
	printAccounts(w, s.Accounts)
	return w.Flush()
}

func printFleet(w io.Writer, fleet []operator.Member) {
	fmt.Fprintln(w, "ENTRY VM\tREGION\tFAILURE DOMAIN\tALIVE\tLEAVING\tCONFIGURATION")
	for _, m := range fleet {
		fmt.Fprintf(w, "%s\t%s\t%s\t%v\t%v\t%d\n", m.VM, m.Region, m.FailureDomain, m.Alive, m.Leaving, m.ConfigVersion)
	}
}

func printLimits(w io.Writer, limits []operator.Limit) {
	fmt.Fprintln(w, "\nLIMIT\tRATE/S\tBURST\tTOKENS HERE\tPART HERE\tDEMAND/S HERE\tPARTS OF OTHERS")
	for _, l := range limits {
		fmt.Fprintf(w, "%s\t%.1f\t%.0f\t%.1f\t%.1f%%\t%.1f\t%s\n",
			l.Name, l.RatePerSecond, l.Burst, l.Tokens, l.Fraction*100, l.DemandPerSecond, formatHolders(l.Holders))
	}
}

// formatHolders lists the VMs that hold a part of a limit, ordered by name, with
// their parts in percent.
func formatHolders(fractions map[string]float64) string {
	var out []string
	for _, vm := range slices.Sorted(maps.Keys(fractions)) {
		if fractions[vm] > 0 {
			out = append(out, fmt.Sprintf("%s %.1f%%", vm, fractions[vm]*100))
		}
	}
	return strings.Join(out, ", ")
}

func printRegions(w io.Writer, regions []operator.Region) {
	fmt.Fprintln(w, "\nREGION\tHEADROOM\tDRAINED")
	for _, r := range regions {
		fmt.Fprintf(w, "%s\t%.0f%%\t%v\n", r.Name, r.Headroom*100, r.Drained)
	}
}

func printServices(w io.Writer, services []operator.Service) {
	fmt.Fprintln(w, "\nSERVICE\tSLOTS HERE\tIN FLIGHT\tBACKEND SERVERS\tLEAVING OR DRAINED\tEJECTED")
	for _, v := range services {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\n", v.Name, v.Slots, v.InFlight, v.Servers, v.Leaving, v.Ejected)
	}
}

func printDrains(w io.Writer, drains []operator.Drain) {
	if len(drains) == 0 {
		return
	}
	fmt.Fprintln(w, "\nDRAIN\tIN FLIGHT HERE")
	for _, d := range drains {
		fmt.Fprintf(w, "%s\t%d\n", d.Name, d.InFlight)
	}
}

func printAccounts(w io.Writer, accounts []telemetry.Account) {
	fmt.Fprintln(w, "\nCLIENT ACCOUNT (WORST SERVED FIRST)\tSERVED\tANSWERED\tREJECTED\tP50 MS\tP99 MS")
	for _, a := range accounts {
		fmt.Fprintf(w, "%s\t%.1f%%\t%d\t%d\t%.1f\t%.1f\n", a.Name, a.Served*100, a.Answered, a.Rejected, a.P50MS, a.P99MS)
	}
}
