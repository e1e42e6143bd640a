package crowd

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/burdockplank/burdockplank/internal/child"
	"github.com/burdockplank/burdockplank/internal/deployment"
	"github.com/burdockplank/burdockplank/internal/retrybudget"
	"github.com/burdockplank/burdockplank/internal/standin/hosted"
)

// The limits of the VM in these tests. Bodies and heads are as long as the configuration of the users' deployments allows; the memory
// is a third of theirs, so that a small crowd is enough.
const (
	memoryBytes     = 96 << 20
	fileDescriptors = 4100
	maxBodyBytes    = 256 << 10
	maxHeaderBytes  = 16 << 10
	// crowdSize is the number of clients of a crowd.
	crowdSize = 400
	// largeAnswerBytes is the size of the answers of the route /large/, and slowAnswer the time that those of /slow/ take.
	largeAnswerBytes = 1 << 20
	slowAnswer       = 2 * time.Second
	// metricsPort is the port of the metrics where the command line names none.
	metricsPort = "9464"
)

// services are the services of the leaves, two leaves each.
var services = []string{"s0", "s1", "s2", "idempotent", "large", "slow"}

// vm is a process of burdock-node with its store and leaves.
type vm struct {
	t       *testing.T
	process *child.Process
	monitor *monitor
	callers string
	ready   string
	// settings are those of its settings file.
	settings *deployment.Settings
	file     string
}

// startStore runs a store with the leaves of all services and the configuration.
func startStore(t *testing.T) *hosted.Store {
	t.Helper()
	store := hosted.NewStore()
	t.Cleanup(store.Close)
	for _, service := range services {
		for _, zone := range []string{"a", "b"} {
			leaf := hosted.NewLeaf(service+"-"+zone, crowdSize, script(service))
			t.Cleanup(leaf.Close)
			store.PutLeaf(leaf, service, zone, "ready", leaf.Address())
		}
	}
	store.Configure(configuration())
	return store
}

// newSettings returns the settings of a VM with the memory and the descriptors, which is its own seed.
func newSettings(name string, store *hosted.Store, memory int64, descriptors int) *deployment.Settings {
	ip := fmt.Sprintf("127.%d.%d.%d", 64+rand.IntN(128), rand.IntN(256), 1+rand.IntN(254))
	address := func(port string) string { return net.JoinHostPort(ip, port) }
	return &deployment.Settings{
		VMName: name, Zone: "a", IP: ip, CallersAddress: address("7001"), ReadinessAddress: address("7002"), PeersAddress: address("7003"),
		Seeds: []string{address("7003")}, StoreAddress: store.Address(), MemoryBytes: memory, FileDescriptors: descriptors,
		RetryBudget: retrybudget.Limit{Ratio: 0.2, Slack: 50, Window: 10 * time.Second}, GracePeriod: 6 * time.Second, ConfigApplyBound: 3 * time.Second,
	}
}

// startVM runs burdock-node alone, with the memory and the descriptors, and waits until it is ready.
func startVM(t *testing.T, memory int64, descriptors int) *vm {
	t.Helper()
	return run(t, newSettings("vm", startStore(t), memory, descriptors))
}

// run runs burdock-node with the settings and waits until it is ready.
func run(t *testing.T, s *deployment.Settings) *vm {
	t.Helper()
	dir := t.TempDir()
	file := filepath.Join(dir, "settings.toml")
	if err := hosted.WriteSettings(file, s); err != nil {
		t.Fatal(err)
	}
	process := child.New(s.VMName, dir, filepath.Join(binDir, "burdock-node"), "--settings", file)
	v := &vm{t: t, settings: s, file: file, process: process, callers: s.CallersAddress, ready: s.ReadinessAddress}
	if err := v.process.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if v.process.Running() {
			_ = v.process.Kill()
		}
		v.process.WaitExit(patience)
		if t.Failed() {
			t.Log(v.process.LogTail())
		}
	})
	v.monitor = startMonitor(t, v.process, v.callers)
	v.await("ready", func() bool { return hosted.Ready(http.DefaultClient, v.ready) })
	return v
}

