// Package route decides which gather receives a request and sends it there. A search or a request for a
// ticket goes to one gather of the service's subset, chosen by the power of two random choices. An order
// goes only to the gather incarnation that its ticket names.
package route

import (
	"net"
	"net/http"
	"strconv"
	"sync"

	"connectrpc.com/connect"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/api/burdock/v1/burdockv1connect"
)

// Gather is a copy of one gather process's data in the view.
type Gather struct {
	VM          string
	Zone        string
	Incarnation uint64
	State       pb.ProcessState
	// Address is HOST:PORT, where HOST is an IP number.
	Address string
}

// Dial returns the client of the gather at the address HOST:PORT. It opens no connection itself.
type Dial func(address string) burdockv1connect.GatherServiceClient

// NewDial returns a Dial that keeps one client per address, over the given HTTP client. The clients request
// uncompressed answers: between VMs of one zone the CPU time costs more than the bytes.
func NewDial(c *http.Client) Dial {
	var clients sync.Map
	return func(address string) burdockv1connect.GatherServiceClient {
		if cl, ok := clients.Load(address); ok {
			return cl.(burdockv1connect.GatherServiceClient)
		}
		cl, _ := clients.LoadOrStore(address, burdockv1connect.NewGatherServiceClient(
			c, "http://"+address, connect.WithAcceptCompression("gzip", nil, nil)))
		return cl.(burdockv1connect.GatherServiceClient)
	}
}

// gatherOf returns the gather of the VM, and whether the VM has reported that it runs one.
func gatherOf(vm *pb.Vm) (Gather, bool) {
	for _, p := range vm.GetProcesses() {
		if p.GetRole() == pb.ProcessRole_PROCESS_ROLE_GATHER {
			g := gatherAt(vm, p.GetIncarnation())
			g.State = p.GetState()
			return g, true
		}
	}
	return Gather{}, false
}

// gatherAt returns a gather of the given incarnation at the VM's address, with an unknown state.
func gatherAt(vm *pb.Vm, incarnation uint64) Gather {
	return Gather{
		VM: vm.GetId(), Zone: vm.GetZone(), Incarnation: incarnation,
		Address: net.JoinHostPort(vm.GetAddress(), strconv.Itoa(int(vm.GetGatherPort()))),
	}
}

// findVM returns the VM with the id, or nil.
func findVM(vms []*pb.Vm, id string) *pb.Vm {
	for _, vm := range vms {
		if vm.GetId() == id {
			return vm
		}
	}
	return nil
}
