package child

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// newSIGTERMIgnorer is a program that takes longer to end than any test waits, as one does that drains.
func newSIGTERMIgnorer(t *testing.T) *Process {
	p := New("slow", t.TempDir(), "/bin/sh", "-c", "trap '' TERM; echo up; while :; do sleep 0.05; done")
	t.Cleanup(func() { _ = p.Kill() }) // it may have ended
	return p
}

func awaitOutput(t *testing.T, p *Process) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); p.LogTail() == ""; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the program doesn't run")
		}
	}
}

// A process that is killed while it ends in order, and started again, has ended: who asked it to end must not
// wait for the new start.
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

// A process that two have asked to end, and that one of them has started again, has ended: the other must not wait
// for the new start, which nobody asked to end.
func TestWaitCleanExitAfterRestartByAnother(t *testing.T) {
	is := is.New(t)
	p := New("orderly", t.TempDir(), "/bin/sh", "-c", "trap 'exit 0' TERM; echo up; while :; do sleep 0.05; done")
	t.Cleanup(func() { _ = p.Kill() }) // it may have ended
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

// What the start that was asked to end failed with is told of, also where the process runs again.
func TestWaitCleanExitReportsFailureAfterRestart(t *testing.T) {
	is := is.New(t)
	p := New("failing", t.TempDir(), "/bin/sh", "-c", "trap 'exit 3' TERM; echo up; while :; do sleep 0.05; done")
	t.Cleanup(func() { _ = p.Kill() }) // it may have ended
	is.NoErr(p.Start())
	awaitOutput(t, p)
	is.NoErr(p.Terminate())
	is.True(p.WaitExit(5 * time.Second))
	is.NoErr(p.Start())
	is.True(p.WaitCleanExit() != nil)
}

// A process that ends with a failure after Terminate is told of, also where an earlier start was killed.
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
