package entry

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"go.uber.org/goleak"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/internal/rpc"
	"github.com/burdockplank/burdockplank/internal/settings"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m, goleak.Cleanup(func(int) { http.DefaultClient.CloseIdleConnections() }))
}

// raw sends bytes on a new connection and returns the connection.
func (w *testEntry) raw(t *testing.T, text string) *net.TCPConn {
	t.Helper()
	c, err := net.Dial("tcp", strings.TrimPrefix(w.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
	return c.(*net.TCPConn)
}

const incompleteBody = "POST " + searchPath + " HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\n" +
	"Authorization: Bearer " + testToken + "\r\nContent-Length: 100\r\n\r\n{\"service\":"

func TestIncompleteRequestBody(t *testing.T) {
	tests := map[string]struct {
		text    string
		hangUp  bool
		message string
	}{
		"body ends early":    {incompleteBody, true, "ended early"},
		"body never goes on": {incompleteBody, false, "did not arrive"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newTestEntry(t)
			if !test.hangUp {
				w.manager.settings.Entry.BodyTimeout = settings.Duration(10 * time.Millisecond)
			}
			c := w.raw(t, test.text)
			if test.hangUp {
				is.NoErr(c.CloseWrite())
			}
			res, err := http.ReadResponse(bufio.NewReader(c), nil)
			is.NoErr(err)
			is.Equal(res.StatusCode, http.StatusBadRequest)
			body, err := io.ReadAll(res.Body)
			is.NoErr(err)
			is.True(strings.Contains(string(body), test.message))
			is.True(strings.Contains(string(body), "REASON_INVALID_REQUEST"))
			is.Equal(int(w.gather.calls.Load()), 0)
		})
	}
}

func TestIncompleteRequestHeaderIsCounted(t *testing.T) {
	is := is.New(t)
	w := newTestEntry(t)
	c := w.raw(t, "POST "+searchPath+" HTTP/1.1\r\nHost")
	is.NoErr(c.CloseWrite())
	_, err := io.ReadAll(c) // the server closes
	is.NoErr(err)
	is.Equal(w.post(t, searchPath, goodSearch, nil).StatusCode, http.StatusOK)
	is.NoErr(w.manager.server.Shutdown(t.Context())) // every connection has ended
	is.Equal(int(testutil.ToFloat64(w.manager.metrics.incompleteRequests)), 1)
}

func TestDisconnectingCallerCancelsGatherCall(t *testing.T) {
	for name, client := range map[string]*http.Client{"HTTP/1.1": {Transport: &http.Transport{}}, "HTTP/2": rpc.NewClient("")} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			defer client.CloseIdleConnections()
			w := newTestEntry(t)
			began, cancelled := make(chan time.Duration, 1), make(chan struct{})
			w.gather.search = func(ctx context.Context, _ *pb.GatherSearchRequest) (*pb.GatherSearchResponse, error) {
				deadline, _ := ctx.Deadline()
				began <- time.Until(deadline)
				<-ctx.Done()
				close(cancelled)
				return nil, ctx.Err()
			}
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			req, err := http.NewRequestWithContext(ctx, http.MethodPost, w.url+searchPath, newReader(goodSearch))
			is.NoErr(err)
			req.Header.Set("Content-Type", "application/json")
			req.Header.Set("Authorization", "Bearer "+testToken)
			req.Header.Set(HeaderTimeout, "9000")
			go func() {
				remaining := <-began
				is.True(remaining <= 9*time.Second) // the deadline is passed to the gather
				is.True(remaining > time.Second)    // it is the caller's, not the kind's
				cancel()
			}()
			_, err = client.Do(req)
			is.True(err != nil)
			<-cancelled
		})
	}
}

func TestNewWorkIsRefusedWhileViewIsStale(t *testing.T) {
	is := is.New(t)
	w := newTestEntry(t)
	w.feed.stale.Store(true)
	res := w.post(t, searchPath, goodSearch, nil)
	is.Equal(res.StatusCode, http.StatusServiceUnavailable)
	is.Equal(res.Header.Get("Retry-After"), "1")
	is.Equal(readError(t, res).Details[0].Debug.Reason, "REASON_PAUSED")
	ready, _ := w.manager.Ready()
	is.True(!ready)
	w.feed.stale.Store(false)
	is.Equal(w.post(t, searchPath, goodSearch, nil).StatusCode, http.StatusOK)
}

