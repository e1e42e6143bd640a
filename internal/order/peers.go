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

// maxPeerClients is how many clients are kept before the cache starts anew.
const maxPeerClients = 2048

// Peers reaches the TicketPeerService of other gathers.
type Peers interface {
	Peer(vm *pb.Vm) burdockv1connect.TicketPeerServiceClient
}

// HTTPPeers makes clients over one HTTP client. It is safe for concurrent use.
type HTTPPeers struct {
	client *http.Client

	mu sync.Mutex
	// byAddress is guarded by mu.
	byAddress map[string]burdockv1connect.TicketPeerServiceClient
}

// NewHTTPPeers returns Peers over the client, which is bound to the VM's own address.
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

// findVM returns the VM of the id in the view, or nil.
func findVM(v *feed.View, id string) *pb.Vm {
	for _, vm := range v.VMs {
		if vm.GetId() == id {
			return vm
		}
	}
	return nil
}

// readyGather tells whether the VM is live and its gather takes new work.
func readyGather(vm *pb.Vm) bool {
	return vm.GetState() == pb.VmState_VM_STATE_LIVE &&
		gatherOf(vm).GetState() == pb.ProcessState_PROCESS_STATE_READY
}

// incarnationEnded tells whether the view shows that an incarnation of the VM's gather has ended: another one
// took its place, or the VM says so. That other VMs can't reach the VM doesn't show it.
func incarnationEnded(vm *pb.Vm, incarnation uint64) bool {
	p := gatherOf(vm)
	return p != nil && (p.GetIncarnation() != incarnation || p.GetState() == pb.ProcessState_PROCESS_STATE_GONE)
}

// gatherGone tells whether the VM or its gather has ended by the view.
func gatherGone(vm *pb.Vm) bool {
	return vm.GetState() == pb.VmState_VM_STATE_GONE ||
		gatherOf(vm).GetState() == pb.ProcessState_PROCESS_STATE_GONE
}

// witnessSelector picks the witness of each new ticket and avoids those that failed lately.
type witnessSelector struct {
	cooldown time.Duration
	now      balance.Clock
	random   balance.Random

	mu sync.Mutex
	// failedAt holds when a VM failed as a witness; guarded by mu.
	failedAt map[string]time.Time
}

func newWitnessSelector(avoid time.Duration, now balance.Clock, random balance.Random) *witnessSelector {
	return &witnessSelector{cooldown: avoid, now: now, random: random, failedAt: make(map[string]time.Time)}
}

// Pick returns a ready gather of another VM, one of the own availability zone where there is any,
// or nil.
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

// candidates returns the gathers that can be a witness now, those of the own availability zone and
// the others.
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

// MarkFailed notes that the VM failed as a witness.
func (w *witnessSelector) MarkFailed(vm string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failedAt[vm] = w.now()
}

// coolingDown tells whether the VM failed lately; it drops what is old.
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
