// Package ratelimit counts the requests of a client account against its rate
// and divides the rate among regions.
//
// The load patterns it answers: one account sends many times its rate through
// all VMs, or all callers of an account move from some VMs to others at once;
// and an account with a small rate sends through very many VMs. In each region
// one VM counts an account, so that a rate of a few requests per second is not
// split into parts of less than one request, and the others ask it for tokens.
// The parts of the regions follow their demand and add up to the rate.
package ratelimit
