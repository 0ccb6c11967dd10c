// Package gateway is the gateway process, which forwards callers' requests to
// backend servers on the users' platform. One process runs on each VM. It
// serves callers, answers directory queries, watches the platform's store and
// exchanges demand with the other VMs. Decisions are made by the packages below
// core; this package does their input and output.
package gateway
