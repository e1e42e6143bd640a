package spread

import (
	"cmp"
	"math/bits"
	"slices"

	"github.com/burdockplank/burdockplank/internal/evidence"
)

const (
	// sendsPerDoubling is how often an item is sent for each doubling of the fleet; with the
	// packets of all others this reaches every VM with high probability, and comparing hashes
	// finds the rest.
	sendsPerDoubling = 3
	// maxNews bounds the items that wait; the most sent go first.
	maxNews = 4096
)

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
	// order in which items came; newer ones are higher.
	order uint64
}

// news is what this VM has still to pass on. Its owner guards it.
type news struct {
	items map[newsKey]*newsItem
	next  uint64
}

func newNews() news { return news{items: make(map[newsKey]*newsItem)} }

// add makes an item new.
func (n *news) add(key newsKey) {
	n.next++
	n.items[key] = &newsItem{key: key, order: n.next}
	if len(n.items) > maxNews {
		sorted := n.sorted()
		delete(n.items, sorted[len(sorted)-1].key)
	}
}

func (n *news) addVMs(ids []string) {
	for _, id := range ids {
		n.add(newsKey{vm: id})
	}
}

func (n *news) addEvidence(e evidence.News) {
	for _, k := range e.Departures {
		n.add(newsKey{departure: k})
	}
	for _, k := range e.Crashes {
		n.add(newsKey{crash: k})
	}
}

// sorted returns the items in the order of sending: the least sent, then the newest first.
func (n *news) sorted() []*newsItem {
	out := make([]*newsItem, 0, len(n.items))
	for _, it := range n.items {
		out = append(out, it)
	}
	slices.SortFunc(out, func(a, b *newsItem) int {
		return cmp.Or(cmp.Compare(a.sends, b.sends), cmp.Compare(b.order, a.order))
	})
	return out
}

// sent notes that an item was sent once more, in a fleet of the given size.
func (n *news) sent(it *newsItem, fleet int) {
	it.sends++
	if it.sends >= sendsPerDoubling*(bits.Len(uint(fleet))+1) {
		delete(n.items, it.key)
	}
}
