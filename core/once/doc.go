// Package once keeps at-most-once records of requests with an Idempotency-Key.
//
// A request is dispatched only after its claim is known to be in the table, and
// only before the claim's dispatch deadline. A claim is never taken over: a
// request that finds the claim of another request does not run. Only the request
// that made a claim releases it, and only if it is known not to have run.
//
// Records are deleted 24 hours after the dispatch deadline of their claim. A
// request that was paused for longer than that does not run in addition to a
// later one with the same key, because its own dispatch deadline has passed.
package once
