package upstream

import (
	"context"
	"errors"
	"net"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
)

// waitForConnections waits until the pool has opened its connections.
func waitForConnections() {
	time.Sleep(100 * time.Millisecond)
	synctest.Wait()
}

func search(ctx context.Context, p *Pool) (*pb.LeafSearchResponse, error) {
	return p.Search(ctx, testLeaf, &pb.LeafSearchRequest{RequestId: "r1"})
}

func asCallError(err error) *CallError {
	var e *CallError
	if errors.As(err, &e) {
		return e
	}
	return &CallError{Err: errors.New("no call error")}
}

func TestPoolOpensConnectionsBeforeFirstCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFakeLeaf(t)
		p, _ := startPool(t, f.dial)
		waitForConnections()
		is.Equal(f.open(), 2) // the planned number, before any call
		s, ok := p.State(testLeaf)
		is.True(ok)
		is.Equal(s, State{Leaf: testLeaf, Incarnation: 1, Connected: true, Snapshots: []uint64{7}, Slots: 3})
		res, err := search(t.Context(), p)
		is.NoErr(err)
		is.Equal(res.GetRequestId(), "r1")
	})
}

// A pool is initialized after it tried to connect to each leaf, whether or not that succeeded, and
// not before a bundle arrived.
func TestInitializedAfterEachLeafWasAttempted(t *testing.T) {
	for name, err := range map[string]error{"connected": nil, "refused": syscall.ECONNREFUSED} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFakeLeaf(t)
				proceed := make(chan struct{})
				p, _ := startPool(t, func(ctx context.Context, address string) (net.Conn, error) {
					<-proceed
					if err != nil {
						return nil, err
					}
					return f.dial(ctx, address)
				})
				waitForConnections()
				is.True(!p.isInitialized())
				close(proceed)
				waitForConnections()
				is.True(p.isInitialized())
			})
		})
	}
}

func TestSilentConnectionIsReplacedWithinASecond(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFakeLeaf(t)
		p, fd := startPool(t, f.dial)
		waitForConnections()
		f.silenceAll()
		start := time.Now()
		_, err := search(t.Context(), p)
		e := asCallError(err)
		is.True(e.ConnectionSilent)
		is.True(e.Wrote)
		is.True(!e.ConnectionLost) // silence is no evidence about the leaf
		is.True(time.Since(start) < time.Second)
		for time.Since(start) < time.Second { // both old ones are out of use within the second
			if _, err = search(t.Context(), p); err == nil {
				break
			}
		}
		is.NoErr(err)
		is.True(time.Since(start) < time.Second)
		waitForConnections()
		s, _ := p.State(testLeaf)
		is.True(!s.Leaving)
		is.Equal(len(fd.reported()), 0)
	})
}

func TestSilentIdleConnectionIsDetectedBeforeACall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFakeLeaf(t)
		p, _ := startPool(t, f.dial)
		waitForConnections()
		f.silenceAll()
		time.Sleep(2 * time.Second)
		_, err := search(t.Context(), p)
		is.NoErr(err)
	})
}

func TestSlowCallIsNotMistakenForSilentConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFakeLeaf(t)
		p, _ := startPool(t, f.dial)
		waitForConnections()
		f.setAnswer(func(context.Context) error { time.Sleep(5 * time.Second); return nil })
		_, err := search(t.Context(), p)
		is.NoErr(err)
	})
}

func TestOrderIsNotWrittenToSilentConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFakeLeaf(t)
		p, _ := startPool(t, f.dial)
		waitForConnections()
		f.silenceAll()
		_, err := p.Execute(t.Context(), testLeaf, &pb.LeafExecuteRequest{Ticket: "t1"})
		if err != nil { // no usable connection remained: certainly not run
			is.True(!asCallError(err).Wrote)
			is.Equal(f.executions.Load(), int64(0))
		}
		waitForConnections()
		_, err = p.Execute(t.Context(), testLeaf, &pb.LeafExecuteRequest{Ticket: "t2"})
		is.NoErr(err)
	})
}

// An order cannot be resent: closing its silent connection would leave its outcome unknown for
// good, even if the leaf was only paused.
func TestOrderSurvivesPauseOfItsLeaf(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFakeLeaf(t)
		p, _ := startPool(t, f.dial)
		waitForConnections()
		f.setAnswer(func(context.Context) error { time.Sleep(100 * time.Millisecond); return nil })
		order := make(chan error, 2)
		for range cap(order) { // one on each connection
			go func() {
				_, err := p.Execute(t.Context(), testLeaf, &pb.LeafExecuteRequest{Ticket: "t"})
				order <- err
			}()
			synctest.Wait()
		}
		time.Sleep(20 * time.Millisecond)
		resume := f.pauseAll()
		start := time.Now()
		_, err := search(t.Context(), p)
		is.True(asCallError(err).ConnectionSilent) // the search ends, so that it can be resent elsewhere
		is.True(time.Since(start) < time.Second)
		time.Sleep(time.Second)
		f.setAnswer(func(context.Context) error { return nil })
		_, err = search(t.Context(), p) // uses a new connection beside the silent ones
		is.NoErr(err)
		resume()
		for range cap(order) {
			is.NoErr(<-order)
		}
		waitForConnections()
		is.Equal(f.executions.Load(), int64(2))
		is.Equal(f.open(), 2) // the silent ones are closed once their orders have ended
	})
}

func TestOrderIsNotSentAfterItsDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFakeLeaf(t)
		p, _ := startPool(t, f.dial)
		waitForConnections()
		remaining := make(chan time.Duration, 1)
		f.setAnswer(func(ctx context.Context) error {
			deadline, _ := ctx.Deadline()
			remaining <- time.Until(deadline)
			time.Sleep(2 * time.Second)
			return nil
		})
		ctx := WithWorkDeadline(t.Context(), time.Now().Add(time.Second))
		_, err := p.Execute(ctx, testLeaf, &pb.LeafExecuteRequest{Ticket: "t"})
		is.NoErr(err) // a late answer is accepted
		is.Equal((<-remaining).Round(10*time.Millisecond), time.Second)
		_, err = p.Execute(ctx, testLeaf, &pb.LeafExecuteRequest{Ticket: "u"})
		is.True(asCallError(err).NotStarted())
		is.Equal(f.executions.Load(), int64(1))
	})
}

func TestConnectionLostNamesTheIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFakeLeaf(t)
		p, _ := startPool(t, f.dial)
		waitForConnections()
		f.setAnswer(func(context.Context) error { f.crash(); return nil })
		e := asCallError(errorOf(p.Execute(t.Context(), testLeaf, &pb.LeafExecuteRequest{Ticket: "t1"})))
		is.True(e.ConnectionLost)
		is.True(e.Wrote)
		is.Equal(e.Incarnation, uint64(1))
		is.True(!e.NotStarted())
		f.setAnswer(func(context.Context) error { return nil })
		f.start(t, 2)
		f.refuse.Store(false)
		time.Sleep(3 * time.Second)
		s, _ := p.State(testLeaf)
		is.Equal(s.Incarnation, uint64(2))
		is.True(!s.Leaving) // the refused connections belonged to the old incarnation
	})
}

// A leaf whose connections break while it keeps running counts as survived as soon as a connection
// is open again. A leaf that returns as another incarnation is not the one that was lost.
func TestSurvivedIsSetAfterBrokenConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFakeLeaf(t)
		p, _ := startPool(t, f.dial)
		waitForConnections()
		s, _ := p.State(testLeaf)
		is.True(!s.Survived)
		f.refuse.Store(true) // prevents a connection from opening at the instant of the break
		f.breakAll()
		synctest.Wait()
		s, _ = p.State(testLeaf)
		is.True(!s.Survived)
		f.refuse.Store(false)
		time.Sleep(time.Second)
		synctest.Wait()
		s, _ = p.State(testLeaf)
		is.True(s.Survived)
		is.Equal(s.Incarnation, uint64(1))
	})
}

// A leaf may have returned and ended again between two attempts to connect to it.
func TestTimeWithoutKnowledgeOfALeaf(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFakeLeaf(t)
		p, _ := startPool(t, f.dial)
		waitForConnections()
		s, _ := p.State(testLeaf)
		is.Equal(s.UnseenFor, time.Duration(0))
		f.refuse.Store(true)
		f.breakAll()
		time.Sleep(3 * time.Second)
		f.refuse.Store(false)
		time.Sleep(2 * maxBackoff)
		synctest.Wait()
		s, _ = p.State(testLeaf)
		is.True(s.Connected)
		is.True(s.UnseenFor > minBackoff && s.UnseenFor <= 5*maxBackoff/4) // the last pause between two attempts
	})
}

func errorOf[T any](_ T, err error) error { return err }

func TestDeadlineAndCancelReachTheLeaf(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFakeLeaf(t)
		p, _ := startPool(t, f.dial)
		waitForConnections()
		ended := make(chan error, 1)
		f.setAnswer(func(ctx context.Context) error {
			deadline, ok := ctx.Deadline()
			is.True(ok)
			is.True(time.Until(deadline) <= 50*time.Millisecond)
			<-ctx.Done()
			ended <- ctx.Err()
			return ctx.Err()
		})
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		e := asCallError(errorOf(search(ctx, p)))
		is.True(errors.Is(e.Err, context.DeadlineExceeded))
		is.True(e.Wrote)
		<-ended
	})
}

