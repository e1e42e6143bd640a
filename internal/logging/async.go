package logging

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// asyncBufferLines is the number of lines that may wait for the writer. At 300 bytes each they take 0.6 MB.
const asyncBufferLines = 2048

// Async is a log sink that never blocks its callers. One goroutine writes the lines. Lines that arrive
// while the buffer is full are dropped and counted. It is safe for concurrent use.
type Async struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Uint64
	once    sync.Once
	// closing is closed by Close, done when the writing goroutine has ended.
	closing, done chan struct{}
}

// NewAsync returns a sink that writes to out, and starts its goroutine.
func NewAsync(out io.Writer) *Async {
	a := &Async{out: out, lines: make(chan []byte, asyncBufferLines), closing: make(chan struct{}), done: make(chan struct{})}
	go a.run()
	return a
}

// Write implements io.Writer. It copies the line and never returns an error.
func (a *Async) Write(p []byte) (int, error) {
	select {
	case a.lines <- append([]byte(nil), p...):
	default:
		a.dropped.Add(1)
	}
	return len(p), nil
}

// Sync implements zapcore.WriteSyncer. It does not wait for the lines in the buffer.
func (a *Async) Sync() error { return nil }

// Dropped returns the number of lines that were dropped or could not be written so far.
func (a *Async) Dropped() uint64 { return a.dropped.Load() }

// Close writes the lines in the buffer and ends the goroutine, but returns after limit at the latest. Lines
// that are logged later are dropped.
func (a *Async) Close(limit time.Duration) {
	a.once.Do(func() { close(a.closing) })
	select {
	case <-a.done:
	case <-time.After(limit):
	}
}

func (a *Async) run() {
	defer close(a.done)
	for {
		select {
		case line := <-a.lines:
			a.writeLine(line)
		case <-a.closing:
			a.flush()
			return
		}
	}
}

// flush writes the lines in the buffer.
func (a *Async) flush() {
	for {
		select {
		case line := <-a.lines:
			a.writeLine(line)
		default:
			return
		}
	}
}

func (a *Async) writeLine(line []byte) {
	if _, err := a.out.Write(line); err != nil {
		a.dropped.Add(1)
	}
}

// NewAsyncLog returns a JSON logger of the program on the VM that writes to the sink.
func NewAsyncLog(program, vm, level string, sink *Async) (*zap.Logger, error) {
	l, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, eris.Wrap(err, "logging: parse level")
	}
	core := zapcore.NewCore(zapcore.NewJSONEncoder(encoderConfig()), sink, l)
	return zap.New(core).With(zap.String("program", program), zap.String("vm", vm)), nil
}
