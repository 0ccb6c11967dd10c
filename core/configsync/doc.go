// Package configsync distributes configuration versions to all VMs and plans the
// publication of a new version.
//
// The table row config/current names the version in effect, its digest and the
// object with its content. A VM learns of a version from the row, which the whole
// fleet reads about twice per second, or from a peer's heartbeat. It installs a
// version only if the version is higher than its own and the digest matches.
package configsync
