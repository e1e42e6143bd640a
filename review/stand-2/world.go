// Command stand-2 plays the scripted cases of the second review: it starts burdock-node processes as deploy/system.toml
// does, with stand-ins for the store, the leaves and the callers on loopback addresses, and checks one rule a case.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/burdockplank/burdockplank/internal/standin/hosted"
)

// program is the path of burdock-node after the build of deploy/system.toml, relative to the repository.
const program = "target/burdock-node"

// host is the Host header of the callers' requests.
const host = "hufi27.example"

// zones are those of the site hallgrims-leit.
var zones = []string{"hofdi", "grafarholt", "hafnarfjordur"}

// world holds the processes and stand-ins of one case.
type world struct {
	dir   string
	begun time.Time
	store *hosted.Store
	vms   []*vm

	mu     sync.Mutex
	record *bufio.Writer
	file   *os.File
}

// newWorld creates the record and a temporary folder and starts the store.
func newWorld(record string) (*world, error) {
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	return &world{dir: dir, begun: time.Now(), store: hosted.NewStore(), record: bufio.NewWriter(f), file: f}, nil
}

// note writes a line to the record, with the time since the start of the case.
func (w *world) note(format string, args ...any) {
	w.noteAt(time.Now(), format, args...)
}

func (w *world) noteAt(at time.Time, format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, _ = fmt.Fprintf(w.record, "%8.3f s  %s\n", at.Sub(w.begun).Seconds(), fmt.Sprintf(format, args...))
}

// close ends all processes and stand-ins and writes the record.
func (w *world) close() {
	for _, v := range w.vms {
		v.kill()
	}
	w.store.Close()
	w.mu.Lock()
	defer w.mu.Unlock()
	_ = w.record.Flush()
	_ = w.file.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		fmt.Println(w.dir)
	}
}

// vm is one VM of the system.
type vm struct {
	w                       *world
	name, ip, zone          string
	callers, ready, control string
	settings, log           string
	storeAddress            string

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
}

// addVMs adds a number of VMs, spread over the zones, which read the store at the address that storeOf returns.
func (w *world) addVMs(n int, storeOf func(i int) string) error {
	net2, net3 := 100+rand.N(100), 1+rand.N(250)
	var seeds []string
	for i := range n {
		v := &vm{w: w, name: fmt.Sprintf("frontend-%s-%d", zones[i%len(zones)], i/len(zones)+1), zone: zones[i%len(zones)], storeAddress: storeOf(i)}
		v.ip = fmt.Sprintf("127.%d.%d.%d", net2, net3, i+1)
		ports, err := freePorts(v.ip, 3)
		if err != nil {
			return err
		}
		v.callers, v.ready, v.control = ports[0], ports[1], ports[2]
		v.settings, v.log = filepath.Join(w.dir, v.name+".toml"), filepath.Join(w.dir, v.name+".log")
		w.vms = append(w.vms, v)
		if len(seeds) < 3 {
			seeds = append(seeds, v.control)
		}
	}
	for _, v := range w.vms {
		if err := v.writeSettings(seeds); err != nil {
			return err
		}
	}
	return nil
}

// freePorts returns addresses with free ports of the IP.
func freePorts(ip string, n int) ([]string, error) {
	var out []string
	for range n {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, err
		}
		defer func() { _ = l.Close() }()
		out = append(out, l.Addr().String())
	}
	return out, nil
}

