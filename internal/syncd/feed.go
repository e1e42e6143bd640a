package syncd

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/api/burdock/v1/burdockv1connect"
	"github.com/burdockplank/burdockplank/internal/bundle"
	"github.com/burdockplank/burdockplank/internal/content"
	"github.com/burdockplank/burdockplank/internal/wait"
)

const (
	// feedHeartbeat is how often a view is sent without a change.
	feedHeartbeat = 500 * time.Millisecond
	// feedGap is the least time between two views, so that a burst of changes is one view.
	feedGap = 20 * time.Millisecond
)

// feedServer serves the processes of this VM.
type feedServer struct {
	m *Manager
	// stopping is closed when streams have to end.
	stopping <-chan struct{}
}

var _ burdockv1connect.FeedServiceHandler = (*feedServer)(nil)

// feedStream is what was sent on one stream.
type feedStream struct {
	out *connect.ServerStream[pb.View]
	// bundle held by the process, or sent to it, by version and digest.
	bundleVersion uint64
	bundleDigest  bundle.Digest
	// brought is true where it was sent on this stream.
	brought bool
	// epoch of the lists that were sent; sent is false before the first view.
	epoch uint64
	sent  bool
}

// Watch implements the FeedService.
func (f *feedServer) Watch(ctx context.Context, req *pb.WatchRequest, out *connect.ServerStream[pb.View]) error {
	if !feedRole(req.GetProcess().GetRole()) {
		return errRole(req.GetProcess().GetRole())
	}
	release := f.m.processes.connected(req.GetProcess(), time.Now())
	defer func() { release(time.Now()) }()
	f.m.publishOwn(time.Now())
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

// sendIfCaughtUp sends a view, unless what is known may be from before a pause.
func (f *feedServer) sendIfCaughtUp(s *feedStream) error {
	f.m.checkPause(time.Now())
	if !f.m.spread.CaughtUp() {
		return nil
	}
	return s.send(f.m)
}

// wait returns at a change or when a heartbeat is due; false where the stream has to end.
func (f *feedServer) wait(ctx context.Context, changed <-chan struct{}) bool {
	t := time.NewTimer(feedHeartbeat)
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
	return wait.For(ctx, feedGap)
}

// send sends what the process doesn't have yet.
func (s *feedStream) send(m *Manager) error {
	view, epoch := m.views.get(time.Now())
	if s.sent && s.epoch == epoch {
		view = m.views.unchanged(time.Now())
	}
	b := m.content.Offered()
	due := s.due(b)
	if due {
		view = withBundle(view, b.Signed, b.Text)
	}
	if err := s.out.Send(view); err != nil {
		return err
	}
	s.epoch, s.sent = epoch, true
	if due {
		s.bundleVersion, s.bundleDigest, s.brought = b.Version, b.Digest, true
	}
	return nil
}

// due tells whether the process gets the bundle: a higher one, or the one that is offered again after that sent
// last was found not to work.
func (s *feedStream) due(b *content.Offer) bool {
	return b != nil && (b.HigherThan(s.bundleVersion, s.bundleDigest) || s.brought && b.Digest != s.bundleDigest)
}

// Report implements the FeedService.
func (f *feedServer) Report(_ context.Context, req *pb.ReportRequest) (*pb.ReportResponse, error) {
	if !feedRole(req.GetProcess().GetRole()) {
		return nil, errRole(req.GetProcess().GetRole())
	}
	now := time.Now()
	f.m.checkPause(now)
	f.m.processes.report(req.GetProcess(), now)
	f.m.publishOwn(now)
	f.m.spread.TakeEvidence(req.GetDepartures(), req.GetCrashes(), now)
	return &pb.ReportResponse{}, nil
}

func errRole(r pb.ProcessRole) error {
	return connect.NewError(connect.CodeInvalidArgument, eris.Errorf("sync.feed: no feed for the role %s", r))
}