// script returns how the leaves of the service answer.
func script(service string) hosted.Script {
	reply := hosted.Reply{Body: fmt.Appendf(nil, "%-16s", service)}
	switch service {
	case "large":
		reply.Body = bytes.Repeat([]byte("l"), largeAnswerBytes)
	case "slow":
		reply.Delay = slowAnswer
	}
	return func(int, *http.Request) hosted.Reply { return reply }
}

func configuration() hosted.Config {
	single := func(name, prefix string) hosted.Route {
		return hosted.Route{Name: name, Host: "h", Prefix: prefix, Idempotent: true, Timeout: 20 * time.Second, TargetLatency: 5 * time.Second, Service: name, Priority: 1, MaxAttempts: 2}
	}
	return hosted.Config{
		Version: 1, Services: services, Connections: crowdSize,
		Routes: []hosted.Route{
			{Name: "search", Host: "h", Prefix: "/s/", Idempotent: true, Timeout: 20 * time.Second, TargetLatency: 5 * time.Second, Shards: services[:3], Priority: 1,
				MaxAttempts: 2, TopK: 2, MinShardShare: 0.6},
			single("idempotent", "/i/"), single("large", "/large/"), single("slow", "/slow/"),
		},
	}
}

// await waits until ok holds.
func (v *vm) await(what string, ok func() bool) {
	v.t.Helper()
	for end := time.Now().Add(patience); !ok(); time.Sleep(20 * time.Millisecond) {
		if !v.process.Running() {
			v.t.Fatalf("%s: the process has ended: %v", what, v.process.ExitState())
		}
		if time.Now().After(end) {
			v.t.Fatalf("not within %v: %s", patience, what)
		}
	}
}

// mustAnswer requires that the request is answered with 200, in one of the attempts of a caller that comes back when it is refused.
func (v *vm) mustAnswer(what string, r hosted.Request) {
	v.t.Helper()
	r.Host, r.Timeout = "h", 20*time.Second
	attempt := 0
	v.await(what, func() bool {
		attempt++
		r.ID = fmt.Sprintf("%s-%d", what, attempt)
		a, err := ask(v.callers, r)
		return err == nil && a.Status == http.StatusOK
	})
}

// metrics returns the text of the VM's metrics; empty if they can't be read.
func (v *vm) metrics() string {
	resp, err := http.Get("http://" + net.JoinHostPort(v.settings.IP, metricsPort) + "/metrics")
	if err != nil {
		return ""
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return ""
	}
	return string(text)
}

// ask sends a request on a connection of its own.
func ask(address string, r hosted.Request) (*hosted.Answer, error) {
	c, err := net.DialTimeout("tcp", address, patience)
	if err != nil {
		return nil, err
	}
	defer func() { _ = c.Close() }()
	if err := c.SetDeadline(time.Now().Add(patience)); err != nil {
		return nil, err
	}
	if err := r.Write(c); err != nil {
		return nil, err
	}
	return hosted.ReadAnswer(bufio.NewReader(c))
}

var (
	ordinary = hosted.Request{Method: http.MethodGet, Target: "/i/1"}
	// largest is as long as the limits allow.
	largest = hosted.Request{Method: http.MethodPost, Target: "/i/2", Body: string(bytes.Repeat([]byte("b"), maxBodyBytes))}
)

