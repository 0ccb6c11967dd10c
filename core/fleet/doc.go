// Package fleet manages the membership epoch and this VM's lease. The fleet row
// in the table holds the members of the current epoch and is changed by
// compare-and-swap, one member per epoch.
//
// # Safety
//
// An evicted member X holds no valid lease from the moment of the
// compare-and-swap that removes it. Let E be the epoch in which the votes for its
// eviction were given.
//
//   - A voter votes only if it has granted X nothing for lease.EvictionVoteDelay,
//     and grants X nothing more until it enters a later epoch. The table votes if
//     X's lease row has been unchanged for lease.EvictionVoteDelay up to and
//     including the compare-and-swap. X's renewals are conditional on the fleet
//     row.
//   - The votes form a quorum of E and of each earlier epoch in which X may
//     still hold a lease. Every quorum of grants to X in such an epoch therefore
//     contains an expired grant that was not renewed.
//   - X may still hold a lease in epoch E-1 until a quorum of E and of E-1 has
//     been known for lease.EvictionVoteDelay to have entered E. It may still hold
//     one in an earlier epoch D until epoch D+2 has been known for
//     lease.EvictionVoteDelay, because D+2 was written only after such a quorum
//     had entered D+1. Voters that have entered an epoch grant nothing that
//     counts in earlier ones.
//
// A quorum of E alone is not enough: the table's weight changes with the number
// of members, so majorities of adjacent epochs can be disjoint. With members 1 to
// 5, four members form a quorum of weight 4 of 7. After member 6 joins, members 5
// and 6 and the table form a quorum of weight 5 of 9.
//
// A takeover of the fleet row after lease.TakeoverTimeout relies on
// lease.TableContactTimeout instead of votes.
package fleet
