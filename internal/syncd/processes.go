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
	// unknown; it reports each second.
	reportTimeout = 3 * time.Second
	// streamTimeout is how long a process may be without a stream before it counts as gone: a process
	// that lives opens the next one within a fraction of this.
	streamTimeout = time.Second
)

// processes are those of this VM, as they report themselves. It is safe for concurrent use.
type processes struct {
	mu sync.Mutex
	// byRole is guarded by mu.
	byRole map[pb.ProcessRole]*localProcess
}

// localProcess is one process. Its owner is processes.
type localProcess struct {
	reported   *pb.Process
	lastReport time.Time
	// streams counts its open ones; ended is when the last one ended.
	streams       int
	lastStreamEnd time.Time
}

func newProcesses() *processes { return &processes{byRole: make(map[pb.ProcessRole]*localProcess)} }

// isFeedRole tells whether a role is fed by the sync.
func isFeedRole(r pb.ProcessRole) bool {
	return r == pb.ProcessRole_PROCESS_ROLE_ENTRY || r == pb.ProcessRole_PROCESS_ROLE_GATHER
}

// report takes what a process says of itself.
func (p *processes) report(proc *pb.Process, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.record(proc, now)
}

// record returns the entry of a process, anew for a new incarnation; mu is held.
func (p *processes) record(proc *pb.Process, now time.Time) *localProcess {
	l := p.byRole[proc.GetRole()]
	if l == nil || l.reported.GetIncarnation() != proc.GetIncarnation() {
		l = &localProcess{lastStreamEnd: now}
		p.byRole[proc.GetRole()] = l
	}
	l.reported, l.lastReport = proc, now
	return l
}

// streamOpened notes a stream of a process; the function returned notes its end.
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

// restartTimers starts the time of all processes anew: their silence may have been this process's own.
func (p *processes) restartTimers(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.byRole {
		l.lastReport, l.lastStreamEnd = now, now
	}
}

// list returns the processes in their states, by role.
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

// state returns the state a process counts as.
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

// any tells whether a process is in one of the states.
func (p *processes) any(now time.Time, states ...pb.ProcessState) bool {
	return slices.ContainsFunc(p.list(now), func(proc *pb.Process) bool {
		return slices.Contains(states, proc.GetState())
	})
}