// writeSettings writes the settings in the platform's format, with the values of the site hallgrims-leit.
func (v *vm) writeSettings(seeds []string) error {
	text := fmt.Sprintf(`node_name = %q
role = "query"
machine_class = "frontend"
serves = ["frontend","control_plane"]
ip = %q
zone = %q
region = "reykjavik"
internal_port_range = [7740,7755]
seeds = ["%s"]
bootstrap = true
counted_in_tolerance = false
discovery = "platform"
entry = "virtual_ip"
heartbeat_interval_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","scatter","platform"]
[zones]
hofdi = "reykjavik"
grafarholt = "reykjavik"
hafnarfjordur = "reykjavik"
[listen]
frontend = %q
ready = %q
control = %q
[limits]
cpu_share = 0.4
cores = 1
memory_mb = 284
file_descriptors = 4100
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 1
zones = 1
regions = 0
[bounds]
seed_lag_s = 3
reuse_after_s = 2
contact_timeout_ms = 4000
ack_timeout_ms = 5000
catch_up_s = 4
drain_timeout_ms = 3000
grace_period_s = 6
loss_slack_ms = 200
config_apply_ms = 3000
rollback_slack_ms = 250
max_stretch_ms = 12000
retry_budget_ratio = 0.2
retry_window_s = 10
retry_budget_slack = 52
recovery_s = 12
[platform]
address = %q
form = "read"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
min_ttl_ms = 1000
`, v.name, v.ip, v.zone, strings.Join(seeds, `","`), v.callers, v.ready, v.control, v.storeAddress)
	return os.WriteFile(v.settings, []byte(text), 0o600)
}

// start starts the process as deploy/system.toml does.
func (v *vm) start() error {
	log, err := os.OpenFile(v.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(program, "--metrics-port", "9464")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "BURDOCKPLANK_CONFIG=" + v.settings}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	v.mu.Lock()
	v.cmd, v.done = cmd, done
	v.mu.Unlock()
	v.w.note("%s: process started", v.name)
	go func() {
		_ = cmd.Wait()
		v.w.note("%s: process ended: %s", v.name, cmd.ProcessState)
		close(done)
	}()
	return nil
}

// signal sends a signal to the process.
func (v *vm) signal(s syscall.Signal) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.cmd == nil {
		return
	}
	select {
	case <-v.done:
		return
	default:
	}
	v.w.note("%s: gets %s", v.name, s)
	_ = v.cmd.Process.Signal(s)
}

// kill kills the process, if it runs, and waits for its end.
func (v *vm) kill() {
	v.signal(syscall.SIGKILL)
	v.mu.Lock()
	done := v.done
	v.mu.Unlock()
	if done != nil {
		<-done
	}
}

// startAll starts all VMs and waits until they are ready and know each other.
func (w *world) startAll() error {
	for _, v := range w.vms {
		if err := v.start(); err != nil {
			return err
		}
	}
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, v := range w.vms {
			if hosted.Ready(client, v.ready) {
				ready++
			}
		}
		if ready == len(w.vms) {
			break
		}
		if time.Now().After(end) {
			return errors.New("the VMs did not become ready")
		}
	}
	time.Sleep(2 * time.Second)
	w.note("all VMs are ready")
	return nil
}

// result of a request of a caller.
type result struct {
	id, at   string
	sent     time.Time
	ended    time.Time
	status   int
	timeout  time.Duration
	err      error
	answered bool
}

var lastID struct {
	sync.Mutex
	n int
}

// newID returns an id for a request.
func newID() string {
	lastID.Lock()
	defer lastID.Unlock()
	lastID.n++
	return fmt.Sprintf("%08x%08x", os.Getpid(), lastID.n)
}

// send sends one request on the connection and reads its answer.
func send(c net.Conn, req *hosted.Request) *result {
	r := &result{id: req.ID, sent: time.Now()}
	_ = c.SetDeadline(time.Now().Add(req.Timeout + time.Second))
	if r.err = req.Write(c); r.err == nil {
		var a *hosted.Answer
		if a, r.err = hosted.ReadAnswer(bufio.NewReader(c)); r.err == nil {
			r.status, r.answered = a.Status, true
		}
	}
	r.ended = time.Now()
	return r
}

// sendNew is send on a new connection.
func sendNew(address string, req *hosted.Request) *result {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return &result{id: req.ID, sent: time.Now(), ended: time.Now(), err: err}
	}
	defer func() { _ = c.Close() }()
	return send(c, req)
}

func (r *result) String() string {
	if r.err != nil {
		return fmt.Sprintf("no answer after %.3f s: %v", r.ended.Sub(r.sent).Seconds(), r.err)
	}
	return fmt.Sprintf("%d after %.3f s", r.status, r.ended.Sub(r.sent).Seconds())
}
