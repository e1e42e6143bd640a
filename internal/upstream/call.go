package upstream

import (
	"context"
	"errors"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
)

// maxOrderConns bounds how many connections are tried for one order.
const maxOrderConns = 4

// The procedures as metric labels.
const (
	methodSearch  = "search"
	methodExecute = "execute"
)

// Search implements Caller.
func (p *Pool) Search(ctx context.Context, id string, req *pb.LeafSearchRequest) (*pb.LeafSearchResponse, error) {
	l, c, err := p.begin(ctx, id, methodSearch)
	if err != nil {
		return nil, err
	}
	defer l.release(c)
	decided := decisionTime(ctx)
	if tooLate(decided) {
		return nil, l.notSentError(methodSearch, errTooLate)
	}
	arriveBy := l.arriveBy(c, decided)
	xctx, x := withExchange(ctx, c)
	res, rerr := l.client.Search(xctx, searchArrivingBy(req, arriveBy))
	if rerr != nil {
		return nil, l.callError(ctx, x, methodSearch, rerr)
	}
	if arriveBy == nil && !decided.IsZero() && !p.source.FreshSince(decided) {
		// The leaf does not check when calls arrive: this one may have been sent after a pause.
		stale := &CallError{Leaf: id, Incarnation: l.state().Incarnation, Wrote: true, Err: ErrStale}
		p.metrics.countCall(l.service, methodSearch, resultOf(stale))
		return nil, stale
	}
	p.metrics.countCall(l.service, methodSearch, resultOK)
	return res, nil
}

// Execute implements Caller. A connection that was not heard from within maxUnverifiedAge is pinged
// first. An order is thus rarely written to a silent connection, which would leave its outcome
// unknown.
func (p *Pool) Execute(ctx context.Context, id string, req *pb.LeafExecuteRequest) (*pb.LeafExecuteResponse, error) {
	deadline := workDeadline(ctx)
	l, c, err := p.beginVerified(ctx, id, deadline)
	if err != nil {
		return nil, err
	}
	defer l.releaseOrder(c)
	decided := decisionTime(ctx)
	if tooLate(decided) {
		return nil, l.notSentError(methodExecute, errTooLate)
	}
	req = proto.CloneOf(req)
	req.ArriveBy = l.arriveBy(c, decided)
	xctx, x := withExchange(ctx, c)
	x.order, x.deadline = true, deadline
	res, rerr := l.client.Execute(xctx, req)
	if rerr != nil {
		return nil, l.callError(ctx, x, methodExecute, rerr)
	}
	p.metrics.countCall(l.service, methodExecute, resultOK)
	return res, nil
}

// begin picks the connection for a call; the caller must release it. The error is a *CallError.
func (p *Pool) begin(ctx context.Context, id, method string) (*leaf, *conn, error) {
	l := p.leaf(id)
	if l == nil {
		return nil, nil, &CallError{Leaf: id, Err: errUnknownLeaf}
	}
	c, err := l.acquireWait(ctx)
	if err != nil {
		return nil, nil, l.notSentError(method, err)
	}
	return l, c, nil
}

// beginVerified is like begin but returns a connection that has just shown a sign of life, and
// counts an order on it. Nothing of the call is sent while connections are tried, and none is tried
// after the deadline.
func (p *Pool) beginVerified(ctx context.Context, id string, deadline time.Time) (*leaf, *conn, error) {
	if !deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, deadline)
		defer cancel()
	}
	for range maxOrderConns {
		l, c, err := p.begin(ctx, id, methodExecute)
		if err != nil {
			return nil, nil, err
		}
		verified := time.Since(c.tcp.lastHeard()) < maxUnverifiedAge || c.probe(ctx, pingTimeout)
		if verified && ctx.Err() == nil && l.beginOrder(c) {
			return l, c, nil
		}
		l.release(c)
		if ctx.Err() != nil {
			p.metrics.countCall(l.service, methodExecute, resultNotSent)
			return nil, nil, &CallError{Leaf: id, Err: ctx.Err()}
		}
	}
	return nil, nil, &CallError{Leaf: id, Err: errNoConnection}
}

// notSentError returns the error of a call of which nothing was sent.
func (l *leaf) notSentError(method string, err error) *CallError {
	l.pool.metrics.countCall(l.service, method, resultNotSent)
	return &CallError{Leaf: l.id, Incarnation: l.state().Incarnation, Err: err}
}

// callError turns the failure of a call into a *CallError, and applies what it shows about the
// leaf.
func (l *leaf) callError(ctx context.Context, x *exchange, method string, err error) *CallError {
	e := &CallError{Leaf: l.id, Wrote: !x.notSent(), Err: err}
	l.mu.Lock()
	e.Incarnation = x.conn.incarnation
	silent := x.conn.foundSilent
	l.mu.Unlock()
	switch refusal := refusalOf(err); {
	case refusal != nil:
		l.applyRefusal(e, refusal)
	case excludedByGoAway(x.err):
		e.Refusal = pb.LeafRefusalReason_LEAF_REFUSAL_REASON_DRAINING
	case refusedStream(x.err):
		e.Refusal = pb.LeafRefusalReason_LEAF_REFUSAL_REASON_SHED
	case ctx.Err() != nil:
		e.Err = ctx.Err()
	case silent:
		e.ConnectionSilent, e.Err = true, errSilent
	case x.conn.tcp.crashed():
		e.ConnectionLost = true
	}
	l.pool.metrics.countCall(l.service, method, resultOf(e))
	return e
}

// applyRefusal applies the leaf's own statement that it did not start the work.
func (l *leaf) applyRefusal(e *CallError, r *pb.LeafRefusal) {
	e.Refusal = r.GetReason()
	if n := r.GetIncarnation(); n != 0 {
		e.Incarnation = n
	}
	switch e.Refusal {
	case pb.LeafRefusalReason_LEAF_REFUSAL_REASON_DRAINING:
		l.mu.Lock()
		l.recordDeparture(e.Incarnation, pb.DepartureSource_DEPARTURE_SOURCE_REFUSAL)
		l.mu.Unlock()
		l.pool.wakeLoop()
	case pb.LeafRefusalReason_LEAF_REFUSAL_REASON_SNAPSHOT_GONE:
		l.pollNow()
	case pb.LeafRefusalReason_LEAF_REFUSAL_REASON_TOO_LATE:
		l.pollNow() // this VM may have been suspended, so that its reading of the leaf's clock is wrong
	}
}

// refusalOf returns the leaf's statement that it did not start the work, or nil.
func refusalOf(err error) *pb.LeafRefusal {
	var ce *connect.Error
	if !errors.As(err, &ce) || !connect.IsWireError(err) {
		return nil
	}
	for _, d := range ce.Details() {
		v, derr := d.Value()
		if derr != nil {
			continue
		}
		if r, ok := v.(*pb.LeafRefusal); ok && r.GetReason() != pb.LeafRefusalReason_LEAF_REFUSAL_REASON_UNSPECIFIED {
			return r
		}
	}
	return nil
}
