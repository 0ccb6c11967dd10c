// Package core is the root of the decision packages. Each package below it is
// a pure state machine: it takes messages and a clock value, and returns
// decisions and messages to send. None has a clock, a socket, a goroutine or a
// lock; callers serialise the calls.
package core
