package callerconn

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/burdockplank/burdockplank/internal/catalog"
	"github.com/burdockplank/burdockplank/internal/membudget"
)

// bodyServer is a server that reads bodies, within a budget of memory. It answers with the length of the body once reply is closed.
type bodyServer struct {
	*Manager
	address string
	memory  *membudget.Budget
	reply   chan struct{}
}

func newBodyServer(t *testing.T, memory int64) *bodyServer {
	t.Helper()
	s := &bodyServer{memory: membudget.New(memory, time.Now), reply: make(chan struct{})}
	s.Manager = New(Config{
		Limits: func() catalog.Limits { return catalog.Limits{MaxHeaderBytes: 16 << 10} }, MaxConns: func() int { return 0 }, Memory: s.memory,
		Log: zap.NewNop(), Registry: prometheus.NewRegistry(),
	})
	l, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	s.address = l.Addr().String()
	h := &http.Server{ConnState: s.ConnState, ConnContext: ConnContext, Handler: http.HandlerFunc(s.serve)}
	ended := make(chan struct{})
	go func() { _ = h.Serve(s.Listener(l)); close(ended) }()
	t.Cleanup(func() {
		_ = h.Close()
		<-ended
	})
	return s
}

func (s *bodyServer) serve(w http.ResponseWriter, r *http.Request) {
	body, err := ReadBody(w, r, 0, time.Now().Add(5*time.Second))
	switch {
	case errors.Is(err, ErrNoMemory):
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case err != nil:
		w.WriteHeader(http.StatusRequestTimeout)
		return
	}
	<-s.reply
	_, _ = fmt.Fprint(w, len(body))
}

func (s *bodyServer) connect(t *testing.T) *caller { return (&server{address: s.address}).connect(t) }

// holds waits until the requests hold between low and high bytes.
func (s *bodyServer) holds(t *testing.T, low, high int64) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		if used := s.memory.Usage().Used; used >= low && used <= high {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("%+v, want %d to %d used", s.memory.Usage(), low, high)
		}
	}
}

const largeBody = 100 << 10

func post(length int, body string) string {
	return fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", length, body)
}

// A head was held up to 1 MB, whatever the configuration allows. One that is longer than that is refused while it arrives.
func TestHeadsAreBoundByTheConfiguration(t *testing.T) {
	is := is.New(t)
	s := newBodyServer(t, 1<<20)
	c := s.connect(t)
	_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\nX: "+strings.Repeat("x", 20<<10))
	is.NoErr(err)
	status, kept, err := c.answer()
	is.NoErr(err)
	is.Equal(status, http.StatusRequestHeaderFieldsTooLarge)
	is.True(!kept)
	s.holds(t, 0, 0)
}

// Headers without text take far more memory than their bytes. They are refused when there is none left.
func TestHeadsOfManyHeadersTakeMemory(t *testing.T) {
	is := is.New(t)
	s := newBodyServer(t, 1<<20)
	other := s.memory.Hold(func() {})
	is.True(other.Grow(1<<20 - 100<<10))
	is.True(other.Work())
	c := s.connect(t)
	_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n"+strings.Repeat("a: b\r\n", 2000))
	is.NoErr(err)
	status, _, err := c.answer()
	is.NoErr(err)
	is.Equal(status, http.StatusServiceUnavailable)
	s.holds(t, 1<<20-100<<10, 1<<20-100<<10)
}

// A request holds the memory of its body until it is answered, on a connection that is kept too, and gives it back then.
func TestBodiesHoldMemoryUntilTheyAreAnswered(t *testing.T) {
	is := is.New(t)
	s := newBodyServer(t, 1<<20)
	c := s.connect(t)
	_, err := io.WriteString(c, post(largeBody, strings.Repeat("b", largeBody)))
	is.NoErr(err)
	s.holds(t, largeBody, 4*largeBody)
	close(s.reply)
	status, kept, err := c.answer()
	is.NoErr(err)
	is.Equal(status, http.StatusOK)
	is.True(kept)
	s.holds(t, 0, 0)
}

// Bodies that stop short hold the memory that others need. They make way for a body that goes on.
func TestStalledBodiesMakeWay(t *testing.T) {
	is := is.New(t)
	s := newBodyServer(t, 10*largeBody)
	close(s.reply)
	var stalled []*caller
	for range 3 {
		c := s.connect(t)
		_, err := io.WriteString(c, post(largeBody, strings.Repeat("b", largeBody-1)))
		is.NoErr(err)
		stalled = append(stalled, c)
	}
	s.holds(t, 8*largeBody, 10*largeBody)
	time.Sleep(time.Second)
	c := s.connect(t)
	_, err := io.WriteString(c, post(largeBody, strings.Repeat("b", largeBody)))
	is.NoErr(err)
	status, _, err := c.answer()
	is.NoErr(err)
	is.Equal(status, http.StatusOK)
	refused := 0
	for _, c := range stalled {
		is.NoErr(c.SetReadDeadline(time.Now().Add(10 * time.Second)))
		status, kept, err := c.answer()
		is.NoErr(err)
		is.True(!kept)
		if status == http.StatusServiceUnavailable {
			refused++
		}
	}
	is.True(refused > 0)
	s.holds(t, 0, 0)
}

// A caller that leaves in the middle of its body leaves no memory behind.
func TestMemoryOfCallersThatLeaveIsGivenBack(t *testing.T) {
	is := is.New(t)
	s := newBodyServer(t, 1<<20)
	c := s.connect(t)
	_, err := io.WriteString(c, post(largeBody, strings.Repeat("b", largeBody/2)))
	is.NoErr(err)
	s.holds(t, largeBody, 4*largeBody)
	is.NoErr(c.Close())
	s.holds(t, 0, 0)
}
