package spread

import (
	"container/heap"
	"math/bits"
	"slices"

	"github.com/burdockplank/burdockplank/internal/evidence"
	"github.com/burdockplank/burdockplank/internal/membership"
)

const (
	// sendsPerDoubling is how often an item is sent for each doubling of the fleet; with the
	// packets of all others this reaches every VM with high probability, and comparing hashes
	// finds the rest.
	sendsPerDoubling = 3
	// sendsPerKnownPeer is what a packet counts for that shows a peer which knows all already.
	sendsPerKnownPeer = 3
	// minSendsPerZone is how many packets with an item must have gone to each availability zone, or
	// come from there and shown it known: the VMs of one zone mostly hear each other, so that their
	// knowing says nothing of the next zone.
	minSendsPerZone = 3
	// maxUpdates bounds the items that wait; further ones are left to the comparing of hashes.
	maxUpdates = 4096
)

// sendsFor returns how often an item is sent in a fleet of the given size.
func sendsFor(fleet int) int { return sendsPerDoubling * (bits.Len(uint(fleet)) + 1) }

// sendQuota is how much sending an item needs before it is forgotten: sends in all, and zoneSends to
// each of the zones.
type sendQuota struct {
	sends int
	zones []string
}

// quotaFor returns the quota in a fleet as the roster shows it.
func quotaFor(r *membership.Roster) sendQuota {
	return sendQuota{sends: sendsFor(r.PresentCount()), zones: r.Zones}
}

// updateKey names an item of news; one field is set.
type updateKey struct {
	vm        string
	departure evidence.DepartureKey
	crash     evidence.CrashKey
}

// updateItem is an item that still has to be sent.
type updateItem struct {
	key   updateKey
	sends int
	// sendsByZone counts them by the availability zone of the peer.
	sendsByZone map[string]int
	// sequence in which items came; newer ones are higher.
	sequence uint64
	// index in the heap.
	index int
	// hashed is true where equal hashes show that a peer knows the item.
	hashed bool
}

// addSends notes that n packets to or from a zone carried the item, or showed it known.
func (it *updateItem) addSends(n int, zone string) {
	it.sends += n
	it.sendsByZone[zone] += n
}

// neededIn tells whether the item has to go to a zone yet; enough whether it may be forgotten.
func (it *updateItem) neededIn(zone string, q sendQuota) bool {
	return it.sends < q.sends || slices.Contains(q.zones, zone) && it.sendsByZone[zone] < minSendsPerZone
}

func (it *updateItem) delivered(q sendQuota) bool {
	return it.sends >= q.sends && !slices.ContainsFunc(q.zones, func(z string) bool { return it.sendsByZone[z] < minSendsPerZone })
}

// updateHeap orders items by the order of sending: the least sent, then the newest first.
type updateHeap []*updateItem

// Len implements heap.Interface.
func (h updateHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h updateHeap) Less(i, j int) bool {
	if h[i].sends != h[j].sends {
		return h[i].sends < h[j].sends
	}
	return h[i].sequence > h[j].sequence
}

// Swap implements heap.Interface.
func (h updateHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *updateHeap) Push(x any) {
	it := x.(*updateItem)
	it.index = len(*h)
	*h = append(*h, it)
}

// Pop implements heap.Interface.
func (h *updateHeap) Pop() any {
	old := *h
	it := old[len(old)-1]
	*h = old[:len(old)-1]
	return it
}

// updateQueue is what this VM has still to pass on. Its owner guards it.
type updateQueue struct {
	items        map[updateKey]*updateItem
	heap         updateHeap
	lastSequence uint64
}

func newUpdateQueue() updateQueue { return updateQueue{items: make(map[updateKey]*updateItem)} }

// add makes an item new. hashed tells whether the hashes in packets show it.
func (n *updateQueue) add(key updateKey, hashed bool) {
	n.lastSequence++
	if it := n.items[key]; it != nil {
		// What a hash doesn't show may have come on top of what it shows.
		it.sends, it.sequence, it.hashed = 0, n.lastSequence, it.hashed && hashed
		clear(it.sendsByZone)
		heap.Fix(&n.heap, it.index)
		return
	}
	if len(n.items) >= maxUpdates {
		return
	}
	it := &updateItem{key: key, sequence: n.lastSequence, hashed: hashed, sendsByZone: make(map[string]int)}
	n.items[key] = it
	heap.Push(&n.heap, it)
}

// addVMs makes what a merge brought new.
func (n *updateQueue) addVMs(r membership.Result) {
	for _, id := range r.Updated {
		n.add(updateKey{vm: id}, true)
	}
	for _, id := range r.Judged {
		n.add(updateKey{vm: id}, false)
	}
}

// addEvidence makes evidence new. Evidence without an incarnation is in no hash.
func (n *updateQueue) addEvidence(e evidence.News) {
	for _, k := range e.Departures {
		n.add(updateKey{departure: k}, k.Incarnation != 0)
	}
	for _, k := range e.Crashes {
		n.add(updateKey{crash: k}, true)
	}
}

// forEach calls do with items in the order of sending until it says not to go on. Items that it
// doesn't keep are forgotten.
func (n *updateQueue) forEach(do func(*updateItem) (keep, more bool)) {
	var kept []*updateItem
	for more := true; more && len(n.heap) > 0; {
		it := heap.Pop(&n.heap).(*updateItem)
		var keep bool
		if keep, more = do(it); keep {
			kept = append(kept, it)
		} else {
			delete(n.items, it.key)
		}
	}
	for _, it := range kept {
		heap.Push(&n.heap, it)
	}
}

// markKnown notes that a peer was found to know all VMs, or all evidence: what has spread already needs
// less sending. zone is the peer's.
func (n *updateQueue) markKnown(vms, evidence bool, zone string, q sendQuota) {
	if len(n.items) == 0 || !vms && !evidence {
		return
	}
	n.heap = n.heap[:0]
	for key, it := range n.items {
		if it.hashed && (key.vm != "" && vms || key.vm == "" && evidence) {
			it.addSends(sendsPerKnownPeer, zone)
		}
		if it.delivered(q) {
			delete(n.items, key)
			continue
		}
		it.index = len(n.heap)
		n.heap = append(n.heap, it)
	}
	heap.Init(&n.heap)
}
