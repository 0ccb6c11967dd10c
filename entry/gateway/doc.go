// Package gateway is the process that steers callers' requests on the users'
// platform. One process runs on each VM and does all: it serves callers,
// answers the directory, watches the platform's store and exchanges demand
// with the other VMs. Its decisions are those of the packages below core; this
// package holds their input and output.
package gateway
