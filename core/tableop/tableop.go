// Package tableop defines the types with which the core packages request
// calls to the platform's table and receive the results.
package tableop

import (
	"github.com/cassiawind/cassiawind/platform"
)

// Op is one call to the table: reads if Writes is empty, otherwise a
// transaction.
type Op struct {
	// ID is chosen by the package that requests the call and is returned in the
	// Result.
	ID uint64
	// Reads are the keys of the rows to read. The rows are read one by one, not
	// as a snapshot.
	Reads []string
	// Writes are applied either all or not at all.
	Writes []platform.Write
}

// Result is the outcome of an Op.
type Result struct {
	ID uint64
	// Rows are the rows that were found, in the order of Op.Reads.
	Rows []platform.Row
	// Versions are the new row versions in the order of Op.Writes.
	Versions []uint64
	// Err is nil or one of the errors of package platform.
	Err error
}

// Row returns the row with the key and reports whether it was found.
func (r Result) Row(key string) (platform.Row, bool) {
	for _, row := range r.Rows {
		if row.Key == key {
			return row, true
		}
	}
	return platform.Row{}, false
}
