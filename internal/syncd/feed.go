package syncd

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/types/known/durationpb"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/api/burdock/v1/burdockv1connect"
	"github.com/burdockplank/burdockplank/internal/bundle"
	"github.com/burdockplank/burdockplank/internal/content"
	"github.com/burdockplank/burdockplank/internal/wait"
)

const (
	// feedHeartbeatPeriod is the interval at which a view is sent without a change.
	feedHeartbeatPeriod = 500 * time.Millisecond
	// minFeedInterval is the minimum time between two views, so that a burst of changes results in
	// one view.
	minFeedInterval = 20 * time.Millisecond
)

// feedServer serves the feed to the processes of this VM.
type feedServer struct {
	m *Manager
	// stopping is closed when streams have to end.
	stopping <-chan struct{}
}

var _ burdockv1connect.FeedServiceHandler = (*feedServer)(nil)

// feedStream records what has been sent on one stream.
type feedStream struct {
	out *connect.ServerStream[pb.View]
	// bundleVersion and bundleDigest identify the bundle that the process holds or was sent.
	bundleVersion uint64
	bundleDigest  bundle.Digest
	// sentHere is true if that bundle was sent on this stream.
	sentHere bool
	// epoch is that of the lists sent last; sent is false before the first view.
	epoch uint64
	sent  bool
}

// Watch implements the FeedService.
func (f *feedServer) Watch(ctx context.Context, req *pb.WatchRequest, out *connect.ServerStream[pb.View]) error {
	if !isFeedRole(req.GetProcess().GetRole()) {
		return errRole(req.GetProcess().GetRole())
	}
	release := f.m.processes.streamOpened(req.GetProcess(), time.Now())
	defer func() { release(time.Now()) }()
	f.m.publishOwnState(time.Now())
	s := &feedStream{out: out, bundleVersion: req.GetBundleVersion()}
	copy(s.bundleDigest[:], req.GetBundleDigest())
	for {
		changed := f.m.changed.Changed()
		if err := f.sendIfCaughtUp(s); err != nil {
			return err
		}
		if !f.wait(ctx, changed) {
			return ctx.Err()
		}
	}
}

// sendIfCaughtUp sends a view unless the sync's state may predate a pause. A view that is sent late,
// because the sync is paused after the check, is as old for its receiver as the check is.
func (f *feedServer) sendIfCaughtUp(s *feedStream) error {
	asOf := f.m.cfg.BootTime()
	f.m.checkPause(time.Now())
	if !f.m.spread.CaughtUp() {
		return nil
	}
	return s.send(f.m, asOf)
}

// wait returns true at a change or when a heartbeat is due, and false when the stream has to end.
func (f *feedServer) wait(ctx context.Context, changed <-chan struct{}) bool {
	t := time.NewTimer(feedHeartbeatPeriod)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-f.stopping:
		return false
	case <-t.C:
		return true
	case <-changed:
	}
	return wait.For(ctx, minFeedInterval)
}

// send sends what the process does not have yet. asOf is the boot time of the check before it.
func (s *feedStream) send(m *Manager, asOf time.Duration) error {
	shared, epoch := m.views.get(time.Now())
	view := copyView(shared)
	if s.sent && s.epoch == epoch {
		view = m.views.unchanged(time.Now())
	}
	view.AsOf = durationpb.New(asOf)
	b := m.content.Offered()
	due := s.bundleDue(b)
	if due {
		view.Manifest, view.BundleText = b.Signed, b.Text
	}
	if err := s.out.Send(view); err != nil {
		return err
	}
	s.epoch, s.sent = epoch, true
	if due {
		s.bundleVersion, s.bundleDigest, s.sentHere = b.Version, b.Digest, true
	}
	return nil
}

// bundleDue reports whether the bundle has to be sent: it is higher than the one the process holds,
// or it is offered again after the one sent last proved unusable.
func (s *feedStream) bundleDue(b *content.Offer) bool {
	return b != nil && (b.HigherThan(s.bundleVersion, s.bundleDigest) || s.sentHere && b.Digest != s.bundleDigest)
}

// Report implements the FeedService.
func (f *feedServer) Report(_ context.Context, req *pb.ReportRequest) (*pb.ReportResponse, error) {
	if !isFeedRole(req.GetProcess().GetRole()) {
		return nil, errRole(req.GetProcess().GetRole())
	}
	now := time.Now()
	f.m.checkPause(now)
	f.m.processes.report(req.GetProcess(), now)
	f.m.publishOwnState(now)
	f.m.spread.MergeEvidence(req.GetDepartures(), req.GetCrashes(), now)
	return &pb.ReportResponse{}, nil
}

func errRole(r pb.ProcessRole) error {
	return connect.NewError(connect.CodeInvalidArgument, eris.Errorf("sync.feed: no feed for the role %s", r))
}
