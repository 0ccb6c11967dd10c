package routing

import (
	"net/netip"
	"slices"
)

// Update returns a table with some blocks removed and others added. The
// original is not changed. Both share the unchanged parts, so that the cost
// is proportional to the size of the change. The error is a *BlockError.
func (b *Blocks) Update(remove []netip.Prefix, add []BlockEntry) (*Blocks, error) {
	table := b.table
	for _, prefix := range remove {
		table = table.DeletePersist(prefix)
	}
	regions := slices.Clone(b.regions)
	for _, e := range add {
		if !e.Prefix.IsValid() || e.Prefix != e.Prefix.Masked() {
			return nil, &BlockError{Prefix: e.Prefix, Err: ErrInvalidPrefix}
		}
		if _, found := table.Get(e.Prefix); found {
			return nil, &BlockError{Prefix: e.Prefix, Err: ErrDuplicatePrefix}
		}
		i := slices.Index(regions, e.Region)
		if i < 0 {
			if len(regions) == maxBlockRegions {
				return nil, &BlockError{Prefix: e.Prefix, Err: ErrTooManyRegions}
			}
			i = len(regions)
			regions = append(regions, e.Region)
		}
		table = table.InsertPersist(e.Prefix, uint16(i))
	}
	return &Blocks{table: table, regions: regions}, nil
}
