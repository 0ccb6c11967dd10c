// Package standin is the root of the stand-ins for the systems around
// cassiawind: the platform (platformstore), backend servers (backend), callers
// (load) and a demonstration with all of them (demo). The command is
// standin/cmd/standin. Stand-ins bind only to loopback addresses.
package standin
