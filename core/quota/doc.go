// Package quota enforces limits that all VMs share: rates and bursts of client
// accounts, region caps and link limits.
//
// A limit has TotalUnits units. A VM that holds u units of a limit with rate R
// and burst B runs a token bucket with rate R*u/TotalUnits and capacity
// B*u/TotalUnits. Two invariants guarantee that, over every time window, all VMs
// together admit at most B + R*time:
//
//   - The units held by VMs with a valid lease and those in flight that may
//     still be accepted never exceed TotalUnits.
//   - Tokens never exceed the capacity of the units that carry them, at a VM
//     and in flight. Units in flight earn no tokens.
//
// # Movement of units
//
// Units move to the VMs with demand. A VM that has too few tokens sends a
// QuotaRequest to peers. A peer subtracts the units that it gives before it sends
// them in a QuotaTransfer, and never takes them back, so a lost, delayed or
// duplicated message can only lose units.
//
// # Recovery of lost units
//
// Units are lost when a VM is killed or a transfer is dropped. The reconciler of
// an epoch collects the holdings of all members and credits the units that are
// missing. The reconciler is the VM that wrote the epoch, or the first member if
// the writer is not a member because it removed itself. Every epoch starts with
// round 0, which covers all limits. Within an epoch the reconciler opens further
// rounds for single limits: for a new limit, and when the hints have shown for
// MissingUnitsTimeout that units are missing.
//
// Every member keeps the current round of each limit. A member that enters a
// round records its holding once, and drops transfers of older rounds from then
// on. The units recorded in the round are therefore all that exist, wherever they
// move later, and the difference to TotalUnits is lost. A member accepts one
// credit for each epoch, round and limit.
package quota
