package child

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// newSIGTERMIgnorer returns a program that ignores SIGTERM. To the tests it looks like one that drains longer than they
// wait.
func newSIGTERMIgnorer(t *testing.T) *Process {
	p := New("slow", t.TempDir(), "/bin/sh", "-c", "trap '' TERM; echo up; while :; do sleep 0.05; done")
	t.Cleanup(func() { _ = p.Kill() }) // it may have exited
	return p
}

// awaitOutput waits until the program has written to its log, so that its signal handler is installed.
func awaitOutput(t *testing.T, p *Process) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); p.LogTail() == ""; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the program doesn't run")
		}
	}
}

// What is left of a process that doesn't end was not known once it was killed.
func TestStatus(t *testing.T) {
	is := is.New(t)
	p := newSIGTERMIgnorer(t)
	is.Equal(p.Status(), "not started")
	is.NoErr(p.Start())
	awaitOutput(t, p)
	is.True(strings.Contains(p.Status(), "State: ") && strings.Contains(p.Status(), "Threads: 1"))
	is.NoErr(p.Kill())
	is.True(strings.Contains(p.Status(), "no such file"))
}

// The terminated start is killed during its graceful shutdown, and the process is started again. WaitCleanExit must
// return for the old start and not wait for the new one.
func TestWaitCleanExitAfterKillAndRestart(t *testing.T) {
	is := is.New(t)
	p := newSIGTERMIgnorer(t)
	is.NoErr(p.Start())
	awaitOutput(t, p)
	is.NoErr(p.Terminate())
	is.NoErr(p.Kill())
	is.NoErr(p.Start())
	waitStart := time.Now()
	is.NoErr(p.WaitCleanExit())
	is.True(time.Since(waitStart) < time.Second)
	is.True(p.Running())
}

// Two callers terminate the process, and one of them starts it again. The other caller's WaitCleanExit must not wait
// for the new start, which nobody terminated.
func TestWaitCleanExitAfterRestartByAnother(t *testing.T) {
	is := is.New(t)
	p := New("orderly", t.TempDir(), "/bin/sh", "-c", "trap 'exit 0' TERM; echo up; while :; do sleep 0.05; done")
	t.Cleanup(func() { _ = p.Kill() }) // it may have exited
	is.NoErr(p.Start())
	awaitOutput(t, p)
	is.NoErr(p.Terminate())
	is.NoErr(p.Terminate())
	is.NoErr(p.WaitCleanExit())
	is.NoErr(p.Start())
	waitStart := time.Now()
	is.NoErr(p.WaitCleanExit())
	is.True(time.Since(waitStart) < time.Second)
	is.True(p.Running())
}

// WaitCleanExit reports the failure of the terminated start even if the process has been started again.
func TestWaitCleanExitReportsFailureAfterRestart(t *testing.T) {
	is := is.New(t)
	p := New("failing", t.TempDir(), "/bin/sh", "-c", "trap 'exit 3' TERM; echo up; while :; do sleep 0.05; done")
	t.Cleanup(func() { _ = p.Kill() }) // it may have exited
	is.NoErr(p.Start())
	awaitOutput(t, p)
	is.NoErr(p.Terminate())
	is.True(p.WaitExit(5 * time.Second))
	is.NoErr(p.Start())
	is.True(p.WaitCleanExit() != nil)
}

// WaitCleanExit reports a failure after Terminate even if an earlier start was killed.
func TestWaitCleanExitReportsFailureAfterKilledStart(t *testing.T) {
	is := is.New(t)
	p := New("failing", t.TempDir(), "/bin/sh", "-c", "trap 'exit 3' TERM; echo up; while :; do sleep 0.05; done")
	is.NoErr(p.Start())
	is.NoErr(p.Kill())
	is.NoErr(p.Start())
	awaitOutput(t, p)
	is.NoErr(p.Terminate())
	is.True(p.WaitCleanExit() != nil)
}
