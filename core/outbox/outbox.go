// Package outbox holds the type in which the core packages return messages for
// other entry VMs.
package outbox

import (
	peerv1 "github.com/cassiawind/cassiawind/peerapi/peer/v1"
)

// Send is a message for one peer. Delivery is not guaranteed: a message may be
// lost, delayed, duplicated or reordered.
type Send struct {
	// To is the VM id of the receiver.
	To      string
	Message *peerv1.Message
}
