package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"time"
)

// oddRowInterval is the interval at which another writer writes one of its registrations.
const oddRowInterval = 300 * time.Millisecond

// oddRegistrations are registrations by another writer, as JSON. They name no server, and
// nothing listens at the addresses.
var oddRegistrations = func() map[string]string {
	registration := func(address, slots, more string) string {
		return fmt.Sprintf(`{"service":"desk","zone":"north-a","state":"ready","address":%s,"slots":%s%s}`, address, slots, more)
	}
	const address = `"127.0.0.1:9"`
	return map[string]string{
		"odd-nested": registration(address, strings.Repeat("[", 9000)+strings.Repeat("]", 9000), ""), "odd-digits": registration(address, strings.Repeat("9", 9000), ""),
		"odd-large": registration(address, "9223372036854775807", ""), "odd-fraction": registration(address, "1.5", ""),
		"odd-port": registration(`"127.0.0.1:99999"`, "16", ""), "odd-host": registration(`"nowhere.invalid:80"`, "16", ""),
		"odd-cold": registration(address, "16", `,"cold_left":"1e300s"`), "odd-born": registration(address, "16", `,"born":-1`),
		"odd id\r\nX: y": registration(address, "16", ""), "odd-array": "[]",
	}
}()

// writeOddRows writes the odd registrations again and again until ctx ends. Builds of before
// they were checked use some of them, so that none are written beside another build.
func (tb *testbed) writeOddRows(ctx context.Context) {
	for ctx.Err() == nil && tb.options.OtherBinary == "" {
		for key, registration := range oddRegistrations {
			if err := tb.store.Put("servers", key, json.RawMessage(registration)); err != nil {
				panic(err)
			}
			time.Sleep(oddRowInterval)
		}
	}
}
