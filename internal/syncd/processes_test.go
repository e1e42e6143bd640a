package syncd

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
)

const (
	readyProcess    = pb.ProcessState_PROCESS_STATE_READY
	drainingProcess = pb.ProcessState_PROCESS_STATE_DRAINING
	goneProcess     = pb.ProcessState_PROCESS_STATE_GONE
	unknownProcess  = pb.ProcessState_PROCESS_STATE_UNSPECIFIED
)

func entryProcess(incarnation uint64, state pb.ProcessState) *pb.Process {
	return &pb.Process{Role: pb.ProcessRole_PROCESS_ROLE_ENTRY, Incarnation: incarnation, State: state}
}

func TestProcessStates(t *testing.T) {
	start := time.Unix(1000, 0)
	tests := []struct {
		name string
		do   func(p *processes)
		at   time.Duration
		want pb.ProcessState
	}{
		{"reports", func(p *processes) { p.streamOpened(entryProcess(1, readyProcess), start) }, time.Second, readyProcess},
		{"silent, such as frozen", func(p *processes) { p.streamOpened(entryProcess(1, readyProcess), start) }, reportTimeout, unknownProcess},
		{"ended a moment ago", func(p *processes) { p.streamOpened(entryProcess(1, readyProcess), start)(start) }, streamTimeout - 1, readyProcess},
		{"ended without a final report", func(p *processes) { p.streamOpened(entryProcess(1, readyProcess), start)(start) }, streamTimeout, goneProcess},
		{"reports its end", func(p *processes) {
			p.streamOpened(entryProcess(1, readyProcess), start)
			p.report(entryProcess(1, goneProcess), start)
		}, 0, goneProcess},
		{"next incarnation", func(p *processes) {
			p.streamOpened(entryProcess(1, goneProcess), start)
			p.streamOpened(entryProcess(2, readyProcess), start)
		}, 0, readyProcess},
		{"this process paused", func(p *processes) {
			p.streamOpened(entryProcess(1, readyProcess), start)(start)
			p.restartTimers(start.Add(time.Minute))
		}, time.Minute, readyProcess},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := newProcesses()
			tt.do(p)
			is.New(t).Equal(p.list(start.Add(tt.at))[0].GetState(), tt.want)
		})
	}
}

// drainOf drains a node whose entry is in the state, and returns the elapsed time.
func drainOf(f *fleet, nd *node, state pb.ProcessState, then func(p *processes)) time.Duration {
	p := nd.manager.processes
	p.streamOpened(entryProcess(1, state), time.Now())
	stop := make(chan struct{})
	go func() { // reports as the entry does until it ends
		defer close(stop)
		for range 5 {
			p.report(entryProcess(1, state), time.Now())
			time.Sleep(time.Second)
		}
		then(p)
	}()
	began := time.Now()
	nd.manager.Drain(f.t.Context())
	elapsed := time.Since(began)
	<-stop
	return elapsed
}

func TestDrainWaitsForADrainingProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 6, 2)
		nd := f.oneOf("az-1")
		elapsed := drainOf(f, nd, drainingProcess, func(p *processes) { p.report(entryProcess(1, goneProcess), time.Now()) })
		is.True(elapsed >= 5*time.Second && elapsed < 6*time.Second)
		f.waitFor(time.Second, "leaving elsewhere", f.allSee(nd.id, leavingState))
	})
}

func TestRestartOfTheSyncAloneDoesNotMarkTheVMLeaving(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 6, 2)
		nd := f.oneOf("az-1")
		elapsed := drainOf(f, nd, readyProcess, func(*processes) {})
		is.True(elapsed >= restartGracePeriod && elapsed < restartGracePeriod+time.Second)
		is.True(f.allSee(nd.id, liveState)())
	})
}
