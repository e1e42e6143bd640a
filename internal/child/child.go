// Package child starts programs for tests and the soak, and freezes, resumes and ends them. It acts only on the
// processes that it started, by their process IDs.
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
	// exitTimeout is how long a process may take to exit after SIGTERM.
	exitTimeout = 30 * time.Second
	// stopTimeout is how long the threads of a process may take to stop after SIGSTOP, stopPollInterval how often
	// their state is read.
	stopTimeout, stopPollInterval = 10 * time.Second, 5 * time.Millisecond
)

// Process is a program that may be started repeatedly, one start at a time. It is safe for concurrent use.
type Process struct {
	name string
	args []string
	// logFile receives standard output and standard error of every start.
	logFile string

	mu sync.Mutex
	// The fields below are guarded by mu. newest is nil before the first start. terminated is the start that
	// Terminate last sent SIGTERM to, nil for none.
	newest, terminated *start
	// frozen is true between Freeze and Resume.
	frozen bool
	// starts counts the starts so far. resumedAt is the time just before the latest Resume.
	starts    int
	resumedAt time.Time
}

// start is one run of the program.
type start struct {
	cmd *exec.Cmd
	// done is closed when the program has exited; cmd.ProcessState is set then.
	done chan struct{}
	// killed is true if Kill ended the program. It is guarded by Process.mu.
	killed bool
}

// waitExit waits until the program has exited or the timeout has passed, and reports whether it has exited.
func (s *start) waitExit(timeout time.Duration) bool {
	select {
	case <-s.done:
		return true
	case <-time.After(timeout):
		return false
	}
}

// New returns a process that isn't started. The first of args is the path of the program. Its output goes to a file in
// logDir.
func New(name, logDir string, args ...string) *Process {
	file := strings.ReplaceAll(name, "/", "_") + ".log"
	return &Process{name: name, args: args, logFile: filepath.Join(logDir, file)}
}

// Name returns the name that was passed to New.
func (p *Process) Name() string { return p.name }

// Running reports whether the newest start has not exited.
func (p *Process) Running() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.runningLocked()
}

// runningLocked is Running for callers that hold mu.
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

// PID returns the process ID of the newest start, or 0 before the first start.
func (p *Process) PID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.newest == nil {
		return 0
	}
	return p.newest.cmd.Process.Pid
}

// Done returns a channel that is closed when the newest start has exited, or nil before the first start.
func (p *Process) Done() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.newest == nil {
		return nil
	}
	return p.newest.done
}

// Start starts the program and appends its output to the log file. It returns an error if the program is running.
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
		_ = cmd.Wait() // the exit code is in cmd.ProcessState
		close(s.done)
	}()
	return nil
}

// Signal sends a signal to the newest start. It returns an error if that isn't running.
func (p *Process) Signal(s syscall.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.runningLocked() {
		return fmt.Errorf("%s isn't running", p.name)
	}
	p.frozen = s == syscall.SIGSTOP || p.frozen && s != syscall.SIGCONT
	return p.newest.cmd.Process.Signal(s)
}

// Frozen reports whether the process was stopped by SIGSTOP and not continued since.
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

// Freeze stops the process with SIGSTOP, which simulates a paused VM; Resume continues it. On a busy machine threads
// may keep running for a while after the signal, so Freeze returns once all threads have stopped, or an error after
// stopTimeout.
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
	return fmt.Errorf("%s didn't stop within %s of SIGSTOP: %w", p.name, stopTimeout, err)
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

// Resume continues a frozen process with SIGCONT.
func (p *Process) Resume() error {
	p.mu.Lock()
	p.resumedAt = time.Now()
	p.mu.Unlock()
	return p.Signal(syscall.SIGCONT)
}

// ResumedAt returns the time just before the latest Resume, or the zero time if there was none.
func (p *Process) ResumedAt() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.resumedAt
}

// Status returns the state and the number of threads of the newest start, as the kernel tells them, or why there is none.
func (p *Process) Status() string {
	p.mu.Lock()
	s := p.newest
	p.mu.Unlock()
	if s == nil {
		return "not started"
	}
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", s.cmd.Process.Pid))
	if err != nil {
		return err.Error()
	}
	var out []string
	for _, line := range strings.Split(string(text), "\n") {
		if strings.HasPrefix(line, "State:") || strings.HasPrefix(line, "Threads:") {
			out = append(out, strings.Join(strings.Fields(line), " "))
		}
	}
	return strings.Join(out, ", ")
}

// Kill ends the process with SIGKILL and waits until it has exited.
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

// Terminate sends SIGTERM to the process, after resuming it if it is frozen, and doesn't wait for its exit.
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

// WaitExit waits until the newest start has exited or the timeout has passed, and reports whether it has exited.
func (p *Process) WaitExit(timeout time.Duration) bool {
	p.mu.Lock()
	s := p.newest
	p.mu.Unlock()
	return s.waitExit(timeout)
}

// WaitCleanExit waits until the start that Terminate last signaled has exited, or the newest start if there was none. The
// process may have been started again meanwhile. It returns an error if the exit code isn't 0 and Kill didn't end the
// start. After exitTimeout it kills the newest start and returns an error.
func (p *Process) WaitCleanExit() error {
	s := p.terminatedStart()
	if !s.waitExit(exitTimeout) {
		_ = p.Kill()
		return fmt.Errorf("%s didn't exit within %s of SIGTERM; killed", p.name, exitTimeout)
	}
	p.mu.Lock()
	killed := s.killed
	p.mu.Unlock()
	if state := s.cmd.ProcessState; state.ExitCode() != 0 && !killed {
		return fmt.Errorf("%s ended with %s; its log ends:\n%s", p.name, state, p.LogTail())
	}
	return nil
}

// terminatedStart returns the start that WaitCleanExit waits for.
func (p *Process) terminatedStart() *start {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.terminated != nil {
		return p.terminated
	}
	return p.newest
}

// ExitState returns the exit state of the newest start, which must have exited.
func (p *Process) ExitState() *os.ProcessState {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.newest.cmd.ProcessState
}

// LogTail returns the last 20 lines of the log, or the text of the error if the log can't be read.
func (p *Process) LogTail() string {
	const lines = 20
	data, err := os.ReadFile(p.logFile)
	if err != nil {
		return err.Error()
	}
	all := strings.Split(strings.TrimRight(string(data), "\n"), "\n")
	return strings.Join(all[max(0, len(all)-lines):], "\n")
}
