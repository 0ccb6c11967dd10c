// Package tableop holds the types with which the core packages ask for calls to
// the platform's table and get their results.
package tableop

import (
	"github.com/cassiawind/cassiawind/platform"
)

// Op is one table call: reads if Writes is empty, else a transaction.
type Op struct {
	// ID is chosen by the asking package and returned in the Result.
	ID uint64
	// Reads are row keys to get. They are read one by one, not as a snapshot.
	Reads []string
	// Writes are applied all or none.
	Writes []platform.Write
}

// Result is the outcome of an Op.
type Result struct {
	ID uint64
	// Rows are the rows found, in the order of Op.Reads; missing rows are
	// left out.
	Rows []platform.Row
	// Versions are the new row versions in the order of Op.Writes.
	Versions []uint64
	// Err is nil or one of platform's errors.
	Err error
}

// Row returns the row with the key and whether it was found.
func (r Result) Row(key string) (platform.Row, bool) {
	for _, row := range r.Rows {
		if row.Key == key {
			return row, true
		}
	}
	return platform.Row{}, false
}
