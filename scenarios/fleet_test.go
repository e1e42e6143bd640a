package scenarios

import (
	"context"
	"crypto/ed25519"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/burdockplank/burdockplank/internal/bundle"
	"github.com/burdockplank/burdockplank/internal/settings"
	"github.com/burdockplank/burdockplank/internal/standin/platform"
	"github.com/burdockplank/burdockplank/internal/ticket"
)

// roles are the roles of a VM's processes in start order.
var roles = []string{"sync", "gather", "entry"}

// operatorPorts holds the port of the operator listener by role.
var operatorPorts = map[string]int{
	"entry": settings.DefaultEntryOperatorPort, "gather": settings.DefaultGatherOperatorPort, "sync": settings.DefaultSyncOperatorPort,
}

// vmPorts are the ports of a VM that other VMs connect to.
var vmPorts = []int{settings.DefaultEntryPort, settings.DefaultGatherPort, settings.DefaultSyncPort}

// fleet is the platform, the leaves and the VMs of one scenario. Only the goroutine of the script uses
// it, except for the results of background requests.
type fleet struct {
	dir    string
	block  *block
	layout layout

	platformNode *node
	vms, leaves  []*node
	// daemons are in start order.
	daemons []*daemon
	relay   *relay

	reviewers []reviewer
	// bundleText and bundleDigest are those of the newest bundle published with all signatures.
	bundleText   string
	bundleDigest bundle.Digest
	// bundles holds the bundles published with all signatures, by version.
	bundles map[uint64]*bundle.Bundle
	// states holds the state in the platform's list of VMs and leaves that are not live, by name.
	states map[string]platform.State

	// publishedAt and revisions hold, by version, when a manifest was last sent to the platform, and
	// its revision there. offeredDigest is the digest of the newest manifest, validly signed or not.
	publishedAt   map[uint64]time.Time
	revisions     map[uint64]uint64
	offeredDigest bundle.Digest
	// listedLeavingSince holds the time since which the platform's list has a leaf as leaving.
	listedLeavingSince map[string]time.Time
	// crowds end the crowds that are there.
	crowds []context.CancelFunc
	// listLag is the delay set by the verb lag.
	listLag time.Duration
	// logf writes to the scenario's log.
	logf func(format string, args ...any)
	// watcher is nil until the verb watch runs.
	watcher *watcher

	requests   *requests
	traffic    map[string]*trafficRun
	respawners []*respawner
	// loads holds the background loads by name.
	loads map[string]*load
	// seed is that of the scenario's random choices.
	seed uint64
}

// newFleet returns a fleet with the layout and writes its settings files to dir. It starts no process.
func newFleet(dir string, l layout) (*fleet, error) {
	b, err := newBlock()
	if err != nil {
		return nil, err
	}
	f := &fleet{dir: dir, block: b, layout: l, states: make(map[string]platform.State), requests: newRequests(),
		bundles: make(map[uint64]*bundle.Bundle), loads: make(map[string]*load),
		traffic: make(map[string]*trafficRun), publishedAt: make(map[uint64]time.Time), revisions: make(map[uint64]uint64),
		listedLeavingSince: make(map[string]time.Time),
	}
	f.platformNode = l.node(b, platformName, "", platformHost)
	f.vms, f.leaves = l.vmNodes(b), l.leafNodes(b)
	for i := range 2 {
		seed := make([]byte, ed25519.SeedSize)
		seed[0] = byte(i + 1) // fixed keys: they are used by scenarios only
		key := ed25519.NewKeyFromSeed(seed)
		f.reviewers = append(f.reviewers, reviewer{id: bundle.KeyID(key.Public().(ed25519.PublicKey)), key: key})
	}
	return f, f.writeSettingsFiles()
}

// writeSettingsFiles writes the settings files and adds the processes to daemons.
func (f *fleet) writeSettingsFiles() error {
	f.add(platformName, "burdock-standin", "platform",
		"--listen", fmt.Sprintf("%s:%d", f.platformNode.bind, platformPort),
		"--control", f.platformControl())
	for _, n := range f.leaves {
		file, err := f.writeSettings("leaf-"+n.name, f.layout.leafSettings(n, f.leafLogFile(n)))
		if err != nil {
			return err
		}
		f.add("leaf/"+n.name, "burdock-standin", "leaf", "--settings", file)
	}
	for _, role := range roles {
		for _, n := range f.vms {
			file, err := f.writeSettings(role+"-"+n.name, f.vmSettings(role, n))
			if err != nil {
				return err
			}
			f.add(role+"/"+n.name, "burdock-"+role, "--settings", file)
		}
	}
	return nil
}

