package process

// InfoDuty is the name in a dump under which each daemon shows its Info.
const InfoDuty = "process"

// State is a process's state as operators read it.
type State string

// The states of a process, in their order.
const (
	StateStarting State = "starting"
	StateReady    State = "ready"
	StateDraining State = "draining"
)

// Info is what a daemon says of itself in its dump under InfoDuty; burdockctl reads it.
type Info struct {
	// Program is the name of the binary, such as "burdock-entry".
	Program string `json:"program"`
	VM      string `json:"vm"`
	Zone    string `json:"zone"`
	// Role is entry, gather or sync.
	Role string `json:"role"`
	// Incarnation is text in the JSON: programs that read numbers as float64 would round it.
	Incarnation uint64 `json:"incarnation,string"`
	State       State  `json:"state"`
	// BundleVersion in force, 0 for none.
	BundleVersion uint64 `json:"bundle_version"`
	// PlatformAgeSeconds is the time since the platform was last heard of, directly or through a
	// peer; negative where it never was.
	PlatformAgeSeconds float64 `json:"platform_age_seconds"`
	Version            string  `json:"version"`
}
