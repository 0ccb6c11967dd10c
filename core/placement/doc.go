// Package placement chooses the backend server that gets a request.
//
// It handles these load patterns:
//
//   - Few objects, many requests: a server that handled an object recently needs
//     only a third of the work. All VMs rank the servers of a region for an
//     object in the same order (rendezvous hashing), send to the first one, and
//     use the next one only when waiting at the first costs more than the extra
//     work elsewhere.
//   - Servers that become slow, fail partially, stop responding or shed requests
//     while their health check passes: a server is judged by the outcomes of its
//     requests, and a bad judgement decays within seconds.
//   - More requests than the servers can finish in time: requests whose wait
//     would exceed what their priority allows are rejected at once, with the
//     time after which there may be capacity.
//   - Cold servers: a few VMs share the request rate that a cold server
//     tolerates.
//
// The Picker is a state machine without input, output or clock. It is not safe
// for concurrent use.
package placement
