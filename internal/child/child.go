// Package child starts programs for tests and the soak, and freezes, wakes and ends them. It acts only on
// the processes that it started, by their ids.
package child

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// exitTimeout is how long a process may take to end after SIGTERM.
	exitTimeout = 30 * time.Second
	// stopTimeout is how long the threads of a process may take to stand still, stopPoll how often they are
	// looked at.
	stopTimeout, stopPollInterval = 10 * time.Second, 5 * time.Millisecond
)

// Process is one program that may be started again and again.
type Process struct {
	name string
	args []string
	// logFile takes standard error of every start.
	logFile string

	mu sync.Mutex
	// Guarded by mu. newest is nil before the first start; asked is the one that was asked to end last, nil
	// for none.
	newest, terminated *start
	// frozen is true between freeze and wake.
	frozen bool
	// starts counts the starts so far; woken is just before the newest wake.
	starts    int
	resumedAt time.Time
}

// start is one run of the program.
type start struct {
	cmd *exec.Cmd
	// done is closed when it has ended; cmd.ProcessState is set then.
	done chan struct{}
	// killed tells whether Kill ended it. It is guarded by the process's mu.
	killed bool
}

// waitExit waits until it has ended, at most for the given time, and tells whether it has.
func (s *start) waitExit(timeout time.Duration) bool {
	select {
	case <-s.done:
		return true
	case <-time.After(timeout):
		return false
	}
}

// New returns a process that isn't started. Its first argument is the path of the program; what it writes
// goes to a file in logDir.
func New(name, logDir string, args ...string) *Process {
	file := strings.ReplaceAll(name, "/", "_") + ".log"
	return &Process{name: name, args: args, logFile: filepath.Join(logDir, file)}
}

// Name returns the name that it was made with.
func (p *Process) Name() string { return p.name }

// Running tells whether the newest start has not ended.
func (p *Process) Running() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.runningLocked()
}

// runningLocked is running for those who hold mu.
func (p *Process) runningLocked() bool {
	if p.newest == nil {
		return false
	}
	select {
	case <-p.newest.done:
		return false
	default:
		return true
	}
}

// Done returns a channel that is closed when the newest start has ended; nil before the first.
func (p *Process) Done() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.newest == nil {
		return nil
	}
	return p.newest.done
}

// Start starts the program; its output is added to the log file.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.runningLocked() {
		return fmt.Errorf("%s is already running", p.name)
	}
	log, err := os.OpenFile(p.logFile, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(p.args[0], p.args[1:]...)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", p.name, err)
	}
	s := &start{cmd: cmd, done: make(chan struct{})}
	p.newest, p.frozen = s, false
	p.starts++
	go func() {
		_ = cmd.Wait() // the exit code stands in the process's state
		close(s.done)
	}()
	return nil
}

// Signal sends a signal to the newest start.
func (p *Process) Signal(s syscall.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.runningLocked() {
		return fmt.Errorf("%s isn't running", p.name)
	}
	p.frozen = s == syscall.SIGSTOP || p.frozen && s != syscall.SIGCONT
	return p.newest.cmd.Process.Signal(s)
}

// Frozen tells whether it stands still.
func (p *Process) Frozen() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.frozen
}

// Starts returns how often the process was started.
func (p *Process) Starts() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.starts
}

// Freeze stops the process where it is, as a paused VM does; Wake lets it go on. On a busy machine
// threads may run on for a while after the signal, so it returns once all have stopped.
func (p *Process) Freeze() error {
	if err := p.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	var err error
	for end := time.Now().Add(stopTimeout); time.Now().Before(end); time.Sleep(stopPollInterval) {
		if err = p.checkStopped(); err == nil {
			return nil
		}
	}
	return fmt.Errorf("%s doesn't stop within %s: %w", p.name, stopTimeout, err)
}

// checkStopped returns an error while a thread of the process isn't stopped.
func (p *Process) checkStopped() error {
	p.mu.Lock()
	pid := p.newest.cmd.Process.Pid
	p.mu.Unlock()
	files, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", pid))
	if err != nil {
		return err
	}
	for _, f := range files {
		text, err := os.ReadFile(f)
		if err != nil {
			continue // the thread has ended
		}
		// The state follows the program's name, which stands in parentheses.
		if _, rest, ok := strings.Cut(string(text), ") "); ok && !strings.HasPrefix(rest, "T") {
			return fmt.Errorf("a thread still runs: %s", f)
		}
	}
	return nil
}

// Resume lets it go on.
func (p *Process) Resume() error {
	p.mu.Lock()
	p.resumedAt = time.Now()
	p.mu.Unlock()
	return p.Signal(syscall.SIGCONT)
}

// ResumedAt returns the time just before the newest wake, zero for none.
func (p *Process) ResumedAt() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.resumedAt
}

// Kill ends the process without notice.
func (p *Process) Kill() error {
	p.mu.Lock()
	if p.newest != nil {
		p.newest.killed = true
	}
	p.mu.Unlock()
	if err := p.Signal(syscall.SIGKILL); err != nil {
		return err
	}
	<-p.Done()
	return nil
}

// Terminate asks the process to end in order, without waiting.
func (p *Process) Terminate() error {
	if p.Frozen() {
		if err := p.Resume(); err != nil {
			return err
		}
	}
	p.mu.Lock()
	p.terminated = p.newest
	p.mu.Unlock()
	return p.Signal(syscall.SIGTERM)
}

// WaitExit waits until the newest start has ended, at most for the given time, and tells whether it has.
func (p *Process) WaitExit(timeout time.Duration) bool {
	p.mu.Lock()
	s := p.newest
	p.mu.Unlock()
	return s.waitExit(timeout)
}

// WaitCleanExit waits until the start that Terminate asked to end has ended, and wants exit code 0 unless Kill ended it;
// where none was asked it is the newest. The process may have been started again meanwhile.
func (p *Process) WaitCleanExit() error {
	s := p.terminatedStart()
	if !s.waitExit(exitTimeout) {
		_ = p.Kill()
		return fmt.Errorf("%s didn't end within %s of SIGTERM; killed", p.name, exitTimeout)
	}
	p.mu.Lock()
	killed := s.killed
	p.mu.Unlock()
	if state := s.cmd.ProcessState; state.ExitCode() != 0 && !killed {
		return fmt.Errorf("%s ended with %s; its log ends:\n%s", p.name, state, p.LogTail())
	}
	return nil
}

// terminatedStart returns the start that Ended is about.
func (p *Process) terminatedStart() *start {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.terminated != nil {
		return p.terminated
	}
	return p.newest
}

// ExitState is of the newest start, which must have ended.
func (p *Process) ExitState() *os.ProcessState {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.newest.cmd.ProcessState
}

// LogTail returns the last lines of the log.
func (p *Process) LogTail() string {
	const lines = 20
	data, err := os.ReadFile(p.logFile)
	if err != nil {
		return err.Error()
	}
	all := strings.Split(strings.TrimRight(string(data), "\n"), "\n")
	return strings.Join(all[max(0, len(all)-lines):], "\n")
}
