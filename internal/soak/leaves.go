package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/burdockplank/burdockplank/internal/standin/hosted"
)

const (
	// leafSlots are the requests that a leaf works on at once, leafWork is how long one takes.
	leafSlots = 8
	leafWork  = 4 * time.Millisecond
	// orderService runs orders.
	orderService = "orders"
	// hangTime is longer than any caller waits.
	hangTime = 3 * time.Second
)

// place is an address at which leaves live, one after the other.
type place struct {
	// listen is where the leaf really is, entry what the store says: a relay in front of it.
	listen, entry string
	service, zone string

	mu sync.Mutex
	// What follows is guarded by mu. leaf is nil while the place is empty, number counts the leaves.
	leaf   *hosted.Leaf
	number int
	misbehaviour
}

// misbehaviour is what a leaf does wrong, until when, with what part of its requests.
type misbehaviour struct {
	fault Fault
	until time.Time
	share float64
	// firm is set where no other may take its place before its time is over.
	firm bool
}

// past are the leaves that there were, for what they have seen.
type past struct {
	mu     sync.Mutex
	leaves []pastLeaf
}

type pastLeaf struct {
	leaf    *hosted.Leaf
	service string
}

// runs returns what all leaves have seen.
func (p *past) runs() []Run {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []Run
	for _, l := range p.leaves {
		for _, s := range l.leaf.Requests() {
			out = append(out, Run{ID: s.ID, Leaf: l.leaf.ID, Born: l.leaf.Born, Service: l.service, Target: s.Target, At: s.At, Ran: s.Ran})
		}
	}
	return out
}

// open starts the next leaf at the place.
func (p *place) open(all *past, service string) (*hosted.Leaf, error) {
	p.mu.Lock()
	p.number++
	id := fmt.Sprintf("%s-%s-%d", service, strings.ReplaceAll(p.entry, ":", "."), p.number)
	p.mu.Unlock()
	return p.openAs(all, service, id)
}

// openAs starts a leaf of the id at the place.
func (p *place) openAs(all *past, service, id string) (*hosted.Leaf, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.service, p.misbehaviour = service, misbehaviour{}
	leaf, err := hosted.NewLeafAt(p.listen, id, leafSlots, p.script(service))
	if err != nil {
		return nil, err
	}
	p.leaf = leaf
	all.mu.Lock()
	all.leaves = append(all.leaves, pastLeaf{leaf, service})
	all.mu.Unlock()
	return leaf, nil
}

// empty takes the leaf from the place; nil where there is none.
func (p *place) empty() *hosted.Leaf {
	p.mu.Lock()
	defer p.mu.Unlock()
	leaf := p.leaf
	p.leaf = nil
	return leaf
}

func (p *place) current() *hosted.Leaf {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.leaf
}

// serves returns the service of the place.
func (p *place) serves() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.service
}

func (p *place) misbehave(m misbehaviour) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.firm || time.Now().After(p.until) {
		p.misbehaviour = m
	}
}

// script answers requests of the service, with the faults of the place.
func (p *place) script(service string) hosted.Script {
	return func(_ int, r *http.Request) hosted.Reply {
		reply := hosted.Reply{Delay: leafWork, Body: []byte(answer(service, hosted.RequestID(r), r.RequestURI))}
		if strings.HasPrefix(r.RequestURI, "/s/") {
			reply.Body = []byte(part(service, r.RequestURI))
		}
		p.mu.Lock()
		m := p.misbehaviour
		p.mu.Unlock()
		if time.Now().Before(m.until) && rand.Float64() < m.share {
			m.spoil(&reply)
		}
		return reply
	}
}

// spoil makes a reply as bad as the fault says.
func (m *misbehaviour) spoil(reply *hosted.Reply) {
	switch m.fault {
	case LeafSlow:
		reply.Delay *= 20
	case LeafHang:
		reply.Delay = hangTime
	case LeafRefuse:
		reply.Refuse = true
	case LeafErrors:
		reply.Status, reply.Body = http.StatusInternalServerError, []byte("no")
	case LeafLose:
		reply.Reset = true
	case LeafGarble:
		reply.Truncate = max(1, len(reply.Body)/2)
	case LeafExtra:
		reply.Trailing = hosted.ForeignAnswer()
	}
}
