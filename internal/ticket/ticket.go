// Package ticket holds the text form of order tickets. A ticket is pinned to the gather incarnation
// that minted it, and only that incarnation can check its MAC.
package ticket

import "time"

// Ticket is the decoded text of a ticket. Entries use it to route an order. It is unauthenticated
// until the minting gather has checked the MAC.
type Ticket struct {
	// VM and Incarnation identify the gather that minted the ticket.
	VM          string
	Incarnation uint64
	Sequence    uint64
	// WitnessVM and WitnessIncarnation identify the gather that must note the intent of the order.
	// Both are empty if the ticket has no witness.
	WitnessVM          string
	WitnessIncarnation uint64
	Expires            time.Time
	Caller             string
	Service            string
	Kind               string
	MAC                []byte
}