// Crowds of clients ended burdock-node: it held whatever each of them sent, so that its memory ran out. Each crowd here stays open; an
// ordinary caller is answered beside it and afterwards, and the VM stays within its memory and its descriptors.
func TestCrowdsLeaveTheNodeWithinItsMemory(t *testing.T) {
	for _, tt := range []struct {
		name   string
		client client
	}{
		{"endless header", endlessHead("x")},
		{"endless short headers", endlessHead("\r\na: b")},
		{"endless different headers", differentHeaders(maxRequestBytes)},
		{"unended head of legal size", unendedHead("a: b\r\n", maxHeaderBytes)},
		{"unended head of different headers of legal size", differentHeaders(maxHeaderBytes)},
		{"unended bodies at once", unendedBody(maxBodyBytes, maxBodyBytes)},
		{"unended bodies piece by piece", unendedBody(maxBodyBytes, pieceBytes)},
		{"unended large chunks", unendedChunks(maxBodyBytes, 64<<10)},
		{"unended small chunks", unendedChunks(maxBodyBytes, 16)},
		{"unended tiny chunks", unendedChunks(maxBodyBytes/4, 1)},
		{"unended trailers", unendedTrailer(4 << 10)},
		{"whole bodies to slow leaves", whole("POST", "/slow/1", maxBodyBytes, true)},
		{"whole bodies of searches", whole("POST", "/s/1", maxBodyBytes, true)},
		{"unread large answers", whole("GET", "/large/1", 0, false)},
		{"pipelined bytes without end", pipelined},
		{"unended bodies of invalid requests", invalid(maxBodyBytes)},
		{"silent connections", silent},
	} {
		t.Run(tt.name, func(t *testing.T) {
			v := startVM(t, memoryBytes, fileDescriptors)
			v.bear(func() *crowd { return sendCrowd(t, v.callers, crowdSize, tt.client) })
		})
	}
}

// bear requires that ordinary callers are answered in calm, beside the crowd, which stays open, and after it has left, and that
// the VM stays within its limits.
func (v *vm) bear(send func() *crowd) {
	v.t.Helper()
	v.mustAnswer("calm", ordinary)
	v.mustAnswer("calm-large", largest)
	before := v.monitor.highest()
	c := send()
	v.mustAnswer("beside", ordinary)
	v.await("ready beside the crowd", func() bool { return hosted.Ready(http.DefaultClient, v.ready) })
	c.close()
	v.mustAnswer("afterwards", ordinary)
	v.mustAnswer("afterwards-large", largest)
	v.checkUsage(before)
}

// The limits follow from the settings: on a VM with little memory or few descriptors a smaller crowd is too much.
func TestCrowdsLeaveOtherNodesWithinTheirMemory(t *testing.T) {
	for _, tt := range []struct {
		name        string
		memory      int64
		descriptors int
		clients     int
		client      client
	}{
		{"little memory", 64 << 20, fileDescriptors, 300, unendedBody(maxBodyBytes, maxBodyBytes)},
		{"little memory, heads", 64 << 20, fileDescriptors, 300, differentHeaders(maxRequestBytes)},
		{"little memory, silent", 64 << 20, fileDescriptors, 2000, silent},
		{"few descriptors", memoryBytes, 600, crowdSize, unendedBody(maxBodyBytes, pieceBytes)},
		{"few descriptors, silent", memoryBytes, 600, 1000, silent},
		{"much memory", 2000 << 20, 8192, 2000, unendedBody(maxBodyBytes, maxBodyBytes)},
		{"users' VM, bodies", 284 << 20, fileDescriptors, 1100, unendedBody(maxBodyBytes, maxBodyBytes)},
		{"users' VM, heads", 284 << 20, fileDescriptors, 1100, differentHeaders(1 << 20)},
	} {
		t.Run(tt.name, func(t *testing.T) {
			v := startVM(t, tt.memory, tt.descriptors)
			v.bear(func() *crowd { return sendCrowd(t, v.callers, tt.clients, tt.client) })
		})
	}
}

// comebackTime is how long clients come again.
const comebackTime = 6 * time.Second

