// Package outbox defines the type in which the core packages return messages
// to other entry VMs.
package outbox

import (
	peerv1 "github.com/cassiawind/cassiawind/peerapi/peer/v1"
)

// Send is a message to one peer. Delivery is not guaranteed: a message may be
// lost, delayed, duplicated or reordered.
type Send struct {
	// To is the id of the VM that receives the message.
	To      string
	Message *peerv1.Message
}