func TestDepartureEvidenceStopsNewWorkAtOnce(t *testing.T) {
	for _, tt := range []struct {
		name   string
		cause  func(p *Pool, f *fakeLeaf)
		source pb.DepartureSource
	}{
		{"refusal", func(p *Pool, f *fakeLeaf) {
			f.draining.Store(true)
			_, _ = search(p.ctx, p)
			f.draining.Store(false) // a status that contradicts the refusal does not count
		}, pb.DepartureSource_DEPARTURE_SOURCE_REFUSAL},
		{"goaway", func(_ *Pool, f *fakeLeaf) {
			go func() { _ = f.srv.Shutdown(context.Background()) }()
			synctest.Wait()
			f.refuse.Store(true)
		}, pb.DepartureSource_DEPARTURE_SOURCE_GOAWAY},
		{"status", func(_ *Pool, f *fakeLeaf) {
			f.draining.Store(true)
			time.Sleep(pollInterval * 2)
			f.draining.Store(false)
		}, pb.DepartureSource_DEPARTURE_SOURCE_STATUS},
		{"refused connection", func(_ *Pool, f *fakeLeaf) {
			f.crash()
			time.Sleep(2*minBackoff + maintainInterval) // the first backoff with jitter, and one maintenance pass
		}, pb.DepartureSource_DEPARTURE_SOURCE_CONNECT},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFakeLeaf(t)
				p, fd := startPool(t, f.dial)
				waitForConnections()
				tt.cause(p, f)
				e := asCallError(errorOf(search(t.Context(), p)))
				is.True(errors.Is(e.Err, errLeaving))
				is.True(!e.Wrote)
				is.True(len(fd.reported()) > 0)
				d := fd.reported()[0]
				is.Equal(d.GetSource(), tt.source)
				is.Equal(d.GetVm(), "vm-1")
				if tt.source != pb.DepartureSource_DEPARTURE_SOURCE_CONNECT {
					is.Equal(d.GetIncarnation(), uint64(1))
				}
				time.Sleep(10 * time.Second)
				s, _ := p.State(testLeaf)
				is.True(s.Leaving) // it stays leaving, whatever the leaf reports later
				_ = f.srv.Close()
				f.start(t, 2)
				f.refuse.Store(false)
				time.Sleep(5 * time.Second)
				_, err := search(t.Context(), p)
				is.NoErr(err) // only another incarnation clears the evidence
			})
		})
	}
}

func TestDepartureEvidenceOfOtherVMsIsApplied(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFakeLeaf(t)
		p, fd := startPool(t, f.dial)
		waitForConnections()
		v := testView()
		v.Upstreams = []*pb.Upstream{{Id: testLeaf, Leaving: false}} // the list is outdated
		v.Departures = []*pb.Departure{{Leaf: testLeaf, Incarnation: 1, Source: pb.DepartureSource_DEPARTURE_SOURCE_REFUSAL, Vm: "vm-2"}}
		fd.publish(v)
		synctest.Wait()
		is.True(errors.Is(errorOf(search(t.Context(), p)), errLeaving))
		fd.publish(testView()) // evidence that is no longer in the view still holds
		time.Sleep(time.Minute)
		is.True(errors.Is(errorOf(search(t.Context(), p)), errLeaving))
		is.Equal(len(fd.reported()), 0)
	})
}

func TestRefusedConnectionOfAnotherVMIsVerified(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFakeLeaf(t)
		p, fd := startPool(t, f.dial)
		waitForConnections()
		v := testView()
		v.Departures = []*pb.Departure{{Leaf: testLeaf, Source: pb.DepartureSource_DEPARTURE_SOURCE_CONNECT, Vm: "vm-2"}}
		fd.publish(v)
		synctest.Wait()
		is.True(errors.Is(errorOf(search(t.Context(), p)), errLeaving))
		time.Sleep(500 * time.Millisecond)
		_, err := search(t.Context(), p)
		is.NoErr(err) // a connection opened since shows that the leaf accepts calls
		is.True(f.maxOpen <= 2)
	})
}

func TestViewChangeDoesNotInterruptCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFakeLeaf(t)
		p, fd := startPool(t, f.dial)
		waitForConnections()
		f.setAnswer(func(context.Context) error { time.Sleep(3 * time.Second); return nil })
		done := make(chan error)
		go func() { done <- errorOf(search(t.Context(), p)) }()
		synctest.Wait()
		v := testView()
		v.Bundle.Services["teachers"].Leaves = nil
		fd.publish(v)
		synctest.Wait()
		is.Equal(f.open(), 1) // only the connection with the call remains
		is.True(errors.Is(errorOf(search(t.Context(), p)), errUnknownLeaf))
		is.NoErr(<-done)
		synctest.Wait()
		is.Equal(f.open(), 0)
		is.Equal(len(p.all()), 0)
	})
}

func TestConnectionCountStaysWithinPlanUnderFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFakeLeaf(t)
		p, _ := startPool(t, f.dial)
		waitForConnections()
		for range 20 { // a silent connection must be out of use within one second
			f.silenceAll()
			ctx, cancel := context.WithTimeout(t.Context(), 30*time.Millisecond)
			_, _ = search(ctx, p)
			cancel()
			time.Sleep(time.Second)
		}
		waitForConnections()
		is.Equal(f.open(), 2)
		is.True(f.maxOpen <= 2) // the old one is closed before the new one is opened
	})
}
