// Package soak is a fault-injection test of the gateway. It runs gateway
// processes against stand-ins for the platform's store, backend servers, operator
// and callers, injects faults according to a plan derived from a seed, and checks
// what callers and backend servers observe:
//
//   - a request that may run at most once runs at most once;
//   - a response that states that a request was not run is true and stays true;
//   - a response belongs to its request and is complete;
//   - no API key reaches a backend server, and a request runs for the account that
//     sent it;
//   - a withdrawn key, an evacuated failure domain and an old configuration are no
//     longer used after their bounds;
//   - an account stays within its rate and tolerance;
//   - a planned stop breaks no request;
//   - a request that crashes the servers which run it is kept away from them;
//   - requests are served again after the faults.
//
// Another writer leaves odd registrations of backend servers in the store throughout.
//
// Gateways may be replaced by another build of the program, one after the other, so that
// two builds run side by side.
//
// Each gateway is a process; the stand-ins run in the test process, which sees
// both ends. Each gateway reaches the store through its own proxy, which can
// refuse connections or hold back their bytes. All gateways reach a backend server
// through one proxy, which can also hold back only the responses. Connections
// between gateways and from callers are not disturbed; the time of day is read for
// log lines only.
package soak
