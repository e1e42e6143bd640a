package order

import (
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/api/burdock/v1/burdockv1connect"
	"github.com/burdockplank/burdockplank/internal/balance"
	"github.com/burdockplank/burdockplank/internal/feed"
)

// maxPeerClients is the maximum number of cached clients. A full cache is cleared.
const maxPeerClients = 2048

// Peers returns clients for the TicketPeerService of other gathers.
type Peers interface {
	Peer(vm *pb.Vm) burdockv1connect.TicketPeerServiceClient
}

// HTTPPeers implements Peers over one HTTP client. It is safe for concurrent use.
type HTTPPeers struct {
	client *http.Client

	mu sync.Mutex
	// byAddress is guarded by mu.
	byAddress map[string]burdockv1connect.TicketPeerServiceClient
}

// NewHTTPPeers returns Peers that use the client, which is bound to the VM's own address.
func NewHTTPPeers(client *http.Client) *HTTPPeers {
	return &HTTPPeers{client: client, byAddress: make(map[string]burdockv1connect.TicketPeerServiceClient)}
}

// Peer implements Peers.
func (p *HTTPPeers) Peer(vm *pb.Vm) burdockv1connect.TicketPeerServiceClient {
	addr := net.JoinHostPort(vm.GetAddress(), strconv.Itoa(int(vm.GetGatherPort())))
	p.mu.Lock()
	defer p.mu.Unlock()
	if c, ok := p.byAddress[addr]; ok {
		return c
	}
	if len(p.byAddress) >= maxPeerClients {
		clear(p.byAddress)
	}
	c := burdockv1connect.NewTicketPeerServiceClient(p.client, "http://"+addr)
	p.byAddress[addr] = c
	return c
}

// gatherOf returns the gather process that the VM reports, or nil.
func gatherOf(vm *pb.Vm) *pb.Process {
	for _, p := range vm.GetProcesses() {
		if p.GetRole() == pb.ProcessRole_PROCESS_ROLE_GATHER {
			return p
		}
	}
	return nil
}

// findVM returns the VM with the id in the view, or nil.
func findVM(v *feed.View, id string) *pb.Vm {
	for _, vm := range v.VMs {
		if vm.GetId() == id {
			return vm
		}
	}
	return nil
}

// readyGather reports whether the VM is live and its gather accepts new work.
func readyGather(vm *pb.Vm) bool {
	return vm.GetState() == pb.VmState_VM_STATE_LIVE &&
		gatherOf(vm).GetState() == pb.ProcessState_PROCESS_STATE_READY
}

// incarnationEnded reports whether the view shows that an incarnation of the VM's gather has ended:
// another incarnation has replaced it, or the VM reports its end. That other VMs can't reach the VM
// is no sign of it.
func incarnationEnded(vm *pb.Vm, incarnation uint64) bool {
	p := gatherOf(vm)
	return p != nil && (p.GetIncarnation() != incarnation || p.GetState() == pb.ProcessState_PROCESS_STATE_GONE)
}

// gatherGone reports whether the VM or its gather has ended according to the view.
func gatherGone(vm *pb.Vm) bool {
	return vm.GetState() == pb.VmState_VM_STATE_GONE ||
		gatherOf(vm).GetState() == pb.ProcessState_PROCESS_STATE_GONE
}

// witnessSelector picks the witness of each new ticket and avoids VMs that failed recently.
type witnessSelector struct {
	cooldown time.Duration
	now      balance.Clock
	random   balance.Random

	mu sync.Mutex
	// failedAt holds the time at which a VM last failed as a witness. It is guarded by mu.
	failedAt map[string]time.Time
}

func newWitnessSelector(avoid time.Duration, now balance.Clock, random balance.Random) *witnessSelector {
	return &witnessSelector{cooldown: avoid, now: now, random: random, failedAt: make(map[string]time.Time)}
}

// Pick returns a random ready gather of another VM, or nil if there is none. It prefers gathers of
// its own availability zone.
func (w *witnessSelector) Pick(v *feed.View) *pb.Vm {
	sameZone, otherZones := w.candidates(v)
	if len(sameZone) == 0 {
		sameZone = otherZones
	}
	if len(sameZone) == 0 {
		return nil
	}
	return sameZone[int(w.random()*float64(len(sameZone)))]
}

// candidates returns the gathers that can be a witness now, in its own availability zone and in the
// others.
func (w *witnessSelector) candidates(v *feed.View) (sameZone, otherZones []*pb.Vm) {
	for _, vm := range v.VMs {
		switch {
		case vm.GetId() == v.VM || !readyGather(vm) || w.coolingDown(vm.GetId()):
		case vm.GetZone() == v.Zone:
			sameZone = append(sameZone, vm)
		default:
			otherZones = append(otherZones, vm)
		}
	}
	return sameZone, otherZones
}

// MarkFailed records that the VM failed as a witness.
func (w *witnessSelector) MarkFailed(vm string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failedAt[vm] = w.now()
}

// coolingDown reports whether the VM failed within the cooldown. It drops an older failure.
func (w *witnessSelector) coolingDown(vm string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	failedAt, ok := w.failedAt[vm]
	if ok && w.now().Sub(failedAt) >= w.cooldown {
		delete(w.failedAt, vm)
		return false
	}
	return ok
}
