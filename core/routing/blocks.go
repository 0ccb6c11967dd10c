package routing

import (
	"iter"
	"math"
	"net/netip"
	"slices"

	"github.com/gaissmai/bart"
	"github.com/pkg/errors"
)

// Errors of NewBlocks, wrapped in a BlockError.
var (
	// ErrInvalidPrefix means that the prefix is not valid or has host bits.
	ErrInvalidPrefix = errors.New("client block prefix is not valid")
	// ErrDuplicatePrefix means that the prefix was given twice.
	ErrDuplicatePrefix = errors.New("client block prefix is declared twice")
	// ErrTooManyRegions means that the blocks name more than 65,536 regions.
	ErrTooManyRegions = errors.New("client blocks name too many regions")
)

// maxBlockRegions is bounded by the 16-bit region index kept for each block.
const maxBlockRegions = math.MaxUint16 + 1

// BlockError is the failure of one block entry.
type BlockError struct {
	Prefix netip.Prefix
	Err    error
}

// Error implements error.
func (e *BlockError) Error() string { return e.Prefix.String() + refusalColon + e.Err.Error() }

// Unwrap returns the sentinel error.
func (e *BlockError) Unwrap() error { return e.Err }

// BlockEntry is a block of client addresses and its nearest region.
type BlockEntry struct {
	Prefix netip.Prefix
	Region string
}

// Blocks is a read-only longest-prefix-match table. It is safe for concurrent
// lookups.
type Blocks struct {
	table   *bart.Table[uint16]
	regions []string
}

// NewBlocks builds the table. The error is a *BlockError.
func NewBlocks(entries []BlockEntry) (*Blocks, error) {
	return BuildBlocks(slices.Values(entries))
}

// BuildBlocks builds the table from a sequence, which saves the memory of a slice
// of all entries. The error is a *BlockError.
func BuildBlocks(entries iter.Seq[BlockEntry]) (*Blocks, error) {
	b := &Blocks{table: new(bart.Table[uint16])}
	index := make(map[string]uint16)
	for e := range entries {
		if !e.Prefix.IsValid() || e.Prefix != e.Prefix.Masked() {
			return nil, &BlockError{Prefix: e.Prefix, Err: ErrInvalidPrefix}
		}
		if _, found := b.table.Get(e.Prefix); found {
			return nil, &BlockError{Prefix: e.Prefix, Err: ErrDuplicatePrefix}
		}
		i, found := index[e.Region]
		if !found {
			if len(b.regions) == maxBlockRegions {
				return nil, &BlockError{Prefix: e.Prefix, Err: ErrTooManyRegions}
			}
			i = uint16(len(b.regions))
			index[e.Region] = i
			b.regions = append(b.regions, e.Region)
		}
		b.table.Insert(e.Prefix, i)
	}
	return b, nil
}

// Lookup returns the region of the longest block that contains the address. It
// does not allocate. IPv4-mapped IPv6 addresses are looked up as IPv4.
func (b *Blocks) Lookup(a netip.Addr) (region string, ok bool) {
	i, ok := b.table.Lookup(a.Unmap())
	if !ok {
		return "", false
	}
	return b.regions[i], true
}

// Len returns the number of blocks.
func (b *Blocks) Len() int { return b.table.Size() }