func (f *fleet) add(name string, args ...string) {
	f.daemons = append(f.daemons, newDaemon(name, f.dir, args...))
}

func (f *fleet) writeSettings(name, text string) (string, error) {
	file := filepath.Join(f.dir, name+".toml")
	return file, os.WriteFile(file, []byte(text), 0o644)
}

func (f *fleet) vmSettings(role string, n *node) string {
	text := commonSettings(n, operatorPorts[role])
	switch role {
	case "sync":
		return text + fmt.Sprintf("[sync]\nfleet = %q\n[platform]\naddress = \"%s:%d\"\n", fleetName, f.platformNode.address, platformPort) +
			trustSettings(len(f.reviewers), f.reviewers)
	case "entry":
		return text + fmt.Sprintf("[drain]\nbalancer_lag = %q\n", f.layout.BalancerLag) + f.layout.admissionSettings()
	}
	return text
}

// list returns the platform's list. It omits VMs and leaves whose state is stateAbsent.
func (f *fleet) list() platform.List {
	var l platform.List
	for _, n := range f.vms {
		if state := f.state(n); state != stateAbsent {
			l.VMs = append(l.VMs, platform.VM{
				ID: n.name, Zone: n.zone, Address: n.address, State: state,
				EntryPort: settings.DefaultEntryPort, GatherPort: settings.DefaultGatherPort,
				SyncPort: settings.DefaultSyncPort, OperatorPort: settings.DefaultSyncOperatorPort,
			})
		}
	}
	for _, n := range f.leaves {
		if state := f.state(n); state != stateAbsent {
			address := fmt.Sprintf("%s:%d", n.address, leafPort)
			l.Leaves = append(l.Leaves, platform.Leaf{ID: n.name, Zone: n.zone, Address: address, State: state})
		}
	}
	return l
}

// The states that the verb list can set.
const (
	stateLive    = platform.StateLive
	stateLeaving = platform.StateLeaving
	stateAbsent  = platform.State("absent")
)

func (f *fleet) state(n *node) platform.State {
	if s, ok := f.states[n.name]; ok {
		return s
	}
	return stateLive
}

// startAll starts all processes, publishes bundle version 1 and waits until all processes are ready.
func (f *fleet) startAll() error {
	if f.layout.Relay {
		if err := f.startRelay(); err != nil {
			return err
		}
	}
	if err := f.startRole(platformName); err != nil {
		return err
	}
	if err := await("the platform's stand-in", readyTimeout, f.platformUp); err != nil {
		return err
	}
	if err := putJSON(f.platformURL("/list"), f.list()); err != nil {
		return err
	}
	if err := f.publish(f.layout.bundleText(1, []string{"1"}, f.leaves), f.reviewers); err != nil {
		return err
	}
	for _, role := range append([]string{"leaf"}, roles...) {
		if err := f.startRole(role); err != nil {
			return err
		}
	}
	return await("everything ready", readyTimeout, func() error { return f.allReady(f.daemons) })
}

// startRole starts all processes of a role.
func (f *fleet) startRole(role string) error {
	for _, d := range f.daemons {
		if d.Name() == role || strings.HasPrefix(d.Name(), role+"/") {
			if err := d.Start(); err != nil {
				return err
			}
		}
	}
	return nil
}

// startRelay starts a relay in front of every node. It relays datagrams between VMs only.
func (f *fleet) startRelay() error {
	f.relay = newRelay(f.nodes())
	for _, n := range f.vms {
		if err := f.relay.serveUDP(n, settings.DefaultSyncPort); err != nil {
			return err
		}
	}
	serve := func(n *node, ports ...int) error {
		for _, p := range ports {
			if err := f.relay.serveTCP(n, p); err != nil {
				return err
			}
		}
		return nil
	}
	err := serve(f.platformNode, platformPort)
	for _, n := range f.vms {
		err = errors.Join(err, serve(n, vmPorts...))
	}
	for _, n := range f.leaves {
		err = errors.Join(err, serve(n, leafPort))
	}
	return err
}

// nodes returns the platform, the VMs and the leaves.
func (f *fleet) nodes() []*node {
	return append(append([]*node{f.platformNode}, f.vms...), f.leaves...)
}

