package platform

import (
	"github.com/burdockplank/burdockplank/internal/settings"
)

// State is the state of a VM or leaf in the list.
type State string

// The states of a VM or leaf in the list.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
)

// List is the platform's list of VMs and leaves as JSON.
type List struct {
	Revision uint64 `json:"revision"`
	VMs      []VM   `json:"vms"`
	Leaves   []Leaf `json:"leaves"`
}

// VM is one VM of the system.
type VM struct {
	ID   string `json:"id"`
	Zone string `json:"zone"`
	// Address is an IP number.
	Address      string `json:"address"`
	EntryPort    int    `json:"entry_port"`
	GatherPort   int    `json:"gather_port"`
	SyncPort     int    `json:"sync_port"`
	OperatorPort int    `json:"operator_port"`
	State        State  `json:"state"`
}

// Leaf is one upstream.
type Leaf struct {
	ID   string `json:"id"`
	Zone string `json:"zone"`
	// Address is IP:PORT.
	Address string `json:"address"`
	State   State  `json:"state"`
}

// Faults are the injected faults of the platform. The zero value is none.
type Faults struct {
	// Down refuses connections and resets open ones.
	Down bool `json:"down"`
	// Hang accepts requests and delays their answers until it is cleared.
	Hang bool `json:"hang"`
	// StaleRevision serves the bundle keys as of this revision; 0 serves the newest.
	StaleRevision uint64 `json:"stale_revision"`
	// ListLag is the time from a list's publication until it is served.
	ListLag settings.Duration `json:"list_lag"`
	// CutSources are the IP numbers of clients whose new connections are refused and whose open ones
	// are reset.
	CutSources []string `json:"cut_sources"`
}

// Reads counts the read requests that arrived. A watch counts as one read, at its start.
type Reads struct {
	Total    uint64 `json:"total"`
	Manifest uint64 `json:"manifest"`
	Section  uint64 `json:"section"`
	Key      uint64 `json:"key"`
	List     uint64 `json:"list"`
	// Watches counts those of the reads above that asked to wait.
	Watches uint64 `json:"watches"`
	// WaitingNow is the number of watches that wait at present.
	WaitingNow int `json:"waiting_now"`
	// BySource counts the reads above by the client's IP number.
	BySource map[string]uint64 `json:"by_source"`
}
