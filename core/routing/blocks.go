package routing

import (
	"iter"
	"math"
	"net/netip"
	"slices"

	"github.com/gaissmai/bart"
	"github.com/pkg/errors"
)

// Errors of NewBlocks, BuildBlocks and Update, wrapped in a *BlockError.
var (
	// ErrInvalidPrefix means that the prefix is not valid or has host bits set.
	ErrInvalidPrefix = errors.New("client block prefix is not valid")
	// ErrDuplicatePrefix means that the prefix occurs twice.
	ErrDuplicatePrefix = errors.New("client block prefix is declared twice")
	// ErrTooManyRegions means that the blocks name more than 65,536 regions.
	ErrTooManyRegions = errors.New("client blocks name too many regions")
)

// maxBlockRegions follows from the 16-bit region index that is stored for
// each block.
const maxBlockRegions = math.MaxUint16 + 1

// BlockError is the error of one block.
type BlockError struct {
	Prefix netip.Prefix
	Err    error
}

// Error implements error.
func (e *BlockError) Error() string { return e.Prefix.String() + messageColon + e.Err.Error() }

// Unwrap returns the sentinel error.
func (e *BlockError) Unwrap() error { return e.Err }

// BlockEntry is a block of client addresses with its nearest region.
type BlockEntry struct {
	Prefix netip.Prefix
	Region string
}

// Blocks is an immutable longest-prefix-match table of client blocks. It is
// safe for concurrent lookups.
type Blocks struct {
	table   *bart.Table[uint16]
	regions []string
}

// NewBlocks builds the table from a slice. The error is a *BlockError.
func NewBlocks(entries []BlockEntry) (*Blocks, error) {
	return BuildBlocks(slices.Values(entries))
}

// BuildBlocks builds the table from a sequence, which saves the memory of a
// slice of all blocks. The error is a *BlockError.
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

// Lookup returns the region of the longest block that contains the address.
// It does not allocate. An IPv4-mapped IPv6 address is looked up as IPv4.
func (b *Blocks) Lookup(a netip.Addr) (region string, ok bool) {
	i, ok := b.table.Lookup(a.Unmap())
	if !ok {
		return "", false
	}
	return b.regions[i], true
}

// Len returns the number of blocks.
func (b *Blocks) Len() int { return b.table.Size() }
