package policy

import (
	"bytes"
	"net/netip"

	"github.com/pkg/errors"

	"github.com/cassiawind/cassiawind/core/routing"
	"github.com/cassiawind/cassiawind/declare"
	peerv1 "github.com/cassiawind/cassiawind/peerapi/peer/v1"
)

// clientBlocksKey is the JSON key of client blocks in a file.
var clientBlocksKey = []byte(`"client_blocks"`)

// Compiler compiles the versions of a configuration into policies. It keeps the
// client block table between versions and updates it with the files that
// changed, because decoding a full block map of 980,000 blocks takes seconds and
// the target is 59,000 changes a day. It is not safe for concurrent use.
type Compiler struct {
	blocks *routing.Blocks
	// files are the entries whose blocks are in the table, by name.
	files map[string]*peerv1.ConfigEntry
	// decodedBlocks is the number of blocks that the last compilation decoded.
	decodedBlocks int
}

// DecodedBlocks returns the number of client blocks that the last successful
// compilation decoded.
func (c *Compiler) DecodedBlocks() int { return c.decodedBlocks }

// blockChange collects the changes of the block table from one version to the
// next.
type blockChange struct {
	remove []netip.Prefix
	add    []routing.BlockEntry
	files  map[string]*peerv1.ConfigEntry
}

// Compile returns the policy of a version. An error leaves the Compiler
// unchanged.
func (c *Compiler) Compile(version uint64, entries []*peerv1.ConfigEntry) (*Policy, error) {
	diff := blockChange{files: map[string]*peerv1.ConfigEntry{}}
	var otherFiles []declare.File
	for _, e := range entries {
		if e.Removed {
			continue
		}
		onlyBlocks, err := c.addBlockFile(&diff, e)
		if err != nil {
			return nil, err
		}
		if !onlyBlocks {
			otherFiles = append(otherFiles, declare.File{Name: e.Name, Content: e.Content})
		}
	}
	if err := c.removeChangedFiles(&diff); err != nil {
		return nil, err
	}
	config, err := declare.Decode(otherFiles...)
	if err != nil {
		return nil, err
	}
	fileBlocks, err := c.updatedTable(&diff)
	if err != nil {
		return nil, err
	}
	otherBlocks, err := routingBlocks(config.Blocks)
	if err != nil {
		return nil, err
	}
	table, err := fileBlocks.Update(nil, otherBlocks)
	if err != nil {
		return nil, err
	}
	c.blocks, c.files, c.decodedBlocks = fileBlocks, diff.files, len(diff.add)+len(diff.remove)+len(otherBlocks)
	return compileWithBlocks(version, config, table), nil
}

// updatedTable returns the block table of the files that contain only client
// blocks.
func (c *Compiler) updatedTable(diff *blockChange) (*routing.Blocks, error) {
	if c.blocks == nil {
		return routing.NewBlocks(diff.add)
	}
	return c.blocks.Update(diff.remove, diff.add)
}

// addBlockFile adds a file to diff if it contains only client blocks, and
// reports whether it does. Files that also contain other declarations are
// decoded together with the remaining files.
func (c *Compiler) addBlockFile(diff *blockChange, e *peerv1.ConfigEntry) (onlyBlocks bool, err error) {
	if !bytes.Contains(e.Content, clientBlocksKey) {
		return false, nil
	}
	compiled := c.files[e.Name]
	if compiled != nil && compiled.Version == e.Version {
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
	added, err := routingBlocks(config.Blocks)
	if err != nil {
		return false, err
	}
	diff.add = append(diff.add, added...)
	diff.files[e.Name] = e
	return true, nil
}

// removeChangedFiles removes the blocks of files that were changed or removed.
func (c *Compiler) removeChangedFiles(diff *blockChange) error {
	for name, compiled := range c.files {
		if next := diff.files[name]; next != nil && next.Version == compiled.Version {
			continue
		}
		config, err := declare.Decode(declare.File{Name: name, Content: compiled.Content})
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
