package leaf

import (
	"context"
	"errors"
	"net"
	"strings"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/types/known/durationpb"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
)

// refusalCodes maps the reasons of a refusal to connect codes.
var refusalCodes = map[pb.LeafRefusalReason]connect.Code{
	pb.LeafRefusalReason_LEAF_REFUSAL_REASON_SHED:          connect.CodeResourceExhausted,
	pb.LeafRefusalReason_LEAF_REFUSAL_REASON_DRAINING:      connect.CodeUnavailable,
	pb.LeafRefusalReason_LEAF_REFUSAL_REASON_SNAPSHOT_GONE: connect.CodeFailedPrecondition,
	pb.LeafRefusalReason_LEAF_REFUSAL_REASON_WRONG_SHARD:   connect.CodeInvalidArgument,
	pb.LeafRefusalReason_LEAF_REFUSAL_REASON_DEADLINE:      connect.CodeDeadlineExceeded,
	pb.LeafRefusalReason_LEAF_REFUSAL_REASON_TOO_LATE:      connect.CodeFailedPrecondition,
}

// refuse counts a refusal and returns the error for a call that did not start.
func (l *Leaf) refuse(reason pb.LeafRefusalReason) error {
	l.journal.refused(reason)
	name := strings.ToLower(strings.TrimPrefix(reason.String(), "LEAF_REFUSAL_REASON_"))
	ce := connect.NewError(refusalCodes[reason], errors.New("refused: "+name))
	d, err := connect.NewErrorDetail(&pb.LeafRefusal{Reason: reason, Incarnation: l.incarnation()})
	if err == nil {
		ce.AddDetail(d)
	}
	return ce
}

// contextError returns the error for a call whose context ended while it ran.
func contextError(err error) error {
	if errors.Is(err, context.DeadlineExceeded) {
		return connect.NewError(connect.CodeDeadlineExceeded, err)
	}
	return connect.NewError(connect.CodeCanceled, err)
}

// Search implements LeafService.
func (l *Leaf) Search(ctx context.Context, req *pb.LeafSearchRequest) (*pb.LeafSearchResponse, error) {
	now, from := time.Now(), callerIP(ctx)
	l.journal.arrived(req.GetRequestId(), from, now)
	f := l.Faults()
	if f.Stall {
		return nil, l.stallSearch(ctx, req, now)
	}
	if l.isTooLate(req.GetArriveBy(), now) {
		return nil, l.refuse(pb.LeafRefusalReason_LEAF_REFUSAL_REASON_TOO_LATE)
	}
	if err := l.refuseSearch(req, from, &f); err != nil {
		return nil, err
	}
	if err := l.acquireSlot(ctx); err != nil {
		return nil, err
	}
	defer l.slots.release()
	entry := l.journal.searchStarted(req, time.Now())
	l.crashIfMarked(&f, req.GetRequestId(), req.GetQuery())
	if err := sleep(ctx, l.serviceTime(&f)); err != nil {
		l.journal.searchEnded(entry, SearchCancelled)
		return nil, contextError(err)
	}
	if l.random.chance(f.ErrorShare) {
		l.journal.searchEnded(entry, SearchFailed)
		return nil, errInjected()
	}
	res := l.maybeEarlierAnswer(l.answer(req, &f), &f)
	l.journal.delivered(entry, res)
	return res, nil
}

// stallSearch logs the search and waits until its context ends.
func (l *Leaf) stallSearch(ctx context.Context, req *pb.LeafSearchRequest, now time.Time) error {
	entry := l.journal.searchStarted(req, now)
	<-ctx.Done()
	l.journal.searchEnded(entry, SearchCancelled)
	return contextError(ctx.Err())
}

// refuseSearch returns the refusal of a search that must not start, or nil.
func (l *Leaf) refuseSearch(req *pb.LeafSearchRequest, from string, f *Faults) error {
	switch {
	case l.reportsDrainTo(from, f):
		return l.refuse(pb.LeafRefusalReason_LEAF_REFUSAL_REASON_DRAINING)
	case f.Shed:
		return l.refuse(pb.LeafRefusalReason_LEAF_REFUSAL_REASON_SHED)
	case req.GetService() != l.settings.Service || !l.holdsShard(req.GetSnapshot(), req.GetShard()):
		return l.refuse(pb.LeafRefusalReason_LEAF_REFUSAL_REASON_WRONG_SHARD)
	case f.RefuseSnapshot || !l.holdsSnapshot(req.GetSnapshot()):
		return l.refuse(pb.LeafRefusalReason_LEAF_REFUSAL_REASON_SNAPSHOT_GONE)
	}
	return nil
}

// isTooLate reports whether a call that arrived now came after its limit, an uptime. Nil is no limit.
func (l *Leaf) isTooLate(arriveBy *durationpb.Duration, now time.Time) bool {
	return arriveBy != nil && l.uptime(now) > arriveBy.AsDuration()
}

// acquireSlot waits for a slot. A call that finds the queue full or whose context ends first is refused,
// since it has not started.
func (l *Leaf) acquireSlot(ctx context.Context) error {
	err := l.slots.acquire(ctx)
	switch {
	case err == nil:
		return nil
	case errors.Is(err, errQueueFull):
		return l.refuse(pb.LeafRefusalReason_LEAF_REFUSAL_REASON_SHED)
	}
	return l.refuse(pb.LeafRefusalReason_LEAF_REFUSAL_REASON_DEADLINE)
}

