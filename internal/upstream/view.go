package upstream

import (
	"maps"
	"slices"
	"time"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/internal/bundle"
	"github.com/burdockplank/burdockplank/internal/feed"
	"github.com/burdockplank/burdockplank/internal/subset"
)

// plannedLeaf is one leaf that this VM must be connected to.
type plannedLeaf struct {
	service     string
	leaf        *bundle.Leaf
	connections int
}

// ApplyView applies the leaves and the departure evidence of a view. Calls in flight are not
// interrupted: connections beyond the new plan close after their calls have ended.
func (p *Pool) ApplyView(v *feed.View) {
	if v == nil || v.Bundle == nil {
		return
	}
	plan := p.plan(v)
	p.mu.Lock()
	p.hasBundle = true
	for id, l := range p.leaves {
		if w, ok := plan[id]; !ok || w.leaf.Address != l.address || w.service != l.service {
			l.setPlanned(0)
			p.removed = append(p.removed, l)
			delete(p.leaves, id)
		}
	}
	for id, w := range plan {
		l := p.leaves[id]
		if l == nil {
			l = p.newLeaf(w)
			p.leaves[id] = l
		}
		l.setPlanned(w.connections)
	}
	p.mu.Unlock()
	p.applyEvidence(v)
	p.wakeLoop()
}

// plan returns the leaves that this VM serves, by id.
func (p *Pool) plan(v *feed.View) map[string]plannedLeaf {
	vms := withSelf(v)
	all := make(map[string]plannedLeaf)
	for _, name := range slices.Sorted(maps.Keys(v.Bundle.Services)) {
		s := v.Bundle.Services[name]
		sub := subset.For(s, v.Zone, vms)
		if !sub.Has(v.VM) {
			continue
		}
		for _, l := range s.Leaves {
			if _, taken := all[l.ID]; !taken {
				all[l.ID] = plannedLeaf{service: s.Name, leaf: l, connections: sub.ConnectionsPerLeaf}
			}
		}
	}
	return all
}

// withSelf returns the VMs of the view including this VM, which an early view may lack.
func withSelf(v *feed.View) []*pb.Vm {
	for _, vm := range v.VMs {
		if vm.GetId() == v.VM {
			return v.VMs
		}
	}
	self := &pb.Vm{Id: v.VM, Zone: v.Zone, State: pb.VmState_VM_STATE_LIVE}
	return append(append([]*pb.Vm(nil), v.VMs...), self)
}

func (p *Pool) newLeaf(w plannedLeaf) *leaf {
	return &leaf{
		pool: p, id: w.leaf.ID, service: w.service, address: w.leaf.Address,
		client: newClient(w.leaf.Address), slots: w.leaf.Slots, changed: make(chan struct{}),
	}
}

func (l *leaf) setPlanned(n int) {
	l.mu.Lock()
	l.planned = n
	l.mu.Unlock()
}

// applyEvidence applies the departures that other VMs observed, and the upstream list.
func (p *Pool) applyEvidence(v *feed.View) {
	listed := make(map[string]time.Time)
	for _, u := range v.Upstreams {
		if u.GetLeaving() {
			listed[u.GetId()] = v.Received
		}
	}
	for _, d := range v.Departures {
		at := v.Received.Add(-d.GetAge().AsDuration())
		l := p.leaf(d.GetLeaf())
		switch {
		case l == nil:
		case d.GetIncarnation() != 0:
			l.applyDeparture(d)
		case d.GetSource() == pb.DepartureSource_DEPARTURE_SOURCE_LIST:
			if old, ok := listed[l.id]; !ok || at.After(old) {
				listed[l.id] = at
			}
		default:
			l.applyRefusedConnection(at)
		}
	}
	p.mu.RLock()
	defer p.mu.RUnlock()
	for id, l := range p.leaves {
		since, leaving := listed[id]
		l.applyListed(leaving, since)
	}
}

func (l *leaf) applyDeparture(d *pb.Departure) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.presence.recordDeparture(d.GetIncarnation(), d.GetSource())
}

// applyRefusedConnection applies a connection refused to another VM. A connection opened by this VM
// from now on shows whether the leaf still refuses, so an open one is retired to make room for it.
func (l *leaf) applyRefusedConnection(at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.presence.recordRefused(at) {
		return
	}
	l.retryAt = time.Now().Add(jitter(minBackoff))
	if c := l.oldest(); c != nil && l.openConns() >= l.targetConns() {
		l.retire(c, retireByPool)
	}
}

func (l *leaf) applyListed(leaving bool, since time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.presence.recordListed(leaving, since)
}

// oldest returns the connection in use that was opened first, or nil. Requires mu.
func (l *leaf) oldest() *conn {
	var old *conn
	for _, c := range l.conns {
		if c.retired == retireNone && (old == nil || c.opened.Before(old.opened)) {
			old = c
		}
	}
	return old
}
