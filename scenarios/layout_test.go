package scenarios

import (
	"crypto/ed25519"
	"crypto/sha256"
	"encoding/base64"
	"fmt"
	"strings"
	"time"
)

// Ports of the stand-ins. Each process has its own IP.
const (
	platformPort        = 8500
	platformControlPort = 8501
	leafPort            = 9001
	leafControlPort     = 9002
)

// The first host numbers of a block.
const (
	platformHost  = 1
	firstVMHost   = 11
	firstLeafHost = 61
)

// The names that scenarios use.
const (
	fleetName    = "scenario"
	platformName = "platform"
	serviceName  = "teachers"
	callerName   = "booking-desk"
	callerToken  = "token-of-the-booking-desk"
	otherName    = "payroll"
	otherToken   = "token-of-payroll"
)

// layout holds the options of the verb fleet.
type layout struct {
	VMs, Zones, Shards, Replicas int
	Slots, Connections           int
	Documents                    int
	// HitBytes is the length to which leaves pad the text of a hit.
	HitBytes int
	// CrashMark is the text in a request at which leaves crash, set from their start.
	CrashMark string
	// Concurrency and Queue fix the admission limits of each entry; 0 selects the defaults.
	Concurrency, Queue int
	ServiceTime        time.Duration
	// ConnectDelay is how long a leaf takes to answer on a new connection.
	ConnectDelay time.Duration
	// BalancerLag is how long a draining entry still accepts new requests.
	BalancerLag time.Duration
	// Relay places a relay in front of each VM, each leaf and the platform.
	Relay bool
}

func defaultLayout() layout {
	return layout{
		VMs: 3, Zones: 3, Shards: 4, Replicas: 3, Slots: 3, Connections: 30, Documents: 1000,
		ServiceTime: 3 * time.Millisecond,
	}
}

// node is a VM, a leaf or the platform. A relay can be placed in front of it and a cut can name it.
type node struct {
	name, zone string
	// bind is the IP that its processes listen on, address the IP that others connect to.
	bind, address string
	shard         int
}

// zoneName returns the name of the zone with the index, which counts from 0; names count from 1.
func zoneName(i int) string { return fmt.Sprintf("az-%d", i+1) }

// vmNodes returns the VMs, assigned to zones round robin.
func (l layout) vmNodes(b *block) []*node {
	var ns []*node
	for i := range l.VMs {
		ns = append(ns, l.node(b, fmt.Sprintf("vm-%d", i+1), zoneName(i%l.Zones), firstVMHost+i))
	}
	return ns
}

// leafNodes returns the leaves, the replicas of each shard spread over zones. teachers-2-b is the second
// replica of shard 2.
func (l layout) leafNodes(b *block) []*node {
	var ns []*node
	for s := range l.Shards {
		for r := range l.Replicas {
			name := fmt.Sprintf("%s-%d-%c", serviceName, s, 'a'+r)
			n := l.node(b, name, zoneName(r%l.Zones), firstLeafHost+s*l.Replicas+r)
			n.shard = s
			ns = append(ns, n)
		}
	}
	return ns
}

func (l layout) node(b *block, name, zone string, host int) *node {
	n := &node{name: name, zone: zone, bind: b.bindIP(host), address: b.bindIP(host)}
	if l.Relay {
		n.address = b.relayIP(host)
	}
	return n
}

func tokenHash(token string) string { return fmt.Sprintf("%x", sha256.Sum256([]byte(token))) }

