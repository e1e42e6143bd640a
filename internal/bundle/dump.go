package bundle

import (
	"slices"
	"strings"
	"time"
)

// DumpDuty is the key of the store's state, a StoreDump, in the JSON object of a daemon's dump.
const DumpDuty = "bundle"

// StoreDump is the state of a store in an operators' dump.
type StoreDump struct {
	// Version is the version of the bundle in force, or 0 if there is none.
	Version uint64 `json:"version"`
	// Digest is the digest of the bundle in force.
	Digest string `json:"digest,omitempty"`
	// Parent is the digest of the parent that its manifest names, empty if it names none.
	Parent string `json:"parent,omitempty"`
	// Signers lists the key ids of all its signatures. They are not checked here: reviewers may be
	// untrusted and signatures invalid.
	Signers []string `json:"signers,omitempty"`
	// Since is when this store put it in force.
	Since *time.Time `json:"since,omitempty"`
	// Bytes is the length of its text.
	Bytes    int           `json:"text_bytes"`
	Races    []RaceDump    `json:"races,omitempty"`
	Refusals []RefusalDump `json:"refusals,omitempty"`
}

// RaceDump lists the digests of different bundles that share one version and whose manifests the store
// accepted. A follower store accepts manifests without verifying their signatures. Texts are not checked.
// The list is limited: a store keeps the highest historyVersions versions and the first historyDigests
// digests of each.
type RaceDump struct {
	Version uint64   `json:"version"`
	Digests []string `json:"digests"`
}

// RefusalDump is the JSON form of a Refusal, the newest one for its reason.
type RefusalDump struct {
	Reason  RefusalReason `json:"reason"`
	Version uint64        `json:"version"`
	Digest  string        `json:"digest"`
	Message string        `json:"message"`
	At      time.Time     `json:"at"`
}

// Dump implements operator.Dumper. It returns a StoreDump.
func (s *Store) Dump() any {
	s.mu.Lock()
	defer s.mu.Unlock()
	var d StoreDump
	if a := s.inForce; a != nil {
		d.Version, d.Digest, d.Bytes = a.bundle.Version, a.bundle.Digest.String(), len(a.text)
		if !a.parent.IsZero() {
			d.Parent = a.parent.String()
		}
		for _, sig := range a.signed.GetSignatures() {
			d.Signers = append(d.Signers, sig.GetKeyId())
		}
		since := a.since
		d.Since = &since
	}
	for _, v := range s.seen.races() {
		d.Races = append(d.Races, raceDump(v))
	}
	d.Refusals = s.refusalDumps()
	return d
}

func raceDump(v versionDigests) RaceDump {
	r := RaceDump{Version: v.version}
	for _, digest := range v.digests {
		r.Digests = append(r.Digests, digest.String())
	}
	slices.Sort(r.Digests)
	return r
}

// refusalDumps returns the refusals sorted by reason. The caller must hold mu.
func (s *Store) refusalDumps() []RefusalDump {
	var out []RefusalDump
	for _, r := range s.refusals {
		out = append(out, RefusalDump{
			Reason: r.Reason, Version: r.Version, Digest: r.Digest.String(), Message: r.Message, At: r.At,
		})
	}
	slices.SortFunc(out, func(a, b RefusalDump) int { return strings.Compare(string(a.Reason), string(b.Reason)) })
	return out
}
