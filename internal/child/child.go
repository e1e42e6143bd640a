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
	// endBound is how long a process may take to end after SIGTERM.
	endBound = 30 * time.Second
	// stopBound is how long the threads of a process may take to stand still, stopPoll how often they are
	// looked at.
	stopBound, stopPoll = 10 * time.Second, 5 * time.Millisecond
)

// Process is one program that may be started again and again.
type Process struct {
	name string
	args []string
	// logFile takes standard error of every start.
	logFile string

	mu sync.Mutex
	// Guarded by mu. cmd is the newest start, nil before the first; done is closed when it has ended.
	cmd  *exec.Cmd
	done chan struct{}
	// asked is the number of the start that was asked to end, killed of the newest that was killed.
	asked, killed int
	// frozen is true between freeze and wake.
	frozen bool
	// starts counts the starts so far; woken is just before the newest wake.
	starts int
	woken  time.Time
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
	return p.runs()
}

// runs is running for those who hold mu.
func (p *Process) runs() bool {
	if p.cmd == nil {
		return false
	}
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// Done returns a channel that is closed when the newest start has ended; nil before the first.
func (p *Process) Done() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.done
}

// Start starts the program; its output is added to the log file.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.runs() {
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
	done := make(chan struct{})
	p.cmd, p.done, p.frozen = cmd, done, false
	p.starts++
	go func() {
		_ = cmd.Wait()
		close(done)
	}()
	return nil
}

// Signal sends a signal to the newest start.
func (p *Process) Signal(s syscall.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.runs() {
		return fmt.Errorf("%s isn't running", p.name)
	}
	p.frozen = s == syscall.SIGSTOP || p.frozen && s != syscall.SIGCONT
	return p.cmd.Process.Signal(s)
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
	for end := time.Now().Add(stopBound); time.Now().Before(end); time.Sleep(stopPoll) {
		if err = p.stopped(); err == nil {
			return nil
		}
	}
	return fmt.Errorf("%s doesn't stop within %s: %w", p.name, stopBound, err)
}

// stopped returns an error while a thread of the process isn't stopped.
func (p *Process) stopped() error {
	p.mu.Lock()
	pid := p.cmd.Process.Pid
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

// Wake lets it go on.
func (p *Process) Wake() error {
	p.mu.Lock()
	p.woken = time.Now()
	p.mu.Unlock()
	return p.Signal(syscall.SIGCONT)
}

// WokenAt returns the time just before the newest wake, zero for none.
func (p *Process) WokenAt() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.woken
}

// Kill ends the process without notice.
func (p *Process) Kill() error {
	p.mu.Lock()
	p.killed = p.starts
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
		if err := p.Wake(); err != nil {
			return err
		}
	}
	p.mu.Lock()
	p.asked = p.starts
	p.mu.Unlock()
	return p.Signal(syscall.SIGTERM)
}

// killedSinceAsked tells whether the start that was asked to end was killed, and so has nothing to show.
func (p *Process) killedSinceAsked() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.killed >= p.asked && p.asked > 0
}

// AwaitEnd waits until the newest start has ended, at most for the given time, and tells whether it has.
func (p *Process) AwaitEnd(most time.Duration) bool {
	select {
	case <-p.Done():
		return true
	case <-time.After(most):
		return false
	}
}

// Ended waits until the start that was asked to end by Terminate has ended, and wants exit code 0. One that was
// killed meanwhile, and perhaps started again, has ended.
func (p *Process) Ended() error {
	if p.killedSinceAsked() {
		return nil
	}
	if !p.AwaitEnd(endBound) {
		_ = p.Kill()
		return fmt.Errorf("%s didn't end within %s of SIGTERM; killed", p.name, endBound)
	}
	if state := p.ExitState(); state.ExitCode() != 0 && !p.killedSinceAsked() {
		return fmt.Errorf("%s ended with %s; its log ends:\n%s", p.name, state, p.LogTail())
	}
	return nil
}

// ExitState is of the newest start, which must have ended.
func (p *Process) ExitState() *os.ProcessState {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd.ProcessState
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
