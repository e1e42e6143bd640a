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

// placement is an address at which leaves live, one after the other.
type placement struct {
	// listen is where the leaf really is, entry what the store says: a relay in front of it.
	listen, entry string
	service, zone string

	mu sync.Mutex
	// What follows is guarded by mu. leaf is nil while the place is empty, number counts the leaves.
	leaf   *hosted.Leaf
	number int
	leafFault
}

// leafFault is what a leaf does wrong, until when, with what part of its requests.
type leafFault struct {
	fault Fault
	until time.Time
	share float64
	// pinned is set where no other may take its place before its time is over.
	pinned bool
}

// startedLeaves are the leaves that there were, for what they have seen.
type startedLeaves struct {
	mu     sync.Mutex
	leaves []startedLeaf
}

type startedLeaf struct {
	leaf    *hosted.Leaf
	service string
}

// runs returns what all leaves have seen.
func (p *startedLeaves) runs() []Run {
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

// startLeaf starts the next leaf at the place.
func (p *placement) startLeaf(started *startedLeaves, service string) (*hosted.Leaf, error) {
	p.mu.Lock()
	p.number++
	id := fmt.Sprintf("%s-%s-%d", service, strings.ReplaceAll(p.entry, ":", "."), p.number)
	p.mu.Unlock()
	return p.startLeafAs(started, service, id)
}

// startLeafAs starts a leaf of the id at the place.
func (p *placement) startLeafAs(started *startedLeaves, service, id string) (*hosted.Leaf, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.service, p.leafFault = service, leafFault{}
	leaf, err := hosted.NewLeafAt(p.listen, id, leafSlots, p.script(service))
	if err != nil {
		return nil, err
	}
	p.leaf = leaf
	started.mu.Lock()
	started.leaves = append(started.leaves, startedLeaf{leaf, service})
	started.mu.Unlock()
	return leaf, nil
}

// takeLeaf takes the leaf from the place; nil where there is none.
func (p *placement) takeLeaf() *hosted.Leaf {
	p.mu.Lock()
	defer p.mu.Unlock()
	leaf := p.leaf
	p.leaf = nil
	return leaf
}

func (p *placement) current() *hosted.Leaf {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.leaf
}

// currentService returns the service of the place.
func (p *placement) currentService() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.service
}

func (p *placement) setFault(m leafFault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.pinned || time.Now().After(p.until) {
		p.leafFault = m
	}
}

// script answers requests of the service, with the faults of the place.
func (p *placement) script(service string) hosted.Script {
	return func(_ int, r *http.Request) hosted.Reply {
		reply := hosted.Reply{Delay: leafWork, Body: []byte(answer(service, hosted.RequestID(r), r.RequestURI))}
		if strings.HasPrefix(r.RequestURI, "/s/") {
			reply.Body = []byte(part(service, r.RequestURI))
		}
		p.mu.Lock()
		m := p.leafFault
		p.mu.Unlock()
		if time.Now().Before(m.until) && rand.Float64() < m.share {
			m.apply(&reply)
		}
		return reply
	}
}

// apply makes a reply as bad as the fault says.
func (m *leafFault) apply(reply *hosted.Reply) {
	switch m.fault {
	case LeafSlow:
		reply.Delay *= 20
	case LeafHang:
		reply.Delay = hangTime
	case LeafRefuse:
		reply.Refuse = true
	case LeafErrors:
		reply.Status, reply.Body = http.StatusInternalServerError, []byte("no")
	case LeafLoseAnswers:
		reply.Reset = true
	case LeafGarble:
		reply.Truncate = max(1, len(reply.Body)/2)
	case LeafExtraAnswers:
		reply.Then = hosted.ForeignAnswer()
	}
}
