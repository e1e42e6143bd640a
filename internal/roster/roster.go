// Package roster remembers the VMs of the fleet, also those that show no sign of life any more. What the fleet may use
// together is divided among all of them: a VM that is silent may only be cut off from this one, and use its part.
package roster

import (
	"time"

	"github.com/burdockplank/burdockplank/internal/peers"
)

// retention is how long a VM is remembered after it was last live. A VM that starts again has its address of before,
// so only one that is gone for good leaves its part unused for so long.
const retention = 10 * time.Minute

// Roster holds the VMs that were live within retention. It is not safe for concurrent use.
type Roster struct {
	seen map[string]sighting
}

// sighting is a VM with the time at which it was last live.
type sighting struct {
	vm peers.VM
	at time.Time
}

// New returns an empty roster.
func New() *Roster { return &Roster{seen: make(map[string]sighting)} }

// Update records the VMs that are live now and returns all that are remembered, in no particular order.
func (r *Roster) Update(live []peers.VM, now time.Time) []peers.VM {
	for _, vm := range live {
		r.seen[vm.Address] = sighting{vm, now}
	}
	out := make([]peers.VM, 0, len(r.seen))
	for address, s := range r.seen {
		if now.Sub(s.at) > retention {
			delete(r.seen, address)
			continue
		}
		out = append(out, s.vm)
	}
	return out
}
