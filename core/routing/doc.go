// Package routing maps a client block to its region, orders the entry VMs that a
// caller may use and chooses the region of the backend servers for a request.
package routing
