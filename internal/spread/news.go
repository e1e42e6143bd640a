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
	// knownSends is what a packet counts for that shows a peer which knows all already.
	knownSends = 3
	// zoneSends is how many packets with an item must have gone to each availability zone, or
	// come from there and shown it known: the VMs of one zone mostly hear each other, so that their
	// knowing says nothing of the next zone.
	zoneSends = 3
	// maxNews bounds the items that wait; further ones are left to the comparing of hashes.
	maxNews = 4096
)

// sendsFor returns how often an item is sent in a fleet of the given size.
func sendsFor(fleet int) int { return sendsPerDoubling * (bits.Len(uint(fleet)) + 1) }

// quota is how much sending an item needs before it is forgotten: sends in all, and zoneSends to
// each of the zones.
type quota struct {
	sends int
	zones []string
}

// quotaFor returns the quota in a fleet as the roster shows it.
func quotaFor(r *membership.Roster) quota {
	return quota{sends: sendsFor(r.PresentCount()), zones: r.Zones}
}

// newsKey names an item of news; one field is set.
type newsKey struct {
	vm        string
	departure evidence.DepartureKey
	crash     evidence.CrashKey
}

// newsItem is an item that still has to be sent.
type newsItem struct {
	key   newsKey
	sends int
	// byZone counts them by the availability zone of the peer.
	byZone map[string]int
	// order in which items came; newer ones are higher.
	order uint64
	// index in the heap.
	index int
	// hashed is true where equal hashes show that a peer knows the item.
	hashed bool
}

// count notes that n packets to or from a zone carried the item, or showed it known.
func (it *newsItem) count(n int, zone string) {
	it.sends += n
	it.byZone[zone] += n
}

// wanted tells whether the item has to go to a zone yet; enough whether it may be forgotten.
func (it *newsItem) wanted(zone string, q quota) bool {
	return it.sends < q.sends || slices.Contains(q.zones, zone) && it.byZone[zone] < zoneSends
}

func (it *newsItem) enough(q quota) bool {
	return it.sends >= q.sends && !slices.ContainsFunc(q.zones, func(z string) bool { return it.byZone[z] < zoneSends })
}

// newsHeap orders items by the order of sending: the least sent, then the newest first.
type newsHeap []*newsItem

// Len implements heap.Interface.
func (h newsHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h newsHeap) Less(i, j int) bool {
	if h[i].sends != h[j].sends {
		return h[i].sends < h[j].sends
	}
	return h[i].order > h[j].order
}

// Swap implements heap.Interface.
func (h newsHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *newsHeap) Push(x any) {
	it := x.(*newsItem)
	it.index = len(*h)
	*h = append(*h, it)
}

// Pop implements heap.Interface.
func (h *newsHeap) Pop() any {
	old := *h
	it := old[len(old)-1]
	*h = old[:len(old)-1]
	return it
}

// news is what this VM has still to pass on. Its owner guards it.
type news struct {
	items map[newsKey]*newsItem
	heap  newsHeap
	next  uint64
}

func newNews() news { return news{items: make(map[newsKey]*newsItem)} }

// add makes an item new. hashed tells whether the hashes in packets show it.
func (n *news) add(key newsKey, hashed bool) {
	n.next++
	if it := n.items[key]; it != nil {
		// What a hash doesn't show may have come on top of what it shows.
		it.sends, it.order, it.hashed = 0, n.next, it.hashed && hashed
		clear(it.byZone)
		heap.Fix(&n.heap, it.index)
		return
	}
	if len(n.items) >= maxNews {
		return
	}
	it := &newsItem{key: key, order: n.next, hashed: hashed, byZone: make(map[string]int)}
	n.items[key] = it
	heap.Push(&n.heap, it)
}

// addVMs makes what a merge brought new.
func (n *news) addVMs(r membership.Result) {
	for _, id := range r.Updated {
		n.add(newsKey{vm: id}, true)
	}
	for _, id := range r.Judged {
		n.add(newsKey{vm: id}, false)
	}
}

// addEvidence makes evidence new. Evidence without an incarnation is in no hash.
func (n *news) addEvidence(e evidence.News) {
	for _, k := range e.Departures {
		n.add(newsKey{departure: k}, k.Incarnation != 0)
	}
	for _, k := range e.Crashes {
		n.add(newsKey{crash: k}, true)
	}
}

// each calls do with items in the order of sending until it says not to go on. Items that it
// doesn't keep are forgotten.
func (n *news) each(do func(*newsItem) (keep, goOn bool)) {
	var kept []*newsItem
	for goOn := true; goOn && len(n.heap) > 0; {
		it := heap.Pop(&n.heap).(*newsItem)
		var keep bool
		if keep, goOn = do(it); keep {
			kept = append(kept, it)
		} else {
			delete(n.items, it.key)
		}
	}
	for _, it := range kept {
		heap.Push(&n.heap, it)
	}
}

// known notes that a peer was found to know all VMs, or all evidence: what has spread already needs
// less sending. zone is the peer's.
func (n *news) known(vms, evidence bool, zone string, q quota) {
	if len(n.items) == 0 || !vms && !evidence {
		return
	}
	n.heap = n.heap[:0]
	for key, it := range n.items {
		if it.hashed && (key.vm != "" && vms || key.vm == "" && evidence) {
			it.count(knownSends, zone)
		}
		if it.enough(q) {
			delete(n.items, key)
			continue
		}
		it.index = len(n.heap)
		n.heap = append(n.heap, it)
	}
	heap.Init(&n.heap)
}
