package node

import (
	"runtime/debug"

	"go.uber.org/zap"

	"github.com/burdockplank/burdockplank/internal/deployment"
)

// How the memory of the VM is divided. What is held for others counts towards memoryTargetRatio, beside what the process itself
// needs.
const (
	// memoryTargetRatio is the fraction of the memory limit that is set as the Go runtime's soft limit. The
	// rest is for bytes in sockets.
	memoryTargetRatio = 0.6
	// connMemoryFraction is the fraction of the memory that the connections of callers may take, requestMemoryFraction the one that
	// their requests and answers may take beyond what is included in a connection, and answerMemoryFraction the one for answers of
	// leaves while they are read.
	connMemoryFraction    = 0.22
	requestMemoryFraction = 0.18
	answerMemoryFraction  = 0.08
)

// fractionOf returns the fraction of the bytes.
func fractionOf(bytes int64, fraction float64) int64 { return int64(fraction * float64(bytes)) }

// setMemory bounds what the process holds by the memory of its VM. It may be called while requests are served.
func (d *Daemon) setMemory(bytes int64) {
	d.memoryBytes.Store(bytes)
	debug.SetMemoryLimit(fractionOf(bytes, memoryTargetRatio))
	d.callerMemory.SetLimit(fractionOf(bytes, requestMemoryFraction))
	d.platform.SetAnswerMemory(fractionOf(bytes, answerMemoryFraction))
}

// applySettings takes over what may change in a running process: the seeds, the memory and the file descriptors.
func (d *Daemon) applySettings(s *deployment.Settings) {
	d.seeds.Store(&s.Seeds)
	d.fileDescriptors.Store(int64(s.FileDescriptors))
	if before := d.memoryBytes.Load(); before != s.MemoryBytes {
		d.setMemory(s.MemoryBytes)
		d.log.Info("memory of the VM has changed", zap.Int64("before", before), zap.Int64("now", s.MemoryBytes))
	}
}
