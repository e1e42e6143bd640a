package scenarios

import (
	"path/filepath"

	"github.com/burdockplank/burdockplank/internal/child"
)

// daemon is one process of a scenario.
type daemon = child.Process

// newDaemon returns a process without starting it. The first argument is the program.
func newDaemon(name, logDir string, args ...string) *daemon {
	return child.New(name, logDir, append([]string{filepath.Join(binDir, args[0])}, args[1:]...)...)
}
