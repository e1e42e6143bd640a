package listing

import (
	"math/bits"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/internal/bundle"
)

const (
	// entriesPerSection is the approximate number of entries per section. Fewer make the manifest
	// longer; more make a change of one entry transfer more.
	entriesPerSection = 32
	// maxSections bounds a manifest to 8 KiB.
	maxSections = 256
)

// sectionCount returns the number of sections for a number of entries, a power of two.
func sectionCount(entries int) int {
	sections := uint(entries / entriesPerSection)
	return min(1<<bits.Len(sections), maxSections)
}

// splitSections fills in Manifest and Sections. An entry's section depends on its ID alone, so that
// a change of one entry changes one section.
func (l *List) splitSections() {
	n := sectionCount(len(l.VMs) + len(l.Upstreams))
	sections := make([]pb.ListSection, n)
	for _, vm := range l.VMs {
		section := &sections[xxhash.Sum64String(vm.GetId())%uint64(n)]
		section.Vms = append(section.Vms, vm)
	}
	for _, u := range l.Upstreams {
		section := &sections[xxhash.Sum64String(u.GetId())%uint64(n)]
		section.Upstreams = append(section.Upstreams, u)
	}
	l.Manifest = &pb.ListManifest{Revision: l.Revision}
	l.Sections = make(map[bundle.Digest][]byte, n)
	for i := range sections {
		l.addSection(&sections[i])
	}
}

func (l *List) addSection(section *pb.ListSection) {
	encoded, err := proto.MarshalOptions{Deterministic: true}.Marshal(section)
	if err != nil {
		panic(err) // only text that is not valid UTF-8 cannot be encoded, and names are validated
	}
	d := bundle.SectionDigest(encoded)
	l.Sections[d] = encoded
	l.Manifest.Sections = append(l.Manifest.Sections, d[:])
}

// Assemble builds a list from its manifest and sections. sections must hold at least those that the
// manifest lists.
func Assemble(m *pb.ListManifest, sections map[bundle.Digest][]byte) (*List, error) {
	if len(m.GetSections()) > maxSections {
		return nil, eris.Errorf("sync.listing: manifest names %d sections", len(m.GetSections()))
	}
	l := &List{Revision: m.GetRevision(), Manifest: m, Sections: make(map[bundle.Digest][]byte)}
	for i, raw := range m.GetSections() {
		d, ok := digestOf(raw)
		encoded, held := sections[d]
		if !ok || !held {
			return nil, eris.Errorf("sync.listing: section %d is missing", i)
		}
		var section pb.ListSection
		if err := proto.Unmarshal(encoded, &section); err != nil {
			return nil, eris.Wrapf(err, "sync.listing: decode section %d", i)
		}
		l.Sections[d] = encoded
		l.VMs = append(l.VMs, section.GetVms()...)
		l.Upstreams = append(l.Upstreams, section.GetUpstreams()...)
	}
	l.VMs, l.Upstreams = sortedByID(l.VMs), sortedByID(l.Upstreams)
	return l, nil
}

func digestOf(raw []byte) (d bundle.Digest, ok bool) {
	ok = len(raw) == len(d)
	copy(d[:], raw)
	return d, ok
}
