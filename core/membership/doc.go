// Package membership tracks the liveness of peers with SWIM. Each VM probes one
// member per probe interval, directly and then through a few others, suspects a
// member that does not answer, and declares it dead unless it refutes the
// suspicion. Updates are piggybacked on the probes, so the cost per VM does not
// grow with the number of members.
//
// Liveness is only a measurement: it decides neither about leases nor about
// membership of the fleet. A VM learns of peers from the seeds (the VM list,
// which may be out of date, and the fleet row) and from the messages of peers.
package membership
