package process

import (
	"encoding/binary"
	"fmt"
	"net"
	"os"
	"os/exec"
	"runtime"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"
)

func TestSetThreads(t *testing.T) {
	is := is.New(t)
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	t.Setenv("GOMAXPROCS", "1")
	SetThreads()
	is.Equal(runtime.GOMAXPROCS(0), 1) // the operator's word goes
	t.Setenv("GOMAXPROCS", "")
	SetThreads()
	is.Equal(runtime.GOMAXPROCS(0), threadsLeast)
	runtime.GOMAXPROCS(5)
	SetThreads()
	is.Equal(runtime.GOMAXPROCS(0), 5)
}

// busyThreads tells a copy of the test program to be the busy process of BenchmarkReadWhileBusy, on so many threads.
const busyThreads = "BURDOCK_TEST_BUSY_THREADS"

func TestMain(m *testing.M) {
	if n, err := strconv.Atoi(os.Getenv(busyThreads)); err == nil {
		runtime.GOMAXPROCS(n)
		if err := readWhileBusy(); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	os.Exit(m.Run())
}

// BenchmarkReadWhileBusy tells how late a process on one core reads what comes while bursts of goroutines run in it,
// such as the calls of searches, on one thread and on two.
func BenchmarkReadWhileBusy(b *testing.B) {
	for threads := 1; threads <= threadsLeast; threads++ {
		b.Run(fmt.Sprintf("threads=%d", threads), func(b *testing.B) {
			for b.Loop() {
				late, err := lateReads(threads)
				if err != nil {
					b.Fatal(err)
				}
				b.ReportMetric(late[len(late)/2], "p50-ms")
				b.ReportMetric(late[len(late)*9/10], "p90-ms")
			}
		})
	}
}

// lateReads starts the busy process and sends to it each 7 ms. It returns how late that was read, in milliseconds and
// in order.
func lateReads(threads int) ([]float64, error) {
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), fmt.Sprintf("%s=%d", busyThreads, threads))
	cmd.Stderr = os.Stderr
	out, err := cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	defer func() { _ = cmd.Wait() }()
	defer func() { _ = cmd.Process.Kill() }()
	var address string
	if _, err := fmt.Fscanln(out, &address); err != nil {
		return nil, err
	}
	c, err := net.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	defer func() { _ = c.Close() }()
	var late []float64
	var sent, read [8]byte
	for range 300 {
		time.Sleep(7 * time.Millisecond)
		binary.LittleEndian.PutUint64(sent[:], uint64(time.Now().UnixNano()))
		if _, err := c.Write(sent[:]); err != nil {
			return nil, err
		}
		if _, err := c.Read(read[:]); err != nil {
			return nil, err
		}
		late = append(late, float64(binary.LittleEndian.Uint64(read[:]))/float64(time.Millisecond))
	}
	slices.Sort(late)
	return late, nil
}

// readWhileBusy answers each time that it is sent by how long ago that was, while bursts of goroutines run beside it on
// the same core.
func readWhileBusy() error {
	var one unix.CPUSet
	one.Set(0)
	if err := unix.SchedSetaffinity(0, &one); err != nil {
		return err
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	fmt.Println(l.Addr())
	c, err := l.Accept()
	if err != nil {
		return err
	}
	go burst()
	var b [8]byte
	for {
		if _, err := c.Read(b[:]); err != nil {
			return nil // the other end has what it wanted
		}
		late := time.Now().UnixNano() - int64(binary.LittleEndian.Uint64(b[:]))
		binary.LittleEndian.PutUint64(b[:], uint64(late))
		if _, err := c.Write(b[:]); err != nil {
			return nil
		}
	}
}

// burst lets 135 goroutines work for 60 us each, again and again, half of the time.
func burst() {
	for {
		var wg sync.WaitGroup
		for range 135 {
			wg.Go(func() {
				for begun := time.Now(); time.Since(begun) < 60*time.Microsecond; {
				}
			})
		}
		wg.Wait()
		time.Sleep(8 * time.Millisecond)
	}
}