// resolveNodeNames returns the names of the nodes that what stands for: a node, a zone with its VMs and
// leaves, "vms" or "leaves".
func (f *fleet) resolveNodeNames(what string) ([]string, error) {
	var names []string
	what = f.resolveAlias(what)
	for _, n := range f.nodes() {
		if n.name == what || n.zone == what {
			names = append(names, n.name)
		}
	}
	switch what {
	case "vms":
		names = nodeNames(f.vms)
	case "leaves":
		names = nodeNames(f.leaves)
	}
	if len(names) == 0 {
		return nil, fmt.Errorf("no VM, leaf or availability zone %q", what)
	}
	return names, nil
}

// resolveAlias replaces minter-of-T and witness-of-T by the name of the VM whose gather minted the
// ticket T, or of the VM that is its witness.
func (f *fleet) resolveAlias(what string) string {
	role, of, ok := strings.Cut(what, "/")
	if !ok {
		role, of = "", what
	}
	who, name, found := strings.Cut(of, "-of-")
	t := f.requests.tickets[name]
	if !found || t == nil {
		return what
	}
	parsed, err := ticket.Parse(t.text)
	if err != nil {
		return what
	}
	vm := map[string]string{"minter": parsed.VM, "witness": parsed.WitnessVM}[who]
	return strings.TrimPrefix(role+"/"+vm, "/")
}

func nodeNames(nodes []*node) []string {
	var names []string
	for _, n := range nodes {
		names = append(names, n.name)
	}
	return names
}

// findProcesses returns the processes that what stands for: one process such as entry/vm-1, all of a VM
// such as vm-1, a leaf, all of a role such as "gather", "platform", or "everywhere".
func (f *fleet) findProcesses(what string) ([]*daemon, error) {
	var found []*daemon
	what = f.resolveAlias(what)
	for _, d := range f.daemons {
		role, of, _ := strings.Cut(d.Name(), "/")
		if what == "everywhere" || slices.Contains([]string{d.Name(), role, of}, what) {
			found = append(found, d)
		}
	}
	if len(found) == 0 {
		return nil, fmt.Errorf("no process %q", what)
	}
	return found, nil
}

// findAllProcesses returns the processes of all words, as findProcesses does. It is an error if there
// are none.
func (f *fleet) findAllProcesses(words []string) ([]*daemon, error) {
	var all []*daemon
	for _, w := range words {
		found, err := f.findProcesses(w)
		if err != nil {
			return nil, err
		}
		all = append(all, found...)
	}
	if len(all) == 0 {
		return nil, errors.New("no process is named")
	}
	return all, nil
}

func (f *fleet) vm(name string) (*node, error)   { return nodeNamed(f.vms, f.resolveAlias(name)) }
func (f *fleet) leaf(name string) (*node, error) { return nodeNamed(f.leaves, name) }

func nodeNamed(nodes []*node, name string) (*node, error) {
	for _, n := range nodes {
		if n.name == name {
			return n, nil
		}
	}
	return nil, fmt.Errorf("no VM or leaf %q", name)
}

func (f *fleet) platformControl() string {
	return fmt.Sprintf("%s:%d", f.platformNode.bind, platformControlPort)
}
func (f *fleet) platformURL(path string) string { return "http://" + f.platformControl() + path }

// leafLogFile returns the path of a leaf's journal. The file outlives the leaf's process.
func (f *fleet) leafLogFile(n *node) string { return filepath.Join(f.dir, n.name+".journal") }

func leafURL(n *node, path string) string {
	return fmt.Sprintf("http://%s:%d%s", n.bind, leafControlPort, path)
}

// operatorURL returns the URL of a path at the operator listener of a VM's process such as entry/vm-1.
func (f *fleet) operatorURL(process, path string) (string, error) {
	role, of, _ := strings.Cut(process, "/")
	n, err := f.vm(of)
	if err != nil {
		return "", err
	}
	return "http://" + n.bind + ":" + strconv.Itoa(operatorPorts[role]) + path, nil
}

// stop terminates all processes, last started first, and returns an error for those that do not exit by
// themselves.
func (f *fleet) stop() error {
	for _, l := range f.loads {
		l.finish()
	}
	for _, r := range f.respawners {
		r.end()
	}
	var problems error
	if f.watcher != nil {
		problems = f.watcher.finish()
	}
	var terminating []*daemon
	for _, d := range slices.Backward(f.daemons) {
		if !d.Running() {
			continue
		}
		if err := d.Terminate(); err != nil {
			problems = errors.Join(problems, err)
			continue
		}
		terminating = append(terminating, d)
	}
	for _, d := range terminating {
		problems = errors.Join(problems, d.WaitCleanExit())
	}
	if f.relay != nil {
		f.relay.close()
	}
	f.requests.wait()
	return errors.Join(problems, f.block.claim.Close())
}
