// Package ticket holds the text form of order tickets. A ticket is pinned to the gather
// incarnation that minted it; only that incarnation can check its MAC.
package ticket

import "time"

// Ticket is what a ticket's text says. Entries read it to route an order; it proves nothing until
// the minting gather has checked the MAC.
type Ticket struct {
	// VM and Incarnation name the gather that minted it.
	VM          string
	Incarnation uint64
	Sequence    uint64
	// WitnessVM and WitnessIncarnation name the gather that must note the intent of the order, both
	// empty where there was none.
	WitnessVM          string
	WitnessIncarnation uint64
	Expires            time.Time
	Caller             string
	Service            string
	Kind               string
	MAC                []byte
}
