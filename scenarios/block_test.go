package scenarios

import (
	"fmt"
	"math/rand/v2"
	"net"
)

// block is the range of loopback addresses reserved for one scenario. Processes listen on 127.A.B.x,
// the relay in front of each on 127.A.(B+1).x with the same x.
type block struct {
	a, b int
	// claim is a listener that reserves the block until the end of the scenario.
	claim net.Listener
}

const (
	claimPort     = 7399
	claimHost     = 254
	claimAttempts = 200
)

// newBlock reserves a block that no other scenario on the machine uses.
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

// bindIP returns the IP that a process listens on.
func (b *block) bindIP(host int) string { return fmt.Sprintf("127.%d.%d.%d", b.a, b.b, host) }

// relayIP returns the IP at which the relay listens for that process.
func (b *block) relayIP(host int) string { return fmt.Sprintf("127.%d.%d.%d", b.a, b.b+1, host) }
