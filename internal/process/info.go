package process

// InfoDuty is the key of Info in a daemon's dump.
const InfoDuty = "process"

// State is the state of a process as reported to operators.
type State string

// The states of a process, in the order in which it passes through them.
const (
	StateStarting State = "starting"
	StateReady    State = "ready"
	StateDraining State = "draining"
)

// Info describes a daemon in its dump under InfoDuty. burdockctl reads it.
type Info struct {
	// Program is the name of the binary, such as "burdock-entry".
	Program string `json:"program"`
	VM      string `json:"vm"`
	Zone    string `json:"zone"`
	// Role is entry, gather or sync.
	Role string `json:"role"`
	// Incarnation is a string in the JSON, since programs that decode numbers as float64 would round it.
	Incarnation uint64 `json:"incarnation,string"`
	State       State  `json:"state"`
	// BundleVersion is the version of the bundle in force, 0 if there is none.
	BundleVersion uint64 `json:"bundle_version"`
	// PlatformAgeSeconds is the time since the last contact with the platform, directly or through a
	// peer. It is negative if there was none.
	PlatformAgeSeconds float64 `json:"platform_age_seconds"`
	Version            string  `json:"version"`
}
