// Package ratelimit enforces the request rates of client accounts and divides each
// rate among regions.
//
// It handles these load patterns: one account sends many times its rate through
// all VMs, all callers of an account move from some VMs to others at once, or an
// account with a small rate sends through very many VMs. In each region one VM
// owns an account and the others request tokens from it, so that a rate of a few
// requests per second is not split into shares of less than one request. The
// shares of the regions follow their demand and add up to the rate.
package ratelimit
