// Package quota enforces limits that all VMs share: rates and bursts of client
// accounts, region caps and link limits.
//
// A limit has TotalUnits units. A VM that holds u units of a limit with rate R
// and burst B runs a token bucket with rate R*u/TotalUnits and capacity
// B*u/TotalUnits. Two invariants give the bound admitted <= B + R*time over
// every window and all VMs:
//
//   - The units held by VMs with a valid lease and those in flight that may
//     still be accepted never exceed TotalUnits.
//   - Tokens never exceed the capacity of the units that carry them, at a VM
//     and in flight. Units in flight earn no tokens.
//
// # Movement of units
//
// Units follow the demand. A VM that runs short asks peers (QuotaRequest); a
// giver subtracts before it sends (QuotaTransfer) and never takes units back,
// so a lost, late or duplicated message can only lose units.
//
// # Recovery of lost units
//
// Units are lost with a killed VM or a dropped transfer. The reconciler of an
// epoch (its writer, or the first member if the writer is not a member because
// it removed itself) collects the holdings of all members and credits what is
// missing. Every epoch starts with round 0, which concerns all limits. Within
// an epoch the reconciler opens a further round for single limits: for a new
// limit, and when the hints show for MissingUnitsTimeout that units are missing.
// Each limit carries its round at every member. A member that enters a round
// records its holding once, and drops transfers of older rounds from then on.
// All units of the round are therefore those recorded, wherever they move
// later, and the difference to TotalUnits is held by nobody. A member accepts
// one credit for each epoch, round and limit.
package quota
