package scenarios

import (
	"fmt"
	"math/rand/v2"
	"net"
)

// block is the range of loopback addresses that one scenario has for itself: 127.A.B.x for what
// processes listen on and 127.A.(B+1).x, with the same x, for the relay in front of them.
type block struct {
	a, b int
	// claim is held open for the scenario, so that no other one takes the block.
	claim net.Listener
}

const (
	claimPort     = 7399
	claimHost     = 254
	claimAttempts = 200
)

// newBlock claims a block that no other scenario on the machine holds.
func newBlock() (*block, error) {
	var lastErr error
	for range claimAttempts {
		b := &block{a: 20 + rand.IntN(100), b: 2 * rand.IntN(127)}
		claim, err := net.Listen("tcp", fmt.Sprintf("%s:%d", b.bindIP(claimHost), claimPort))
		if err == nil {
			b.claim = claim
			return b, nil
		}
		lastErr = err
	}
	return nil, fmt.Errorf("no free block of loopback addresses: %w", lastErr)
}

// bindIP is the address a process listens on, relayed the one at which the relay stands before it.
func (b *block) bindIP(host int) string  { return fmt.Sprintf("127.%d.%d.%d", b.a, b.b, host) }
func (b *block) relayIP(host int) string { return fmt.Sprintf("127.%d.%d.%d", b.a, b.b+1, host) }
