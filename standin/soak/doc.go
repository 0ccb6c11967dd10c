// Package soak runs gateway processes against stand-ins for the platform's
// store, backend servers, operator and callers, injects faults by a plan that a
// seed decides, and checks what callers and backend servers see:
//
//   - a request that may run once runs at most once;
//   - an answer that says "not run" is true, then and later;
//   - an answer belongs to its request and is whole;
//   - no key reaches a backend server, and a request runs for its own account;
//   - a withdrawn key, an evacuated failure domain and an old configuration stop
//     counting within their bounds;
//   - an account stays within its rate and tolerance;
//   - a planned stop cuts nothing;
//   - requests are served again after the faults.
//
// The gateways are processes of their own; the stand-ins run in the driver,
// which sees both ends. Each gateway reaches the store through a proxy of its
// own, which can refuse, reset or silence it; all reach each backend server
// through one, which can also hold back its answers. Links between gateways and
// from callers are not disturbed; the time of day is read for log lines only.
package soak
