package crowd

import (
	"bufio"
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/burdockplank/burdockplank/internal/child"
)

// binDir is the directory of the built programs. TestMain sets it before any test runs.
var binDir string

func TestMain(m *testing.M) { os.Exit(buildAndRun(m)) }

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "burdock-crowd-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	build := exec.Command("go", "build", "-o", dir+string(filepath.Separator), "../cmd/burdock-node", "../cmd/burdock-entry")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "crowd: build the programs:", err)
		return 1
	}
	binDir = dir
	return m.Run()
}

// monitorInterval is how often a monitor reads what a process holds.
const monitorInterval = 10 * time.Millisecond

// monitor records the most that a process held: its resident memory, the bytes that its callers' sockets had received and that
// it had not read, and its descriptors.
type monitor struct {
	process *child.Process
	callers netip.AddrPort
	stop    chan struct{}
	done    sync.WaitGroup

	mu sync.Mutex
	// The fields below are guarded by mu.
	peak usage
}

// usage is what a process holds.
type usage struct {
	resident, unread int
	descriptors      int
}

func startMonitor(t *testing.T, p *child.Process, callersAddress string) *monitor {
	t.Helper()
	m := &monitor{process: p, callers: netip.MustParseAddrPort(callersAddress), stop: make(chan struct{})}
	m.done.Go(m.run)
	t.Cleanup(sync.OnceFunc(func() {
		close(m.stop)
		m.done.Wait()
	}))
	return m
}

func (m *monitor) run() {
	for {
		select {
		case <-m.stop:
			return
		case <-time.After(monitorInterval):
			m.observe()
		}
	}
}

func (m *monitor) observe() {
	now := usage{resident: residentBytes(m.process.PID()), unread: unreadBytes(m.callers), descriptors: descriptors(m.process.PID())}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.peak.resident = max(m.peak.resident, now.resident)
	m.peak.unread = max(m.peak.unread, now.unread)
	m.peak.descriptors = max(m.peak.descriptors, now.descriptors)
}

func (m *monitor) highest() usage {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.peak
}

// residentBytes returns the resident memory of the process at its peak; 0 if the process has ended.
func residentBytes(pid int) int {
	f, err := os.Open(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	defer func() { _ = f.Close() }()
	for s := bufio.NewScanner(f); s.Scan(); {
		if kb, ok := strings.CutPrefix(s.Text(), "VmHWM:"); ok {
			n, _ := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(kb, "kB")))
			return n << 10
		}
	}
	return 0
}

// descriptors returns the number of open descriptors of the process.
func descriptors(pid int) int {
	entries, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	return len(entries)
}

// unreadBytes returns how many bytes the sockets at the address have received that were not read yet.
func unreadBytes(address netip.AddrPort) int {
	f, err := os.Open("/proc/net/tcp")
	if err != nil {
		return 0
	}
	defer func() { _ = f.Close() }()
	ip := address.Addr().As4()
	slices.Reverse(ip[:]) // the kernel prints the address as a little-endian number
	local := fmt.Sprintf("%X:%04X", ip[:], address.Port())
	sum := 0
	for s := bufio.NewScanner(f); s.Scan(); {
		fields := strings.Fields(s.Text())
		if len(fields) < 5 || fields[1] != local || fields[3] != "01" {
			continue
		}
		_, rx, _ := strings.Cut(fields[4], ":")
		n, _ := strconv.ParseInt(rx, 16, 64)
		sum += int(n)
	}
	return sum
}
