package policy

import (
	"bytes"
	"net/netip"

	"github.com/pkg/errors"

	"github.com/cassiawind/cassiawind/core/routing"
	"github.com/cassiawind/cassiawind/declare"
	peerv1 "github.com/cassiawind/cassiawind/peerapi/peer/v1"
)

// blocksMember is the JSON member of files with client blocks.
var blocksMember = []byte(`"client_blocks"`)

// Compiler turns the versions of a configuration into policies. It keeps the
// client block table between versions and changes it by the files that changed:
// a full block map of 980,000 blocks takes seconds to decode, and the target is
// 59,000 changes a day. It is not safe for concurrent use.
type Compiler struct {
	blocks *routing.Blocks
	// files are the entries whose blocks the table holds, by name.
	files map[string]*peerv1.ConfigEntry
	// decoded is the number of blocks that the last compilation decoded.
	decoded int
}

// Decoded returns the number of client blocks that the last successful
// compilation decoded.
func (c *Compiler) DecodedBlocks() int { return c.decoded }

// change collects the difference of the block table.
type change struct {
	remove []netip.Prefix
	add    []routing.BlockEntry
	files  map[string]*peerv1.ConfigEntry
}

// Compile returns the policy of a version. After an error the Compiler is as
// before.
func (c *Compiler) Compile(version uint64, entries []*peerv1.ConfigEntry) (*Policy, error) {
	diff := change{files: map[string]*peerv1.ConfigEntry{}}
	var rest []declare.File
	for _, e := range entries {
		if e.Removed {
			continue
		}
		only, err := c.addFile(&diff, e)
		if err != nil {
			return nil, err
		}
		if !only {
			rest = append(rest, declare.File{Name: e.Name, Content: e.Content})
		}
	}
	if err := c.removeFiles(&diff); err != nil {
		return nil, err
	}
	config, err := declare.Decode(rest...)
	if err != nil {
		return nil, err
	}
	base, err := c.base(&diff)
	if err != nil {
		return nil, err
	}
	mixed, err := blockEntries(config.Blocks)
	if err != nil {
		return nil, err
	}
	table, err := base.Update(nil, mixed)
	if err != nil {
		return nil, err
	}
	c.blocks, c.files, c.decoded = base, diff.files, len(diff.add)+len(diff.remove)+len(mixed)
	return compile(version, config, table), nil
}

// base returns the table of the files that hold client blocks only.
func (c *Compiler) base(diff *change) (*routing.Blocks, error) {
	if c.blocks == nil {
		return routing.NewBlocks(diff.add)
	}
	return c.blocks.Update(diff.remove, diff.add)
}

// addFile takes a file into account and reports whether it holds client blocks
// only. Files that hold other declarations too are parsed with the rest.
func (c *Compiler) addFile(diff *change, e *peerv1.ConfigEntry) (only bool, err error) {
	if !bytes.Contains(e.Content, blocksMember) {
		return false, nil
	}
	known := c.files[e.Name]
	if known != nil && known.Version == e.Version {
		diff.files[e.Name] = e
		return true, nil
	}
	config, err := declare.Decode(declare.File{Name: e.Name, Content: e.Content})
	if err != nil {
		return false, err
	}
	if !config.HasOnlyBlocks() {
		return false, nil
	}
	added, err := blockEntries(config.Blocks)
	if err != nil {
		return false, err
	}
	diff.add = append(diff.add, added...)
	diff.files[e.Name] = e
	return true, nil
}

// removeFiles removes the blocks of files that changed or are gone.
func (c *Compiler) removeFiles(diff *change) error {
	for name, known := range c.files {
		if next := diff.files[name]; next != nil && next.Version == known.Version {
			continue
		}
		config, err := declare.Decode(declare.File{Name: name, Content: known.Content})
		if err != nil {
			return err
		}
		for _, b := range config.Blocks {
			prefix, err := netip.ParsePrefix(b.Prefix)
			if err != nil {
				return errors.WithStack(err)
			}
			diff.remove = append(diff.remove, prefix)
		}
	}
	return nil
}
