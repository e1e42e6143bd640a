package spread

import (
	"container/heap"
	"math/bits"
	"slices"

	"github.com/burdockplank/burdockplank/internal/evidence"
	"github.com/burdockplank/burdockplank/internal/membership"
)

const (
	// sendsPerDoubling is how often an item is sent for each doubling of the fleet size. Together
	// with the packets of all other VMs this reaches every VM with high probability; comparing
	// hashes finds the rest.
	sendsPerDoubling = 3
	// sendsPerKnownPeer is the number of sends that a packet counts for if it shows that a peer
	// already knows everything.
	sendsPerKnownPeer = 3
	// minSendsPerZone is the number of packets with an item that must have gone to each
	// availability zone, or come from there and shown that the item is known. The VMs of one zone
	// mostly hear each other, so what they know says nothing about another zone.
	minSendsPerZone = 3
	// maxUpdates bounds the queued items. Further items are dropped, and the comparison of hashes
	// finds them.
	maxUpdates = 4096
)

// sendsFor returns how often an item is sent in a fleet of the given number of VMs.
func sendsFor(fleet int) int { return sendsPerDoubling * (bits.Len(uint(fleet)) + 1) }

// sendQuota is the number of sends after which an item is dropped from the queue: sends in total,
// and minSendsPerZone to each of the zones.
type sendQuota struct {
	sends int
	zones []string
}

// quotaFor returns the quota for the fleet in the roster.
func quotaFor(r *membership.Roster) sendQuota {
	return sendQuota{sends: sendsFor(r.PresentCount()), zones: r.Zones}
}

// updateKey identifies an update. Exactly one field is set.
type updateKey struct {
	vm        string
	departure evidence.DepartureKey
	crash     evidence.CrashKey
}

// updateItem is an update that still has to be sent.
type updateItem struct {
	key   updateKey
	sends int
	// sendsByZone counts the sends by the availability zone of the peer.
	sendsByZone map[string]int
	// sequence numbers the items in order of arrival; newer items have higher numbers.
	sequence uint64
	// index is the position in the heap.
	index int
	// hashed is true if equal hashes show that a peer knows the item.
	hashed bool
}

// addSends records n packets to or from a zone that carried the item or showed that it is known
// there.
func (it *updateItem) addSends(n int, zone string) {
	it.sends += n
	it.sendsByZone[zone] += n
}

// neededIn reports whether the item still has to be sent to a zone.
func (it *updateItem) neededIn(zone string, q sendQuota) bool {
	return it.sends < q.sends || slices.Contains(q.zones, zone) && it.sendsByZone[zone] < minSendsPerZone
}

// delivered reports whether the item has met its quota and may be dropped.
func (it *updateItem) delivered(q sendQuota) bool {
	return it.sends >= q.sends && !slices.ContainsFunc(q.zones, func(z string) bool { return it.sendsByZone[z] < minSendsPerZone })
}

// updateHeap orders items for sending: least sent first, then newest first.
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

// updateQueue holds the updates that this VM still has to send. Its owner guards it.
type updateQueue struct {
	items        map[updateKey]*updateItem
	heap         updateHeap
	lastSequence uint64
}

func newUpdateQueue() updateQueue { return updateQueue{items: make(map[updateKey]*updateItem)} }

// add queues an item, or restarts the sends of a queued one. hashed is true if the hashes in
// packets cover the item.
func (n *updateQueue) add(key updateKey, hashed bool) {
	n.lastSequence++
	if it := n.items[key]; it != nil {
		// A change that no hash covers may have been added to one that a hash covers.
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

// addVMs queues the VMs that a merge changed.
func (n *updateQueue) addVMs(r membership.Result) {
	for _, id := range r.Updated {
		n.add(updateKey{vm: id}, true)
	}
	for _, id := range r.Judged {
		n.add(updateKey{vm: id}, false)
	}
}

// addEvidence queues new evidence. Evidence without an incarnation is in no hash.
func (n *updateQueue) addEvidence(e evidence.Updates) {
	for _, k := range e.Departures {
		n.add(updateKey{departure: k}, k.Incarnation != 0)
	}
	for _, k := range e.Crashes {
		n.add(updateKey{crash: k}, true)
	}
}

// forEach calls do with the items in sending order until do returns more as false. Items for which
// keep is false are removed.
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

// markKnown records that a peer in the zone knows all VMs, all evidence or both. An item that has
// already spread needs fewer sends.
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
