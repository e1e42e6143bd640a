// Package listing holds the platform's list of VMs and upstreams: its parsing from JSON, and its
// split into sections identified by their SHA-256 digests, so that only changed sections are
// transferred between VMs.
package listing

import (
	"cmp"
	"encoding/json"
	"net"
	"slices"

	"github.com/rotisserie/eris"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/internal/bundle"
	"github.com/burdockplank/burdockplank/internal/settings"
)

// List is one revision of the platform's list. It is immutable.
type List struct {
	Revision uint64
	// VMs and Upstreams are sorted by ID. A VM's state is live or leaving.
	VMs       []*pb.Vm
	Upstreams []*pb.Upstream
	// Manifest lists the digests of the sections.
	Manifest *pb.ListManifest
	// Sections holds the encoded sections by digest.
	Sections map[bundle.Digest][]byte
}

// States of VMs and upstreams in the platform's JSON.
const (
	stateLive    = "live"
	stateLeaving = "leaving"
)

// document is the platform's JSON document.
type document struct {
	Revision uint64      `json:"revision"`
	VMs      []vmEntry   `json:"vms"`
	Leaves   []leafEntry `json:"leaves"`
}

type vmEntry struct {
	ID           string `json:"id"`
	Zone         string `json:"zone"`
	Address      string `json:"address"`
	EntryPort    uint16 `json:"entry_port"`
	GatherPort   uint16 `json:"gather_port"`
	SyncPort     uint16 `json:"sync_port"`
	OperatorPort uint16 `json:"operator_port"`
	State        string `json:"state"`
}

type leafEntry struct {
	ID      string `json:"id"`
	Zone    string `json:"zone"`
	Address string `json:"address"`
	State   string `json:"state"`
}

// Parse decodes the platform's JSON. Invalid entries are left out and counted in skipped, so that
// one bad entry does not hide all others.
func Parse(text []byte) (list *List, skipped int, err error) {
	var doc document
	if err := json.Unmarshal(text, &doc); err != nil {
		return nil, 0, eris.Wrap(err, "sync.listing: decode list")
	}
	var vms []*pb.Vm
	var upstreams []*pb.Upstream
	for _, e := range doc.VMs {
		if e.usable() {
			vms = append(vms, e.vm())
		}
	}
	for _, e := range doc.Leaves {
		if e.usable() {
			upstreams = append(upstreams, e.upstream())
		}
	}
	list = New(doc.Revision, vms, upstreams)
	return list, len(doc.VMs) + len(doc.Leaves) - len(list.VMs) - len(list.Upstreams), nil
}

// New returns a list. If several entries have the same ID, the first is kept.
func New(revision uint64, vms []*pb.Vm, upstreams []*pb.Upstream) *List {
	l := &List{Revision: revision, VMs: sortedByID(vms), Upstreams: sortedByID(upstreams)}
	l.splitSections()
	return l
}

// identified is implemented by both kinds of entries.
type identified interface{ GetId() string }

func sortedByID[T identified](entries []T) []T {
	out := slices.Clone(entries)
	slices.SortStableFunc(out, func(a, b T) int { return cmp.Compare(a.GetId(), b.GetId()) })
	return slices.CompactFunc(out, func(a, b T) bool { return a.GetId() == b.GetId() })
}

func (e vmEntry) usable() bool {
	return settings.ValidName(e.ID) && settings.ValidName(e.Zone) && net.ParseIP(e.Address) != nil &&
		e.SyncPort != 0 && validState(e.State)
}

func (e vmEntry) vm() *pb.Vm {
	state := pb.VmState_VM_STATE_LIVE
	if e.State == stateLeaving {
		state = pb.VmState_VM_STATE_LEAVING
	}
	return &pb.Vm{
		Id: e.ID, Zone: e.Zone, Address: e.Address, State: state,
		EntryPort: uint32(e.EntryPort), GatherPort: uint32(e.GatherPort),
		SyncPort: uint32(e.SyncPort), OperatorPort: uint32(e.OperatorPort),
	}
}

func (e leafEntry) usable() bool {
	host, port, err := net.SplitHostPort(e.Address)
	return settings.ValidName(e.ID) && err == nil && net.ParseIP(host) != nil && port != "" && validState(e.State)
}

func (e leafEntry) upstream() *pb.Upstream {
	return &pb.Upstream{Id: e.ID, Zone: e.Zone, Address: e.Address, Leaving: e.State == stateLeaving}
}

func validState(s string) bool { return s == stateLive || s == stateLeaving }
