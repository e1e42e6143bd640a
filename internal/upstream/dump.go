package upstream

import (
	"sort"
	"time"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
)

// LeafDump is one leaf in the operator dump.
type LeafDump struct {
	Leaf        string `json:"leaf"`
	Service     string `json:"service"`
	Address     string `json:"address"`
	Incarnation uint64 `json:"incarnation"`
	// Leaving names the evidence of departure, empty if there is none.
	Leaving   string   `json:"leaving,omitempty"`
	Slots     int      `json:"slots"`
	Snapshots []uint64 `json:"snapshots"`
	// Planned is how many connections the plan gives this VM.
	Planned     int        `json:"planned_connections"`
	Connections []ConnDump `json:"connections"`
	// OpenError is the error of the last attempt to open a connection.
	OpenError string `json:"open_error,omitempty"`
}

// ConnDump is one connection in the operator dump.
type ConnDump struct {
	Incarnation uint64 `json:"incarnation"`
	InFlight    int    `json:"in_flight"`
	// OutOfUse says why no more calls are sent on the connection, empty if it is in use.
	OutOfUse string `json:"out_of_use,omitempty"`
	// Age is the time since the connection was opened, Quiet the time since its last received byte.
	Age   string `json:"age"`
	Quiet string `json:"quiet"`
}

// Dump implements operator.Dumper. It returns the leaves sorted by id.
func (p *Pool) Dump() any {
	all := p.all()
	sort.Slice(all, func(i, j int) bool { return all[i].id < all[j].id })
	now := time.Now()
	dump := make([]LeafDump, 0, len(all))
	for _, l := range all {
		dump = append(dump, l.dump(now))
	}
	return dump
}

func (l *leaf) dump(now time.Time) LeafDump {
	l.mu.Lock()
	defer l.mu.Unlock()
	d := LeafDump{
		Leaf: l.id, Service: l.service, Address: l.address, Incarnation: l.presence.incarnation,
		Slots: l.slots, Snapshots: l.snapshots, Planned: l.planned, Connections: []ConnDump{},
	}
	if s := l.presence.leaving(); s != pb.DepartureSource_DEPARTURE_SOURCE_UNSPECIFIED {
		d.Leaving = evidenceName(s)
	}
	if l.openError != nil {
		d.OpenError = l.openError.Error()
	}
	for _, c := range l.conns {
		d.Connections = append(d.Connections, ConnDump{
			Incarnation: c.incarnation, InFlight: c.inFlight, OutOfUse: string(c.retired),
			Age:   now.Sub(c.opened).Round(time.Millisecond).String(),
			Quiet: now.Sub(c.tcp.lastHeard()).Round(time.Millisecond).String(),
		})
	}
	return d
}

// closeAll closes every connection, including those with calls in flight.
func (l *leaf) closeAll() {
	l.mu.Lock()
	all := l.conns
	l.conns, l.planned = nil, 0
	l.mu.Unlock()
	for _, c := range all {
		_ = c.h2.Close()
	}
}
