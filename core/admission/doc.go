// Package admission schedules the requests of one service on this VM's share
// of the service's slots. It divides the slots fairly between client accounts
// and guarantees a minimum share to lookups and to bookings.
package admission
