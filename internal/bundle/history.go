package bundle

import "slices"

const (
	// historyVersions is how many versions a store keeps to detect races.
	historyVersions = 64
	// historyDigests is how many bundles of one version a store keeps.
	historyDigests = 16
)

// history holds the digests of verified bundles of the highest versions, each once. It is not safe for
// concurrent use: its owner guards it.
type history struct {
	// byVersion is sorted by version, lowest first.
	byVersion []versionDigests
}

type versionDigests struct {
	version uint64
	digests []Digest
}

// add records a bundle and reports whether it is new and shares its version with another one.
func (h *history) add(version uint64, d Digest) (race bool) {
	i, found := slices.BinarySearchFunc(h.byVersion, version, func(v versionDigests, want uint64) int {
		switch {
		case v.version < want:
			return -1
		case v.version > want:
			return 1
		}
		return 0
	})
	if !found {
		h.byVersion = slices.Insert(h.byVersion, i, versionDigests{version, []Digest{d}})
		if len(h.byVersion) > historyVersions {
			h.byVersion = h.byVersion[1:]
		}
		return false
	}
	v := &h.byVersion[i]
	if slices.Contains(v.digests, d) || len(v.digests) >= historyDigests {
		return false
	}
	v.digests = append(v.digests, d)
	return true
}

// races returns the versions shared by several bundles, lowest first.
func (h *history) races() []versionDigests {
	var out []versionDigests
	for _, v := range h.byVersion {
		if len(v.digests) > 1 {
			out = append(out, versionDigests{v.version, slices.Clone(v.digests)})
		}
	}
	return out
}
