package callerconn

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"go.uber.org/zap"

	"github.com/burdockplank/burdockplank/internal/catalog"
)

// server is an http.Server whose connections a manager tracks.
type server struct {
	*Manager
	address string
	// limits are those of the configuration, maxConns is the most connections.
	limits   atomic.Pointer[catalog.Limits]
	maxConns atomic.Int64
}

func newServer(t *testing.T, limits catalog.Limits, maxConns int64) *server {
	t.Helper()
	s := &server{}
	s.limits.Store(&limits)
	s.maxConns.Store(maxConns)
	s.Manager = New(Config{
		Limits: func() catalog.Limits { return *s.limits.Load() }, MaxConns: func() int { return int(s.maxConns.Load()) },
		Log: zap.NewNop(), Registry: prometheus.NewRegistry(),
	})
	l, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	s.address = l.Addr().String()
	h := &http.Server{ConnState: s.ConnState, ConnContext: ConnContext, Handler: http.HandlerFunc(s.serve)}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{}, 2)
	go func() { _ = h.Serve(s.Listener(l)); ended <- struct{}{} }()
	go func() { _ = s.Run(ctx); ended <- struct{}{} }()
	t.Cleanup(func() {
		cancel()
		_ = h.Close()
		<-ended
		<-ended
	})
	return s
}

// serve answers with 503 where the connection is above the limit, and else with the length of the body, which it reads to
// its end.
func (s *server) serve(w http.ResponseWriter, r *http.Request) {
	if Refused(r.Context()) {
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if s.NearLimit() {
		w.Header().Set("Connection", "close")
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
}

// caller is a connection on which requests are sent.
type caller struct {
	net.Conn
	r *bufio.Reader
}

func (s *server) connect(t *testing.T) *caller {
	t.Helper()
	c, err := net.Dial("tcp", s.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return &caller{c, bufio.NewReader(c)}
}

// request sends a request and reads its answer. kept reports whether the answer kept the connection.
func (c *caller) request() (status int, kept bool, err error) {
	if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		return 0, false, err
	}
	return c.answer()
}

// answer reads an answer.
func (c *caller) answer() (status int, kept bool, err error) {
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		return 0, false, err
	}
	return resp.StatusCode, !resp.Close, resp.Body.Close()
}

// mustAnswer sends a request, which must be served.
func (c *caller) mustAnswer(t *testing.T) (kept bool) {
	t.Helper()
	status, kept, err := c.request()
	if err != nil || status != http.StatusOK {
		t.Fatalf("status %d, error %v", status, err)
	}
	return kept
}

// closedWithin reports whether the server closes the connection within d.
func (c *caller) closedWithin(d time.Duration) bool {
	_ = c.SetReadDeadline(time.Now().Add(d))
	_, err := c.r.ReadByte()
	_ = c.SetReadDeadline(time.Time{})
	return err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
}

// Idle connections were kept for 75 s whatever the configuration said, so that they used up the descriptors of a process.
func TestIdleConnectionsEndAtTheConfiguredTimeout(t *testing.T) {
	is := is.New(t)
	const timeout = time.Second
	s := newServer(t, catalog.Limits{IdleTimeout: timeout}, 0)
	left, used := s.connect(t), s.connect(t)
	left.mustAnswer(t)
	begun := time.Now()
	for time.Since(begun) < 2*timeout {
		used.mustAnswer(t) // callers may use a connection again for as long
		time.Sleep(timeout * 4 / 5)
	}
	used.mustAnswer(t)
	is.True(left.closedWithin(10 * time.Millisecond))
	is.True(!used.closedWithin(timeout / 2))
	is.True(used.closedWithin(timeout))
}

// An idle timeout that changes counts for connections that are idle already, but a request that is in time by the limit of before
// or by the new one finds its connection open.
func TestIdleTimeoutThatChanges(t *testing.T) {
	const short, long = 1500 * time.Millisecond, 3 * time.Second
	for name, tt := range map[string]struct {
		from, to, openFor time.Duration
	}{
		"longer":  {short, long, long},
		"shorter": {long, short, long},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := newServer(t, catalog.Limits{IdleTimeout: tt.from}, 0)
			c := s.connect(t)
			c.mustAnswer(t)
			s.limits.Store(&catalog.Limits{IdleTimeout: tt.to})
			is.True(!c.closedWithin(tt.openFor * 9 / 10))
			is.True(c.closedWithin(tt.openFor * 2 / 10))
			time.Sleep(tt.from) // the limit of before is over
			c = s.connect(t)
			c.mustAnswer(t)
			is.True(!c.closedWithin(tt.to * 9 / 10))
			is.True(c.closedWithin(tt.to * 2 / 10))
		})
	}
}

