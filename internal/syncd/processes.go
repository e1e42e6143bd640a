package syncd

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
)

const (
	// reportTimeout is how long a process may go without a report before its state counts as
	// unknown. Processes report every second.
	reportTimeout = 3 * time.Second
	// streamTimeout is how long a process may be without a stream before it counts as gone. A live
	// process opens the next one within a fraction of this.
	streamTimeout = time.Second
)

// processes holds the processes of this VM as they report themselves. It is safe for concurrent
// use.
type processes struct {
	mu sync.Mutex
	// byRole is guarded by mu.
	byRole map[pb.ProcessRole]*localProcess
}

// localProcess is one process of this VM. It is guarded by the mutex of processes.
type localProcess struct {
	reported   *pb.Process
	lastReport time.Time
	// streams is the number of open streams; lastStreamEnd is when the last one ended.
	streams       int
	lastStreamEnd time.Time
}

func newProcesses() *processes { return &processes{byRole: make(map[pb.ProcessRole]*localProcess)} }

// isFeedRole reports whether processes of the role receive the feed.
func isFeedRole(r pb.ProcessRole) bool {
	return r == pb.ProcessRole_PROCESS_ROLE_ENTRY || r == pb.ProcessRole_PROCESS_ROLE_GATHER
}

// report records what a process reports of itself.
func (p *processes) report(proc *pb.Process, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.record(proc, now)
}

// record returns the entry of a process and creates a new one for a new incarnation. mu must be
// held.
func (p *processes) record(proc *pb.Process, now time.Time) *localProcess {
	l := p.byRole[proc.GetRole()]
	if l == nil || l.reported.GetIncarnation() != proc.GetIncarnation() {
		l = &localProcess{lastStreamEnd: now}
		p.byRole[proc.GetRole()] = l
	}
	l.reported, l.lastReport = proc, now
	return l
}

// streamOpened records a new stream of a process. The returned function records the end of the
// stream.
func (p *processes) streamOpened(proc *pb.Process, now time.Time) (release func(time.Time)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.record(proc, now)
	l.streams++
	return func(now time.Time) {
		p.mu.Lock()
		defer p.mu.Unlock()
		l.streams--
		l.lastStreamEnd = now
	}
}

// restartTimers restarts the timeouts of all processes after a pause, because their silence may
// have been caused by this process's own pause.
func (p *processes) restartTimers(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.byRole {
		l.lastReport, l.lastStreamEnd = now, now
	}
}

// list returns the processes with their current states, sorted by role.
func (p *processes) list(now time.Time) []*pb.Process {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []*pb.Process
	for _, l := range p.byRole {
		proc := proto.Clone(l.reported).(*pb.Process)
		proc.State = l.state(now)
		out = append(out, proc)
	}
	slices.SortFunc(out, func(a, b *pb.Process) int { return cmp.Compare(a.GetRole(), b.GetRole()) })
	return out
}

// state returns the current state of a process, with its timeouts applied.
func (l *localProcess) state(now time.Time) pb.ProcessState {
	reported := l.reported.GetState()
	switch {
	case reported == pb.ProcessState_PROCESS_STATE_GONE:
		return reported
	case l.streams == 0 && now.Sub(l.lastStreamEnd) >= streamTimeout:
		return pb.ProcessState_PROCESS_STATE_GONE
	case now.Sub(l.lastReport) >= reportTimeout:
		return pb.ProcessState_PROCESS_STATE_UNSPECIFIED
	}
	return reported
}

// any reports whether a process is in one of the states.
func (p *processes) any(now time.Time, states ...pb.ProcessState) bool {
	return slices.ContainsFunc(p.list(now), func(proc *pb.Process) bool {
		return slices.Contains(states, proc.GetState())
	})
}
