// Package core is the root of the packages that make decisions. Each package
// below it is a pure state machine: it takes messages and the present time,
// and returns decisions and messages to send. None has a clock, a socket, a
// goroutine or a lock; callers must serialise their calls.
package core
