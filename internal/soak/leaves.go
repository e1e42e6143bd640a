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
	// leafSlots is the number of requests that a leaf processes concurrently, leafWork the processing time of one.
	leafSlots = 8
	leafWork  = 4 * time.Millisecond
	// orderService is the service that runs orders.
	orderService = "orders"
	// hangTime is longer than the timeout that any caller sends.
	hangTime = 3 * time.Second
)

// placement is an address that serves one leaf at a time.
type placement struct {
	// listen is the leaf's own address. entry is the address in the store, at which a relay forwards to listen.
	listen, entry string
	service, zone string

	mu sync.Mutex
	// The fields below are guarded by mu. leaf is nil while the placement is empty; number counts
	// the leaves that startLeaf started.
	leaf   *hosted.Leaf
	number int
	leafFault

	// crash returns how a request ends the placement's leaf; ok is false if it does not.
	crash func(p *placement, r *http.Request) (reply hosted.Reply, ok bool)
}

// leafFault is a fault that a leaf shows until the given time, for the given share of its requests.
type leafFault struct {
	fault Fault
	until time.Time
	share float64
	// pinned prevents another fault from replacing this one before until.
	pinned bool
}

// startedLeaves holds all leaves that were started, running or not, for the requests that they observed.
type startedLeaves struct {
	mu     sync.Mutex
	leaves []startedLeaf
}

type startedLeaf struct {
	leaf          *hosted.Leaf
	service, zone string
}

// runs returns the requests that all leaves observed, without health checks.
func (p *startedLeaves) runs() []Run {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []Run
	for _, l := range p.leaves {
		for _, s := range l.leaf.Requests() {
			if s.HealthCheck() {
				continue
			}
			out = append(out, Run{
				ID: s.ID, Leaf: l.leaf.ID, Born: l.leaf.Born, Service: l.service, Zone: l.zone, Target: s.Target, At: s.At, Ran: s.Ran,
				Misdirected: s.ExpectedInstance != "" && s.ExpectedInstance != l.leaf.ID,
			})
		}
	}
	return out
}

// startLeaf starts a leaf of the service at the placement, under a new ID.
func (p *placement) startLeaf(started *startedLeaves, service string) (*hosted.Leaf, error) {
	p.mu.Lock()
	p.number++
	id := fmt.Sprintf("%s-%s-%d", service, strings.ReplaceAll(p.entry, ":", "."), p.number)
	p.mu.Unlock()
	return p.startLeafAs(started, service, id)
}

// startLeafAs starts a leaf with the given ID at the placement and clears the placement's fault.
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
	started.leaves = append(started.leaves, startedLeaf{leaf, service, p.zone})
	started.mu.Unlock()
	return leaf, nil
}

// takeLeaf removes the leaf from the placement and returns it, or nil if there is none.
func (p *placement) takeLeaf() *hosted.Leaf {
	p.mu.Lock()
	defer p.mu.Unlock()
	leaf := p.leaf
	p.leaf = nil
	return leaf
}

// current returns the running leaf of the placement, or nil if there is none.
func (p *placement) current() *hosted.Leaf {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.leaf
}

// currentService returns the service of the placement.
func (p *placement) currentService() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.service
}

// setFault replaces the placement's fault unless the current one is pinned and has not expired.
func (p *placement) setFault(m leafFault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.pinned || time.Now().After(p.until) {
		p.leafFault = m
	}
}

// script returns the answers of a leaf of the service, including the placement's current fault.
func (p *placement) script(service string) hosted.Script {
	return func(_ int, r *http.Request) hosted.Reply {
		if reply, ok := p.crash(p, r); ok {
			return reply
		}
		reply := hosted.Reply{Delay: leafWork, Body: []byte(answer(service, hosted.RequestID(r), r.RequestURI))}
		if strings.HasPrefix(r.RequestURI, "/s/") {
			reply.Body = []byte(part(service, r.RequestURI))
		}
		p.mu.Lock()
		m := p.leafFault
		p.mu.Unlock()
		if time.Now().Before(m.until) && rand.Float64() < m.share {
			m.apply(hosted.RequestID(r), &reply)
		}
		return reply
	}
}

// apply changes the reply to the attempt as the fault requires.
func (m *leafFault) apply(id string, reply *hosted.Reply) {
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
		reply.Trailing = hosted.ForeignAnswer()
	case LeafUnsigned:
		reply.Unsigned = true
	case LeafEndless:
		neverEnd(id, reply)
	}
}
