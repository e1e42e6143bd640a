package order

import (
	"context"
	"errors"
	"time"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/api/burdock/v1/burdockv1connect"
	"github.com/burdockplank/burdockplank/internal/upstream"
	"github.com/burdockplank/burdockplank/internal/wait"
)

var errLost = errors.New("lost")

// arm makes the faults affect the next calls of the step. It replaces faults armed before.
func (w *world) arm(step string, f ...fault) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.armed[step] = f
}

func (w *world) takeFault(step string) fault {
	w.mu.Lock()
	defer w.mu.Unlock()
	armed := w.armed[step]
	if len(armed) == 0 {
		return fault{}
	}
	w.armed[step] = armed[1:]
	return armed[0]
}

func linkOf(from *node, to string) [2]string {
	name := "entry"
	if from != nil {
		name = from.id
	}
	return [2]string{min(name, to), max(name, to)}
}

func (w *world) isPartitioned(from *node, to string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.partitioned[linkOf(from, to)]
}

// call carries one request to the gather of a VM and returns its answer. from is nil for the entry.
// The sender notices a lost message only at the end of ctx. A request may arrive long after its
// sender gave up.
func call[T any](w *world, ctx context.Context, from *node, to, step string, handle func(*node) (T, error)) (T, error) {
	type result struct {
		v   T
		err error
	}
	var none T
	f := w.takeFault(step)
	if w.applyEvent(from, f.before); !from.waitAlive() {
		return none, errLost
	}
	answer := make(chan result, 1)
	if !f.dropRequest && !w.isPartitioned(from, to) {
		go func() {
			time.Sleep(f.delay)
			n := w.node(to)
			if !n.waitAlive() {
				return
			}
			v, err := handle(n)
			if n.waitAlive() && !f.dropResponse && !w.isPartitioned(from, to) {
				answer <- result{v, err}
			}
		}()
	}
	r := result{err: errLost}
	select {
	case r = <-answer:
	case <-ctx.Done():
	}
	if w.applyEvent(from, f.after); !from.waitAlive() {
		return none, errLost
	}
	return r.v, r.err
}

// netPeers implements Peers over the fake network.
type netPeers struct {
	w    *world
	from *node
}

type netPeer struct {
	netPeers
	to string
}

func (p netPeers) Peer(vm *pb.Vm) burdockv1connect.TicketPeerServiceClient {
	return netPeer{p, vm.GetId()}
}

func (p netPeer) NoteIntent(ctx context.Context, req *pb.NoteIntentRequest) (*pb.NoteIntentResponse, error) {
	return call(p.w, ctx, p.from, p.to, atNote, func(n *node) (*pb.NoteIntentResponse, error) {
		return n.m.Handler().NoteIntent(ctx, req)
	})
}

func (p netPeer) Resolve(ctx context.Context, req *pb.ResolveRequest) (*pb.ResolveResponse, error) {
	return call(p.w, ctx, p.from, p.to, atResolve, func(n *node) (*pb.ResolveResponse, error) {
		return n.m.Handler().Resolve(ctx, req)
	})
}

func (p netPeer) Handover(ctx context.Context, req *pb.HandoverRequest) (*pb.HandoverResponse, error) {
	return call(p.w, ctx, p.from, p.to, atHandover, func(n *node) (*pb.HandoverResponse, error) {
		return n.m.Handler().Handover(ctx, req)
	})
}

// Execute implements upstream.Caller. An order that has been written may run at any later time.
func (n *node) Execute(ctx context.Context, leaf string, req *pb.LeafExecuteRequest) (*pb.LeafExecuteResponse, error) {
	f := n.w.takeFault(atExecute)
	n.w.applyEvent(n, f.before)
	if !n.waitAlive() || f.notWritten {
		return nil, &upstream.CallError{Leaf: leaf, Err: errLost}
	}
	if f.refusal != pb.LeafRefusalReason_LEAF_REFUSAL_REASON_UNSPECIFIED {
		if wait.For(ctx, f.delay); ctx.Err() != nil {
			return nil, &upstream.CallError{Leaf: leaf, Wrote: true, Err: ctx.Err()}
		}
		return nil, &upstream.CallError{Leaf: leaf, Wrote: true, Refusal: f.refusal, Err: errLost}
	}
	answer := make(chan struct{}, 1)
	if !f.dropRequest {
		go func() {
			time.Sleep(f.delay)
			n.w.recordRun(req.GetTicket())
			if !f.dropResponse {
				answer <- struct{}{}
			}
		}()
	}
	var err error
	if f.broken {
		err = &upstream.CallError{Leaf: leaf, Wrote: true, ConnectionLost: true, Err: errLost}
	} else {
		select {
		case <-answer:
		case <-ctx.Done():
			err = &upstream.CallError{Leaf: leaf, Wrote: true, Err: ctx.Err()}
		}
	}
	n.w.applyEvent(n, f.after)
	n.waitAlive()
	resp := &pb.LeafExecuteResponse{RequestId: req.GetRequestId(), Ticket: req.GetTicket(), Result: "done:" + req.GetTicket()}
	if f.mismatch {
		resp.RequestId = "another"
	}
	return resp, err
}

func (w *world) recordRun(ticket string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runs[ticket]++
}

func (w *world) runsOf(ticket string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.runs[ticket]
}
