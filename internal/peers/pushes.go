package peers

import "sync"

// pushes keeps the pushes to one peer in series, so that they don't pile up where a peer or this VM is slow: each holds what
// has become known up to its beginning. The zero value has no push under way. It is safe for concurrent use.
type pushes struct {
	mu sync.Mutex
	// again holds the peers to which a push is under way, and whether another is due after it; guarded by mu.
	again map[string]bool
}

// begin reports whether the caller is to push to the peer. If a push is under way, another follows it.
func (p *pushes) begin(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.again == nil {
		p.again = make(map[string]bool)
	}
	_, underWay := p.again[address]
	p.again[address] = underWay
	return !underWay
}

// end notes the end of a push to the peer, and reports whether no other is due.
func (p *pushes) end(address string) (done bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.again[address] {
		p.again[address] = false
		return false
	}
	delete(p.again, address)
	return true
}