// An entry joins the load balancer's rotation once every service has a ready gather. It stays in
// rotation when a gather is lost later, and answers with the outcome.
func TestReadyAfterEveryServiceHadAGather(t *testing.T) {
	is := is.New(t)
	w := newTestEntry(t)
	full := w.feed.view.Load()
	noVMs := *full
	noVMs.VMs = nil
	w.feed.view.Store(&noVMs)
	ready, _ := w.manager.Ready()
	is.True(!ready)
	w.feed.view.Store(full)
	ready, _ = w.manager.Ready()
	is.True(ready)
	w.feed.view.Store(&noVMs)
	ready, _ = w.manager.Ready()
	is.True(ready)
}

func TestPanicIsTypedAndCounted(t *testing.T) {
	is := is.New(t)
	w := newTestEntry(t)
	router := w.manager.router
	w.manager.router = nil
	for _, test := range []struct{ path, body, kind string }{
		{searchPath, goodSearch, "FAILED"},
		{orderPath, `{"service":"teachers","kind":"booking","ticket":"vm-1"}`, "UNKNOWN"}, // it may have run
	} {
		res := w.post(t, test.path, test.body, nil)
		is.Equal(res.StatusCode, http.StatusInternalServerError)
		is.Equal(readError(t, res).Details[0].Debug.Kind, "OUTCOME_KIND_"+test.kind)
	}
	is.Equal(int(testutil.ToFloat64(w.manager.metrics.panics)), 2)
	w.manager.router = router
	is.Equal(w.post(t, searchPath, goodSearch, nil).StatusCode, http.StatusOK)
}

func TestShutdownPhases(t *testing.T) {
	is := is.New(t)
	w := newTestEntry(t)
	is.Equal(w.post(t, searchPath, goodSearch, nil).Close, false)
	w.manager.drainer.setPhase(phaseLeaving)
	ready, why := w.manager.Ready()
	is.True(!ready)
	is.Equal(why, "draining")
	res := w.post(t, searchPath, goodSearch, nil)
	is.Equal(res.StatusCode, http.StatusOK) // still served
	is.True(res.Close)                      // but the next request needs a new connection
	w.manager.drainer.setPhase(phaseRefusing)
	res = w.post(t, searchPath, goodSearch, nil)
	is.True(res.Close)
	is.Equal(readError(t, res).Details[0].Debug.Reason, "REASON_DRAINING")
}

func TestDrainWaitsForRunningWork(t *testing.T) {
	is := is.New(t)
	w := newTestEntry(t)
	began, release := make(chan struct{}), make(chan struct{})
	w.gather.search = func(_ context.Context, r *pb.GatherSearchRequest) (*pb.GatherSearchResponse, error) {
		close(began)
		<-release
		return &pb.GatherSearchResponse{Identity: r.Identity, Search: &pb.SearchResponse{
			Outcome: &pb.Outcome{Kind: pb.OutcomeKind_OUTCOME_KIND_ANSWERED_WHOLE},
		}}, nil
	}
	status := make(chan int, 1)
	go func() {
		status <- w.post(t, searchPath, goodSearch, map[string]string{HeaderTimeout: "10000"}).StatusCode
	}()
	<-began
	drained := make(chan struct{})
	go func() { defer close(drained); w.manager.Drain(t.Context()) }()
	for !w.manager.drainer.refusing() {
		time.Sleep(time.Millisecond)
	}
	select {
	case <-drained:
		t.Fatal("drained with work running")
	default:
	}
	close(release)
	is.Equal(<-status, http.StatusOK)
	<-drained
	is.Equal(w.feed.states, []pb.ProcessState{pb.ProcessState_PROCESS_STATE_DRAINING, pb.ProcessState_PROCESS_STATE_GONE})
	_, err := net.Dial("tcp", strings.TrimPrefix(w.url, "http://"))
	is.True(err != nil) // the listener is closed
}
