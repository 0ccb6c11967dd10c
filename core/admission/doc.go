// Package admission schedules the requests of one service on this VM's part of
// the service's slots: fairly between client accounts, with a guaranteed part
// for lookups and for bookings.
package admission