// answer returns the response to a search, with the errors that faults inject.
func (l *Leaf) answer(req *pb.LeafSearchRequest, f *Faults) *pb.LeafSearchResponse {
	shard, snapshot := req.GetShard(), req.GetSnapshot()
	if f.WrongShard {
		shard++
	}
	if f.WrongSnapshot {
		snapshot++
	}
	res := &pb.LeafSearchResponse{
		RequestId: req.GetRequestId(), Service: req.GetService(), Shard: shard, Snapshot: snapshot,
		QueryDigest: QueryDigest(req.GetQuery()), Load: l.load(f),
	}
	if f.Empty {
		return res
	}
	res.Hits = Hits(shard, snapshot, req.GetQuery(), int(req.GetTopK()), l.settings.Documents)
	padTexts(res.Hits, max(l.settings.HitBytes, f.HitBytes))
	return res
}

// maybeEarlierAnswer returns res or, in the share of calls that the fault MixedShare selects, the answer to
// the search before.
func (l *Leaf) maybeEarlierAnswer(res *pb.LeafSearchResponse, f *Faults) *pb.LeafSearchResponse {
	l.mu.Lock()
	earlier := l.previousAnswer
	l.previousAnswer = res
	l.mu.Unlock()
	if earlier != nil && l.random.chance(f.MixedShare) {
		return earlier
	}
	return res
}

// Execute implements LeafService. It does not deduplicate: each call that starts has an effect.
func (l *Leaf) Execute(ctx context.Context, req *pb.LeafExecuteRequest) (*pb.LeafExecuteResponse, error) {
	now, from := time.Now(), callerIP(ctx)
	l.journal.arrived(req.GetRequestId(), from, now)
	f := l.Faults()
	if f.Stall {
		<-ctx.Done()
		return nil, contextError(ctx.Err())
	}
	if l.isTooLate(req.GetArriveBy(), now) {
		return nil, l.refuse(pb.LeafRefusalReason_LEAF_REFUSAL_REASON_TOO_LATE)
	}
	if err := l.refuseOrder(req, from, &f); err != nil {
		return nil, err
	}
	if err := l.acquireSlot(ctx); err != nil {
		return nil, err
	}
	defer l.slots.release()
	if l.random.chance(f.ErrorShare) {
		return nil, errInjected()
	}
	l.journal.executed(req, time.Now())
	l.crashIfMarked(&f, req.GetRequestId(), req.GetPayload())
	if err := sleep(ctx, l.serviceTime(&f)+f.HoldExecute.D()); err != nil {
		return nil, contextError(err)
	}
	if f.ErrorAfterExecute {
		return nil, errInjected()
	}
	return &pb.LeafExecuteResponse{
		RequestId: req.GetRequestId(), Ticket: req.GetTicket(),
		Result: "done:" + req.GetTicket(), Load: l.load(&f),
	}, nil
}

// refuseOrder returns the refusal of an order that must not start, or nil.
func (l *Leaf) refuseOrder(req *pb.LeafExecuteRequest, from string, f *Faults) error {
	switch {
	case l.reportsDrainTo(from, f):
		return l.refuse(pb.LeafRefusalReason_LEAF_REFUSAL_REASON_DRAINING)
	case f.Shed:
		return l.refuse(pb.LeafRefusalReason_LEAF_REFUSAL_REASON_SHED)
	case req.GetService() != l.settings.Service:
		return l.refuse(pb.LeafRefusalReason_LEAF_REFUSAL_REASON_WRONG_SHARD)
	}
	return nil
}

// Status implements LeafService. It takes no slot.
func (l *Leaf) Status(ctx context.Context, _ *pb.LeafStatusRequest) (*pb.LeafStatusResponse, error) {
	f := l.Faults()
	if f.Stall {
		<-ctx.Done()
		return nil, contextError(ctx.Err())
	}
	return &pb.LeafStatusResponse{
		Leaf: l.settings.ID, Incarnation: l.incarnation(), Service: l.settings.Service,
		Draining: l.reportsDrainTo(callerIP(ctx), &f), Slots: uint32(l.settings.Slots), ConnectionLimit: uint32(l.settings.Connections),
		Snapshots: l.Snapshots(), Load: l.load(&f), Uptime: durationpb.New(l.uptime(time.Now())),
	}, nil
}

// reportsDrainTo reports whether the leaf shows itself as draining to the caller, and if so logs it.
func (l *Leaf) reportsDrainTo(ip string, f *Faults) bool {
	if !f.reportsDrainTo(ip) {
		return false
	}
	l.journal.drainNotified(ip, time.Now())
	return true
}

// callerIP returns the IP number that a call comes from, or "" if it did not come over a network.
func callerIP(ctx context.Context) string {
	info, ok := connect.CallInfoForHandlerContext(ctx)
	if !ok {
		return ""
	}
	host, _, err := net.SplitHostPort(info.Peer().Addr)
	if err != nil {
		return ""
	}
	return host
}

// load returns the load that the leaf reports: that of the fault Report, if set, else the delayed load.
func (l *Leaf) load(f *Faults) *pb.LeafLoad {
	if f.Report != nil {
		return &pb.LeafLoad{InFlight: f.Report.InFlight, Utilisation: f.Report.Utilisation}
	}
	return l.report.report(time.Now(), l.slots)
}

func (l *Leaf) crashIfMarked(f *Faults, requestID, text string) {
	if f.CrashMark != "" && strings.Contains(text, f.CrashMark) {
		l.journal.crashed(l.incarnation(), requestID, text)
		l.crash(l)
	}
}

func errInjected() error { return connect.NewError(connect.CodeInternal, errors.New("injected fault")) }
