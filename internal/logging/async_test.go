package logging

import (
	"bytes"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
)

type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

func TestAsyncCloseWritesBufferedLines(t *testing.T) {
	is := is.New(t)
	var out lockedBuffer
	sink := NewAsync(&out)
	log, err := NewAsyncLog("p", "vm", "info", sink)
	is.NoErr(err)
	for range 100 {
		log.Info("line", zap.Int("n", 1))
	}
	log.Debug("not at this level")
	sink.Close(time.Second)
	is.Equal(strings.Count(out.b.String(), "\n"), 100)
	is.True(strings.Contains(out.b.String(), `"vm":"vm"`))
	is.Equal(sink.Dropped(), uint64(0))
	_, err = NewAsyncLog("p", "vm", "loud", sink)
	is.True(err != nil)
}

// TestFullPipeDoesNotBlock guards against callers of the log that block when nobody reads standard output.
func TestFullPipeDoesNotBlock(t *testing.T) {
	is := is.New(t)
	r, w, err := os.Pipe()
	is.NoErr(err)
	defer func() { _ = r.Close() }()
	defer func() { _ = w.Close() }()
	sink := NewAsync(w)
	line := []byte(strings.Repeat("x", 1000) + "\n")
	begun := time.Now()
	for range 10 * asyncBufferLines {
		_, _ = sink.Write(line)
	}
	is.True(time.Since(begun) < 5*time.Second)
	is.True(sink.Dropped() > 0)
	sink.Close(10 * time.Millisecond)
}
