// Package configsync distributes configuration versions to all VMs and plans
// the publication of a new version.
//
// The table row config/current names the version in effect, its digest and the
// object with its content. A VM learns of a version from the row, which about
// two VMs of the fleet read per second, or from a peer's heartbeat. It installs a
// version only if it is higher than its own and its digest matches.
package configsync
