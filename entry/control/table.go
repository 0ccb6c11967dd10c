package control

import (
	"context"

	"github.com/pkg/errors"

	"github.com/cassiawind/cassiawind/core/tableop"
	"github.com/cassiawind/cassiawind/platform"
)

// RunOp executes a table call that a core package requested.
func RunOp(ctx context.Context, table platform.Table, op tableop.Op) tableop.Result {
	result := tableop.Result{ID: op.ID}
	if len(op.Writes) > 0 {
		result.Versions, result.Err = table.Transact(ctx, op.Writes)
		return result
	}
	for _, key := range op.Reads {
		row, err := table.Get(ctx, key)
		if errors.Is(err, platform.ErrNotFound) {
			continue
		}
		if err != nil {
			result.Err = err
			return result
		}
		result.Rows = append(result.Rows, row)
	}
	return result
}
