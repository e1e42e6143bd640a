package main

import (
	"bufio"
	"context"
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

// The ports of all machines.
const (
	frontendPort, readyPort, controlPort = 8226, 8227, 8224
	storePort, leafPort                  = 8229, 8230
	metricsPort                          = "9464"
)

// Bounds of the deployment hallgrims-leit.
const (
	drainTimeout   = 3 * time.Second
	contactTimeout = 4 * time.Second
)

// darkTime is how long a machine that loses power stays dark, as in the site files (node_kill, how power, for_s 3.5).
const darkTime = 3500 * time.Millisecond

// zones are the availability zones; two machines are in each.
var zones = []string{"hofdi", "grafarholt", "hafnarfjordur"}

// machinesPerZone is the number of machines in each zone.
const machinesPerZone = 2

// program and its arguments are those of deploy/system.toml.
var program = []string{"target/burdock-node", "--metrics-port", metricsPort}

// world holds everything that a scenario starts.
type world struct {
	dir    string
	net    string // the first three octets of the machines' addresses
	record *os.File
	begun  time.Time
	store  *store

	mu       sync.Mutex
	machines []*machine
	leaves   []*hosted.Leaf
	closed   bool
}

// machine is a machine of the system with its process.
type machine struct {
	name, zone, ip, settings string
	// cmd is the running process, or nil; done is closed at its end. disturbedAt is when it was last ended or started.
	cmd         *exec.Cmd
	done        chan struct{}
	disturbedAt time.Time
}

// newWorld creates the record and a temporary folder, and starts the store in a free block of loopback addresses.
func newWorld(record string) (*world, error) {
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, errors.Join(err, f.Close())
	}
	w := &world{dir: dir, record: f, begun: time.Now()}
	for range 50 {
		w.net = fmt.Sprintf("127.%d.%d", 40+rand.N(60), 1+rand.N(250))
		if w.store, err = newStore(fmt.Sprintf("%s.250:%d", w.net, storePort)); err == nil {
			return w, nil
		}
	}
	return nil, errors.Join(err, f.Close(), os.RemoveAll(dir))
}

// note writes a line to the record, with the seconds since the start.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.3f  %s\n", time.Since(w.begun).Seconds(), fmt.Sprintf(format, args...))
}

// noteRuns writes to the record which requests reached the leafs, when, and whether they were run.
func (w *world) noteRuns() {
	for _, l := range w.leaves {
		for _, r := range l.Requests() {
			w.note("leaf %s at %.3f: request %s, run %v", l.ID, r.At.Sub(w.begun).Seconds(), r.ID, r.Ran)
		}
	}
}

// close ends everything that was started.
func (w *world) close() {
	w.mu.Lock()
	w.closed = true
	machines, leaves := w.machines, w.leaves
	w.mu.Unlock()
	for _, m := range machines {
		w.end(m, syscall.SIGKILL)
	}
	for _, l := range leaves {
		l.Close()
	}
	w.store.close()
	_ = w.record.Close()
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(w.dir)
	}
}

// startMachines starts the processes of all machines and waits until all are ready.
func (w *world) startMachines(ctx context.Context) error {
	var seeds []string
	for z := range zones {
		seeds = append(seeds, fmt.Sprintf("%s.%d:%d", w.net, 10*(z+1), controlPort))
	}
	for z, zone := range zones {
		for i := range machinesPerZone {
			m := &machine{name: fmt.Sprintf("frontend-%s-%d", zone, i+1), zone: zone, ip: fmt.Sprintf("%s.%d", w.net, 10*(z+1)+i)}
			m.settings = filepath.Join(w.dir, m.name+".toml")
			if err := os.WriteFile(m.settings, []byte(settingsText(m, seeds, w.store.listener.Addr().String())), 0o600); err != nil {
				return err
			}
			w.machines = append(w.machines, m)
		}
	}
	for _, m := range w.machines {
		if err := w.start(m); err != nil {
			return err
		}
	}
	for _, m := range w.machines {
		if err := w.awaitReady(ctx, m); err != nil {
			return err
		}
	}
	return nil
}

