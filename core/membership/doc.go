// Package membership tracks the liveness of peers with SWIM: each VM probes one
// member per period, directly and then through a few others, suspects a member
// that does not answer, and declares it dead unless it refutes the suspicion.
// Updates are piggybacked on the probes, so the cost per VM does not grow with
// the number of members.
//
// Liveness is a measurement: it decides nothing about leases or membership of
// the fleet. Its sources are the seeds (the VM list, which lags, and the fleet
// row) and the messages of peers.
package membership
