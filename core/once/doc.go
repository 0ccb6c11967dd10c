// Package once keeps at-most-once records of requests with an Idempotency-Key.
//
// A request is dispatched only after its claim is known to be in the table, and
// only before the claim's dispatch deadline. A claim is never taken over: a
// request that finds the claim of another attempt does not run. Only the attempt
// that made a claim releases it, and only if it knows that the request was not
// run.
//
// Records are deleted 24 hours after the dispatch deadline of their claim. An
// attempt that was paused for longer than that does not run a request that a
// later attempt has run meanwhile, because its own dispatch deadline has passed.
package once
