package feed

import (
	"context"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"

	"github.com/burdockplank/burdockplank/internal/wait"
)

const (
	// reportPeriod is the interval at which the process's state is reported if nothing else is
	// queued.
	reportPeriod = time.Second
	// reportTimeout bounds one report.
	reportTimeout = time.Second
	// reportRetryDelay is the delay after a failed report.
	reportRetryDelay = 100 * time.Millisecond
	// finalReportTimeout bounds the report at the end of the process.
	finalReportTimeout = 300 * time.Millisecond
	// maxQueued bounds the departures, and likewise the crashes, queued for a sync that cannot be
	// reached.
	maxQueued = 1024
)

// ReportDeparture implements Reporter.
func (m *Manager) ReportDeparture(d *pb.Departure) {
	d = proto.Clone(d).(*pb.Departure)
	d.Vm = m.cfg.VM
	if !m.reports.addDeparture(d, time.Now()) {
		m.metrics.dropped.Inc()
	}
}

// ReportCrash implements Reporter.
func (m *Manager) ReportCrash(c *pb.Crash) {
	if !m.reports.addCrash(proto.Clone(c).(*pb.Crash), time.Now()) {
		m.metrics.dropped.Inc()
	}
}

// SetState implements Reporter.
func (m *Manager) SetState(s pb.ProcessState) { m.reports.setState(s) }

// runReports sends queued reports, at once when something new is queued.
func (m *Manager) runReports(ctx context.Context) {
	t := time.NewTicker(reportPeriod)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			m.finalReport(ctx)
			return
		case <-t.C:
		case <-m.reports.woken:
		}
		if err := m.report(ctx, reportTimeout); err != nil && wait.For(ctx, reportRetryDelay) {
			m.reports.wake()
		}
	}
}

// finalReport sends what the process queued just before its end.
func (m *Manager) finalReport(ctx context.Context) {
	_ = m.report(context.WithoutCancel(ctx), finalReportTimeout)
}

// report sends the queue and puts it back if that fails.
func (m *Manager) report(ctx context.Context, timeout time.Duration) error {
	departures, crashes := m.reports.take()
	now := time.Now()
	req := &pb.ReportRequest{Process: m.process()}
	for _, d := range departures {
		req.Departures = append(req.Departures, d.withAge(now))
	}
	for _, c := range crashes {
		req.Crashes = append(req.Crashes, c.withAge(now))
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	_, err := m.service.Report(ctx, req)
	if err != nil {
		m.metrics.reports.WithLabelValues("failed").Inc()
		m.reports.requeue(departures, crashes)
		return err
	}
	m.metrics.reports.WithLabelValues("sent").Inc()
	return nil
}

// queuedDeparture is a departure and the time to which its age refers.
type queuedDeparture struct {
	departure *pb.Departure
	at        time.Time
}

func (q queuedDeparture) withAge(now time.Time) *pb.Departure {
	d := proto.Clone(q.departure).(*pb.Departure)
	d.Age = durationpb.New(q.departure.GetAge().AsDuration() + now.Sub(q.at))
	return d
}

// queuedCrash is a crash and the time to which its age refers.
type queuedCrash struct {
	crash *pb.Crash
	at    time.Time
}

func (q queuedCrash) withAge(now time.Time) *pb.Crash {
	c := proto.Clone(q.crash).(*pb.Crash)
	c.Age = durationpb.New(q.crash.GetAge().AsDuration() + now.Sub(q.at))
	return c
}

// departureKey identifies departures of which only the newest is kept.
type departureKey struct {
	leaf        string
	incarnation uint64
	source      pb.DepartureSource
}

// crashKey identifies one crash of one request.
type crashKey struct {
	digest      uint64
	leaf        string
	incarnation uint64
}

// reportQueue holds the reports that the sync has not accepted yet.
type reportQueue struct {
	// woken holds a value while a report is due at once.
	woken chan struct{}

	mu sync.Mutex
	// state, departures and crashes are guarded by mu.
	state      pb.ProcessState
	departures map[departureKey]queuedDeparture
	crashes    map[crashKey]queuedCrash
}

func newReportQueue() *reportQueue {
	return &reportQueue{
		woken:      make(chan struct{}, 1),
		state:      pb.ProcessState_PROCESS_STATE_STARTING,
		departures: make(map[departureKey]queuedDeparture),
		crashes:    make(map[crashKey]queuedCrash),
	}
}

// wake makes a report due at once.
func (q *reportQueue) wake() {
	select {
	case q.woken <- struct{}{}:
	default:
	}
}

func (q *reportQueue) currentState() pb.ProcessState {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.state
}

func (q *reportQueue) setState(s pb.ProcessState) {
	q.mu.Lock()
	changed := q.state != s
	q.state = s
	q.mu.Unlock()
	if changed {
		q.wake()
	}
}

// addDeparture queues d. It returns false if the queue is full.
func (q *reportQueue) addDeparture(d *pb.Departure, now time.Time) bool {
	key := departureKey{d.GetLeaf(), d.GetIncarnation(), d.GetSource()}
	q.mu.Lock()
	_, held := q.departures[key]
	full := !held && len(q.departures) >= maxQueued
	if !full {
		q.departures[key] = queuedDeparture{d, now}
	}
	q.mu.Unlock()
	q.wake()
	return !full
}

// addCrash queues c. It returns false if the queue is full.
func (q *reportQueue) addCrash(c *pb.Crash, now time.Time) bool {
	key := crashKey{c.GetRequestDigest(), c.GetLeaf(), c.GetIncarnation()}
	q.mu.Lock()
	_, held := q.crashes[key]
	full := !held && len(q.crashes) >= maxQueued
	if !full {
		q.crashes[key] = queuedCrash{c, now}
	}
	q.mu.Unlock()
	q.wake()
	return !full
}

// take empties the queue and returns its contents.
func (q *reportQueue) take() (map[departureKey]queuedDeparture, map[crashKey]queuedCrash) {
	q.mu.Lock()
	defer q.mu.Unlock()
	departures, crashes := q.departures, q.crashes
	q.departures = make(map[departureKey]queuedDeparture)
	q.crashes = make(map[crashKey]queuedCrash)
	return departures, crashes
}

// requeue puts back what could not be sent. Newer evidence under the same key is kept.
func (q *reportQueue) requeue(departures map[departureKey]queuedDeparture, crashes map[crashKey]queuedCrash) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for k, d := range departures {
		if _, newer := q.departures[k]; !newer {
			q.departures[k] = d
		}
	}
	for k, c := range crashes {
		if _, newer := q.crashes[k]; !newer {
			q.crashes[k] = c
		}
	}
}
