package main

import (
	"encoding/json"
	"fmt"
	"os"
	"text/tabwriter"

	"github.com/pkg/errors"

	"github.com/cassiawind/cassiawind/entry/operator"
)

func statusCommand() command {
	sub := newSubcommand("status", "shows the fleet, versions, drains, limits, headroom and client accounts",
		"cassiawind status --operator 127.1.0.1:8082")
	var address string
	var asJSON bool
	sub.String(&address, "", "operator", "operator address of an entry VM, ip:port")
	sub.Bool(&asJSON, "", "json", "prints the answer as JSON")
	return command{sub, func() error {
		if address == "" {
			return errors.Wrap(ErrUsage, "--operator is missing")
		}
		body, err := get(address, "/status", nil)
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

func printStatus(s *operator.Status) error {
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintf(w, "VM %s\tversion %s\tconfiguration %d\tepoch %d\tready %v\tlease %v\tin flight %d\n\n",
		s.VM, s.Build, s.ConfigVersion, s.Epoch, s.Ready, s.LeaseValid, s.InFlight)
	fmt.Fprintln(w, "ENTRY VM\tREGION\tFAILURE DOMAIN\tALIVE\tLEAVING\tCONFIGURATION")
	for _, m := range s.Fleet {
		fmt.Fprintf(w, "%s\t%s\t%s\t%v\t%v\t%d\n", m.VM, m.Region, m.FailureDomain, m.Alive, m.Leaving, m.ConfigVersion)
	}
	fmt.Fprintln(w, "\nLIMIT\tRATE/S\tBURST\tTOKENS HERE\tPART HERE\tDEMAND/S HERE")
	for _, l := range s.Limits {
		fmt.Fprintf(w, "%s\t%.1f\t%.0f\t%.1f\t%.1f%%\t%.1f\n", l.Name, l.RatePerSecond, l.Burst, l.Tokens, l.Part*100, l.DemandPerSecond)
	}
	fmt.Fprintln(w, "\nREGION\tHEADROOM\tDRAINED")
	for _, r := range s.Regions {
		fmt.Fprintf(w, "%s\t%.0f%%\t%v\n", r.Name, r.Headroom*100, r.Drained)
	}
	fmt.Fprintln(w, "\nSERVICE\tSLOTS HERE\tIN FLIGHT\tBACKEND SERVERS\tLEAVING OR DRAINED\tEJECTED")
	for _, v := range s.Services {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\n", v.Name, v.Slots, v.InFlight, v.Servers, v.Leaving, v.Ejected)
	}
	fmt.Fprintln(w, "\nCLIENT ACCOUNT (WORST SERVED FIRST)\tSERVED\tANSWERED\tREJECTED\tP50 MS\tP99 MS")
	for _, a := range s.Accounts {
		fmt.Fprintf(w, "%s\t%.1f%%\t%d\t%d\t%.1f\t%.1f\n", a.Name, a.Served*100, a.Answered, a.Rejected, a.P50MS, a.P99MS)
	}
	return w.Flush()
}