// A caller that takes longer for the head of a request than the configuration allows would hold a descriptor for as long as it
// likes. The time doesn't count for the body, nor for the pause before the request.
func TestHeadsEndAtTheConfiguredTimeout(t *testing.T) {
	is := is.New(t)
	const timeout = 600 * time.Millisecond
	s := newServer(t, catalog.Limits{HeaderTimeout: timeout, IdleTimeout: 10 * time.Second}, 0)
	for _, used := range []bool{false, true} {
		slow, whole := s.connect(t), s.connect(t)
		if used {
			slow.mustAnswer(t)
			whole.mustAnswer(t)
		}
		time.Sleep(2 * timeout)
		_, err := io.WriteString(slow, "GET / HTTP/1.1\r\n")
		is.NoErr(err)
		_, err = io.WriteString(whole, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\na")
		is.NoErr(err)
		is.True(!slow.closedWithin(timeout * 3 / 4))
		is.True(slow.closedWithin(timeout))
		_, err = io.WriteString(whole, "b")
		is.NoErr(err)
		status, kept, err := whole.answer()
		is.NoErr(err)
		is.True(kept)
		is.Equal(status, http.StatusOK)
	}
}

// Callers that leave more connections idle than there may be must be answered, and none of those that are kept may be cut
// off while its caller may use it again.
func TestNoIdleConnectionIsCutNearTheLimit(t *testing.T) {
	is := is.New(t)
	const most, all, minKept = 40, 200, 30
	s := newServer(t, catalog.Limits{IdleTimeout: 10 * time.Second}, most)
	var kept []*caller
	for range all {
		c := s.connect(t)
		if c.mustAnswer(t) {
			kept = append(kept, c)
		}
		is.True(s.Open() <= most)
	}
	is.True(len(kept) >= minKept)
	for _, c := range kept {
		c.mustAnswer(t)
	}
}

// Connections on which nothing ever came kept the room for others until the idle timeout. Near the limit they are closed once the head
// of their request is due; one that has been used is kept.
func TestSilentConnectionsMakeWayNearTheLimit(t *testing.T) {
	is := is.New(t)
	const most = 20
	s := newServer(t, catalog.Limits{IdleTimeout: time.Minute, HeaderTimeout: time.Second}, most)
	used := s.connect(t)
	used.mustAnswer(t)
	var silent []*caller
	for range most - 1 {
		silent = append(silent, s.connect(t))
	}
	for _, c := range silent {
		is.True(c.closedWithin(5 * time.Second))
	}
	s.connect(t).mustAnswer(t)
	used.mustAnswer(t)
}

// Connections that callers open within a moment, more than there may be, are refused once their request is read or, far
// above it, closed at once, so that the process keeps descriptors for its own work. Those below the limit are served.
func TestConnectionsAboveTheLimitAreRefused(t *testing.T) {
	is := is.New(t)
	const most, refused, more = 32, 2, 20
	s := newServer(t, catalog.Limits{IdleTimeout: time.Minute, HeaderTimeout: time.Minute}, most)
	var callers []*caller
	for range most + refused {
		callers = append(callers, s.connect(t))
		callers[len(callers)-1].awaitTracked(t, s)
	}
	for range more {
		is.True(s.connect(t).closedWithin(time.Second))
	}
	is.Equal(s.Open(), most+refused)
	for _, c := range callers[most:] {
		status, kept, err := c.request()
		is.NoErr(err)
		is.Equal(status, http.StatusServiceUnavailable)
		is.True(!kept)
	}
	for _, c := range callers[:most] {
		c.mustAnswer(t)
	}
	is.Equal(testutil.ToFloat64(s.rejected.WithLabelValues(rejectedAnswered)), float64(refused))
	is.Equal(testutil.ToFloat64(s.rejected.WithLabelValues(rejectedClosed)), float64(more))
	s.connect(t).mustAnswer(t) // there are fewer again
}

// awaitTracked waits until the server has accepted the connection.
func (c *caller) awaitTracked(t *testing.T, s *server) {
	t.Helper()
	for end := time.Now().Add(time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		s.mu.Lock()
		for k := range s.conns {
			if k.RemoteAddr().String() == c.LocalAddr().String() {
				s.mu.Unlock()
				return
			}
		}
		s.mu.Unlock()
	}
	t.Fatal("not accepted")
}

// A limit that goes back and forth must not fall below what callers may still go by.
func TestTimeLimit(t *testing.T) {
	is := is.New(t)
	var l timeLimit
	now := time.Now()
	l.set(0, now)
	is.Equal(l.inUse(now), time.Duration(0)) // no configuration yet
	l.set(15*time.Second, now)
	is.Equal(l.inUse(now), 15*time.Second)
	l.set(5*time.Second, now)
	is.Equal(l.inUse(now.Add(14*time.Second)), 15*time.Second)
	is.Equal(l.inUse(now.Add(15*time.Second)), 5*time.Second)
	l.set(8*time.Second, now.Add(10*time.Second))
	is.Equal(l.inUse(now.Add(24*time.Second)), 15*time.Second)
	is.Equal(l.inUse(now.Add(25*time.Second)), 8*time.Second)
	l.set(20*time.Second, now.Add(30*time.Second))
	is.Equal(l.inUse(now.Add(30*time.Second)), 20*time.Second)
}
