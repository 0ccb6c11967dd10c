// Package placement chooses the backend server of a request.
//
// The load patterns it answers:
//
//   - Few objects, many requests: a server that handled an object lately needs
//     a third of the work. All VMs rank the servers of a region for an object
//     alike (rendezvous hashing), send to the first and spill to the next only
//     when the wait there costs more than the extra work elsewhere.
//   - Servers that turn slow, grey, mute or shed while their health is good:
//     judged by what requests show, forgotten within seconds.
//   - More requests than servers can finish in time: those whose wait would
//     exceed what their rank allows are rejected at once with the time after
//     which there is room.
//   - Cold servers: a few VMs share the rate that a cold server tolerates.
//
// The Picker is a state machine without input, output or clock. It is not safe
// for concurrent use.
package placement