// bundleText returns the text of a bundle for the layout with the given snapshots, each with every shard.
func (l layout) bundleText(version uint64, snapshots []string, leaves []*node) string {
	var b strings.Builder
	fmt.Fprintf(&b, "version = %d\n[limits]\nmax_query_bytes = 4096\nmax_top_k = 100\nmax_timeout = \"10s\"\n", version)
	for _, c := range [][2]string{{callerName, callerToken}, {otherName, otherToken}} {
		fmt.Fprintf(&b, "[[caller]]\nname = %q\ntoken_sha256 = %q\nservices = [%q]\nrate = 2000.0\nburst = 500\nshare = 1\n",
			c[0], tokenHash(c[1]), serviceName)
	}
	fmt.Fprintf(&b, "[[service]]\nname = %q\n", serviceName)
	b.WriteString(kindsText)
	for _, n := range leaves {
		fmt.Fprintf(&b, "[[service.leaf]]\nid = %q\nzone = %q\naddress = \"%s:%d\"\nslots = %d\nconnections = %d\n",
			n.name, n.zone, n.address, leafPort, l.Slots, l.Connections)
	}
	for _, s := range snapshots {
		p := parsePartition(s, l.Shards)
		fmt.Fprintf(&b, "[[service.snapshot]]\nversion = %d\n", p.snapshot)
		for shard := range p.shards {
			fmt.Fprintf(&b, "[[service.snapshot.shard]]\nid = %d\ndocuments = %d\nleaves = [%s]\n",
				shard, l.Documents*l.Shards/p.shards, groupLeaves(p.group(shard), leaves))
		}
	}
	return b.String()
}

// kindsText declares the kinds that scenarios use: dawn prefers latency, roster prefers coverage.
const kindsText = `[[service.kind]]
name = "dawn"
mode = "search"
weight = 10
timeout = "2s"
top_k = 10
partial = "latency"
min_coverage = 0.0
early_coverage = 0.9
early_after = 3.0
hedge_budget = 0.05
retry_budget = 0.10
[[service.kind]]
name = "roster"
mode = "search"
weight = 5
timeout = "8s"
top_k = 10
partial = "coverage"
min_coverage = 0.0
hedge_budget = 0.05
retry_budget = 0.10
[[service.kind]]
name = "booking"
mode = "order"
weight = 10
timeout = "2s"
`

// groupLeaves lists the leaves of a group in TOML. A group is numbered by the shard that it holds in the
// first partition.
func groupLeaves(shard int, leaves []*node) string {
	var ids []string
	for _, n := range leaves {
		if n.shard == shard {
			ids = append(ids, fmt.Sprintf("%q", n.name))
		}
	}
	return strings.Join(ids, ", ")
}

// leafSettings returns the settings file of a leaf stand-in.
func (l layout) leafSettings(n *node, logFile string) string {
	return fmt.Sprintf(`id = %q
zone = %q
service = %q
listen = "%s:%d"
control = "%s:%d"
slots = %d
connections = %d
snapshots = [1]
shards = [%d]
documents = %d
hit_bytes = %d
service_time = %q
connect_delay = %q
log_file = %q
crash_mark = %q
`, n.name, n.zone, serviceName, n.bind, leafPort, n.bind, leafControlPort, l.Slots, l.Connections,
		n.shard, l.Documents, l.HitBytes, l.ServiceTime, l.ConnectDelay, logFile, l.CrashMark)
}

// admissionSettings returns the settings table that fixes an entry's admission limits.
func (l layout) admissionSettings() string {
	if l.Concurrency == 0 {
		return ""
	}
	return fmt.Sprintf("[admission]\nmin_concurrency = %d\nmax_concurrency = %d\ninitial_concurrency = %d\nqueue = %d\n",
		l.Concurrency, l.Concurrency, l.Concurrency, l.Queue)
}

// commonSettings returns the settings tables that all processes of a VM have.
func commonSettings(n *node, operatorPort int) string {
	return fmt.Sprintf("[vm]\nid = %q\nzone = %q\nbind = %q\naddress = %q\n[operator]\nlisten = \"%s:%d\"\n",
		n.name, n.zone, n.bind, n.address, n.bind, operatorPort)
}

// trustSettings returns the settings table of a sync that names the trusted reviewers.
func trustSettings(threshold int, reviewers []reviewer) string {
	var b strings.Builder
	fmt.Fprintf(&b, "[trust]\nthreshold = %d\n", threshold)
	for _, r := range reviewers {
		pub := r.key.Public().(ed25519.PublicKey)
		fmt.Fprintf(&b, "[[trust.reviewer]]\nkey_id = %q\npublic_key = %q\n", r.id, base64.StdEncoding.EncodeToString(pub))
	}
	return b.String()
}

// reviewer is a signer of bundles.
type reviewer struct {
	id  string
	key ed25519.PrivateKey
}