func (w *world) awaitReady(ctx context.Context, m *machine) error {
	client := &http.Client{Timeout: time.Second}
	for begun := time.Now(); time.Since(begun) < 20*time.Second; {
		if hosted.Ready(client, fmt.Sprintf("%s:%d", m.ip, readyPort)) {
			return nil
		}
		if !sleep(ctx, 50*time.Millisecond) {
			return ctx.Err()
		}
	}
	return fmt.Errorf("%s isn't ready after 20 s", m.name)
}

// start starts the machine's process by the deploy file.
func (w *world) start(m *machine) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return nil
	}
	log, err := os.OpenFile(filepath.Join(w.dir, m.name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(program[0], program[1:]...)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + w.dir, "BURDOCKPLANK_CONFIG=" + m.settings}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	m.cmd, m.done, m.disturbedAt = cmd, done, time.Now()
	go func() {
		_ = cmd.Wait()
		close(done)
	}()
	return nil
}

// end sends the signal to the machine's process, and waits for its end.
func (w *world) end(m *machine, sig os.Signal) {
	w.mu.Lock()
	cmd, done := m.cmd, m.done
	m.disturbedAt = time.Now()
	w.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Signal(sig) // it may have ended already
	<-done
}

// settingsText returns the settings file of a machine, as DEPLOY.md shows it.
func settingsText(m *machine, seeds []string, storeAddress string) string {
	var b strings.Builder
	fmt.Fprintf(&b, `node_name = %q
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
frontend = "%s:%d"
ready = "%s:%d"
control = "%s:%d"
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
`, m.name, m.ip, m.zone, strings.Join(seeds, `","`), m.ip, frontendPort, m.ip, readyPort, m.ip, controlPort, storeAddress)
	return b.String()
}

// startLeaf starts a leaf with an address of its own and writes its entry.
func (w *world) startLeaf(id, service, zone string, slots int, script hosted.Script) (*hosted.Leaf, error) {
	l, err := hosted.NewLeafAt(fmt.Sprintf("%s.%d:%d", w.net, 100+len(w.leaves), leafPort), id, slots, script)
	if err != nil {
		return nil, err
	}
	w.leaves = append(w.leaves, l)
	w.store.put("servers/"+id, l.Entry(service, zone, "ready"))
	return l, nil
}

// configure writes a configuration with the routes and services.
func (w *world) configure(version int, routes, services []map[string]any) {
	w.store.put("op/config", map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
}

// client is a client that keeps one connection to a machine and sends a request at a time.
type client struct {
	w       *world
	machine *machine
	name    string
	conn    net.Conn
	reader  *bufio.Reader
	sent    int
	// stamps are the leafs' signatures in the latest answer.
	stamps string
}

// send sends one request, waits for its answer and records both. A status of 0 means that there was no answer.
func (c *client) send(method, host, target string, timeout time.Duration) (id string, status int) {
	c.sent++
	id = fmt.Sprintf("%s-%04d", c.name, c.sent)
	r := hosted.Request{ID: id, Method: method, Host: host, Target: target, Timeout: timeout}
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", fmt.Sprintf("%s:%d", c.machine.ip, frontendPort), time.Second)
		if err != nil {
			c.w.note("request %s to %s: no connection", id, c.machine.name)
			return id, 0
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	c.w.note("request %s sent to %s: %s %s", id, c.machine.name, method, target)
	_ = c.conn.SetDeadline(time.Now().Add(timeout))
	if err := r.Write(c.conn); err != nil {
		c.drop()
		return id, 0
	}
	a, err := hosted.ReadAnswer(c.reader)
	if err != nil {
		c.w.note("request %s: no answer: %v", id, err)
		c.drop()
		return id, 0
	}
	c.stamps = strings.Join(a.Stamps, ",")
	c.w.note("request %s answered %d by %s", id, a.Status, c.stamps)
	if !a.KeepAlive {
		c.drop()
	}
	return id, a.Status
}

func (c *client) drop() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// sleep waits for the time and reports whether ctx is still going on.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