// Clients that come again at once, whenever they are answered or closed, leave as little room as those that stay.
func TestCrowdsThatComeAgainLeaveTheNodeWithinItsMemory(t *testing.T) {
	for _, tt := range []struct {
		name   string
		client client
	}{
		{"unended bodies", unendedBody(maxBodyBytes, maxBodyBytes)},
		{"unended tiny chunks", unendedChunks(maxBodyBytes, 1)},
		{"whole bodies", whole("POST", "/i/1", maxBodyBytes, false)},
		{"different headers", differentHeaders(maxRequestBytes)},
		{"bodies without a route", whole("POST", "/none/1", maxBodyBytes, false)},
	} {
		t.Run(tt.name, func(t *testing.T) {
			v := startVM(t, memoryBytes, fileDescriptors)
			v.bear(func() *crowd { return sendAgain(t, v.callers, crowdSize, tt.client, time.Now().Add(comebackTime)) })
		})
	}
}

// A VM whose settings name less memory from now on, told by SIGHUP, keeps to that.
func TestCrowdsAfterTheMemoryHasChanged(t *testing.T) {
	v := startVM(t, 2000<<20, fileDescriptors)
	v.mustAnswer("before", ordinary)
	v.settings.MemoryBytes = memoryBytes
	if err := hosted.WriteSettings(v.file, v.settings); err != nil {
		t.Fatal(err)
	}
	if err := v.process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	v.await("the settings are reloaded", func() bool { return strings.Contains(v.process.LogTail(), "memory of the VM has changed") })
	v.bear(func() *crowd { return sendCrowd(t, v.callers, crowdSize, unendedBody(maxBodyBytes, maxBodyBytes)) })
}

// The VMs to which one hands its searches over have no budget for what its callers send: a crowd at the small VM must not be one at the
// large one.
func TestCrowdsOfSearchesLeaveLargerNodesWithinTheirMemory(t *testing.T) {
	for _, size := range []int{16 << 10, maxBodyBytes} {
		t.Run(fmt.Sprintf("%d KB", size>>10), func(t *testing.T) {
			store := startStore(t)
			settings := newSettings("large", store, memoryBytes, fileDescriptors)
			settings.Millicores = 8000
			large := run(t, settings)
			settings = newSettings("small", store, memoryBytes, fileDescriptors)
			settings.Millicores, settings.Seeds = 2000, large.settings.Seeds
			small := run(t, settings)
			search := hosted.Request{Method: http.MethodGet, Target: "/s/1"}
			small.await("searches are handed over", func() bool {
				small.mustAnswer("search", search)
				return strings.Contains(small.metrics(), `burdock_handed_over_total{end="answered"}`)
			})
			before := large.monitor.highest()
			small.bear(func() *crowd {
				return sendAgain(t, small.callers, crowdSize, whole("POST", "/s/1", size, false), time.Now().Add(comebackTime))
			})
			large.checkUsage(before)
		})
	}
}

// differentHeaders sends headers of different names, of the size together.
func differentHeaders(size int) client {
	return func(c net.Conn, id string) {
		send(c, []byte(head("GET", "/i/1", id, "")))
		for n, sent := 0, 0; sent < size-256; {
			var block []byte
			for len(block) < min(pieceBytes, size-256-sent) {
				block = fmt.Appendf(block, "%x:b\r\n", n)
				n++
			}
			if _, err := c.Write(block); err != nil {
				return
			}
			sent += len(block)
		}
	}
}

// checkUsage requires that the process has stayed within the limits of its VM.
func (v *vm) checkUsage(before usage) {
	v.t.Helper()
	if !v.process.Running() {
		v.t.Fatalf("the process has ended: %v", v.process.ExitState())
	}
	v.monitor.observe()
	peak := v.monitor.highest()
	v.t.Logf("at the peak %d MB resident (%d before the crowd), %d KB unread, %d descriptors", peak.resident>>20, before.resident>>20, peak.unread>>10, peak.descriptors)
	if held := int64(peak.resident + peak.unread); held > v.settings.MemoryBytes {
		v.t.Errorf("the VM held %d MB of its %d", held>>20, v.settings.MemoryBytes>>20)
	}
	if peak.descriptors > v.settings.FileDescriptors {
		v.t.Errorf("the VM had %d descriptors of its %d", peak.descriptors, v.settings.FileDescriptors)
	}
}
