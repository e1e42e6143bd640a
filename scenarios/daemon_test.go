package scenarios

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

// endBound is how long a process may take to end after SIGTERM.
const endBound = 30 * time.Second

// daemon is one process of a scenario. It acts only on the process that it started, by its id.
type daemon struct {
	name string
	args []string
	// logFile takes standard error of every start.
	logFile string

	mu sync.Mutex
	// Guarded by mu. cmd is the newest start, nil before the first; done is closed when it has ended.
	cmd  *exec.Cmd
	done chan struct{}
	// frozen is true between freeze and wake.
	frozen bool
	// starts counts the starts so far; woken is just before the newest wake.
	starts int
	woken  time.Time
}

// newDaemon returns a process that isn't started. Its first argument is the program.
func newDaemon(name, logDir string, args ...string) *daemon {
	file := strings.ReplaceAll(name, "/", "_") + ".log"
	return &daemon{name: name, args: args, logFile: filepath.Join(logDir, file)}
}

func (d *daemon) running() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.runs()
}

// runs is running for those who hold mu.
func (d *daemon) runs() bool {
	if d.cmd == nil {
		return false
	}
	select {
	case <-d.done:
		return false
	default:
		return true
	}
}

// end returns a channel that is closed when the newest start has ended; nil before the first.
func (d *daemon) end() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.done
}

func (d *daemon) start() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.runs() {
		return fmt.Errorf("%s is already running", d.name)
	}
	log, err := os.OpenFile(d.logFile, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(filepath.Join(binDir, d.args[0]), d.args[1:]...)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", d.name, err)
	}
	done := make(chan struct{})
	d.cmd, d.done, d.frozen = cmd, done, false
	d.starts++
	go func() {
		_ = cmd.Wait()
		close(done)
	}()
	return nil
}

func (d *daemon) signal(s syscall.Signal) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.runs() {
		return fmt.Errorf("%s isn't running", d.name)
	}
	d.frozen = s == syscall.SIGSTOP || d.frozen && s != syscall.SIGCONT
	return d.cmd.Process.Signal(s)
}

func (d *daemon) isFrozen() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.frozen
}

// startCount returns how often the process was started.
func (d *daemon) startCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.starts
}

// freeze stops the process where it is, as a paused VM does; wake lets it go on. On a busy machine
// threads may run on for a while after the signal, so it returns once all have stopped.
func (d *daemon) freeze() error {
	if err := d.signal(syscall.SIGSTOP); err != nil {
		return err
	}
	return await(d.name+" stops", awaitBound, d.stopped)
}

// stopped returns an error while a thread of the process isn't stopped.
func (d *daemon) stopped() error {
	d.mu.Lock()
	pid := d.cmd.Process.Pid
	d.mu.Unlock()
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

func (d *daemon) wake() error {
	d.mu.Lock()
	d.woken = time.Now()
	d.mu.Unlock()
	return d.signal(syscall.SIGCONT)
}

// wokenAt returns the time just before the newest wake, zero for none.
func (d *daemon) wokenAt() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.woken
}

// kill ends the process without notice.
func (d *daemon) kill() error {
	if err := d.signal(syscall.SIGKILL); err != nil {
		return err
	}
	<-d.end()
	return nil
}

// terminate asks the process to end in order, without waiting.
func (d *daemon) terminate() error {
	if d.isFrozen() {
		if err := d.wake(); err != nil {
			return err
		}
	}
	return d.signal(syscall.SIGTERM)
}

// ended waits until the process has ended after terminate, and wants exit code 0.
func (d *daemon) ended() error {
	select {
	case <-d.end():
	case <-time.After(endBound):
		_ = d.kill()
		return fmt.Errorf("%s didn't end within %s of SIGTERM; killed", d.name, endBound)
	}
	if state := d.exitState(); state.ExitCode() != 0 {
		return fmt.Errorf("%s ended with %s; its log ends:\n%s", d.name, state, d.logTail())
	}
	return nil
}

// exitState is of the newest start, which must have ended.
func (d *daemon) exitState() *os.ProcessState {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.cmd.ProcessState
}

// logTail returns the last lines of the log.
func (d *daemon) logTail() string {
	const lines = 20
	data, err := os.ReadFile(d.logFile)
	if err != nil {
		return err.Error()
	}
	all := strings.Split(strings.TrimRight(string(data), "\n"), "\n")
	return strings.Join(all[max(0, len(all)-lines):], "\n")
}
