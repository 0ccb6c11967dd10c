// Package routing maps client addresses to regions, orders the entry VMs that
// a caller may use, and chooses the region of the backend servers for each
// request.
package routing
