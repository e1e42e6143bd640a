package listing

import (
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
)

// listText returns a list of n VMs with 6 leaves each. The first VM has the given state.
func listText(n int, firstState string) []byte {
	var vms, leaves []string
	for i := range n {
		state := "live"
		if i == 0 {
			state = firstState
		}
		vms = append(vms, fmt.Sprintf(`{"id":"vm-%d","zone":"az-1","address":"127.0.0.1","sync_port":7402,"state":%q}`, i, state))
		for j := range 6 {
			leaves = append(leaves, fmt.Sprintf(`{"id":"leaf-%d-%d","zone":"az-1","address":"127.0.0.2:9000","state":"live"}`, i, j))
		}
	}
	return fmt.Appendf(nil, `{"revision":7,"vms":[%s],"leaves":[%s],"more":1}`, strings.Join(vms, ","), strings.Join(leaves, ","))
}

func parse(t *testing.T, text []byte) *List {
	t.Helper()
	l, skipped, err := Parse(text)
	if err != nil || skipped != 0 {
		t.Fatal(skipped, err)
	}
	return l
}

func TestSectionsReassembleToTheList(t *testing.T) {
	for _, n := range []int{0, 1, 8, 530} {
		is := is.New(t)
		l := parse(t, listText(n, "leaving"))
		is.True(len(l.Manifest.Sections) <= maxSections)
		back, err := Assemble(l.Manifest, l.Sections)
		is.NoErr(err)
		is.Equal(back.Revision, uint64(7))
		is.True(proto.Equal(&pb.ListSection{Vms: l.VMs, Upstreams: l.Upstreams}, &pb.ListSection{Vms: back.VMs, Upstreams: back.Upstreams}))
	}
}

func TestOneChangeAffectsOneSection(t *testing.T) {
	is := is.New(t)
	before, after := parse(t, listText(530, "live")), parse(t, listText(530, "leaving"))
	changed, bytes := 0, 0
	for d, sec := range after.Sections {
		if _, held := before.Sections[d]; !held {
			changed++
			bytes += len(sec)
		}
	}
	is.Equal(changed, 1)
	is.True(bytes+proto.Size(after.Manifest) < 8<<10)
}

func TestInvalidEntriesAreSkipped(t *testing.T) {
	is := is.New(t)
	l, skipped, err := Parse([]byte(`{"revision":1,
		"vms":[{"id":"ok","zone":"az-1","address":"127.0.0.1","sync_port":1,"state":"live"},
			{"id":"ok","zone":"az-2","address":"127.0.0.1","sync_port":1,"state":"live"},
			{"id":"no-address","zone":"az-1","address":"host","sync_port":1,"state":"live"},
			{"id":"no-state","zone":"az-1","address":"127.0.0.1","sync_port":1}],
		"leaves":[{"id":"leaf","zone":"az-1","address":"127.0.0.1","state":"live"}]}`))
	is.NoErr(err)
	is.Equal(skipped, 4)
	is.Equal(len(l.VMs), 1)
	is.Equal(l.VMs[0].GetZone(), "az-1")
	_, _, err = Parse([]byte(`[]`))
	is.True(err != nil)
}

func TestAssembleRejectsMissingSections(t *testing.T) {
	is := is.New(t)
	l := parse(t, listText(530, "live"))
	for d := range l.Sections {
		delete(l.Sections, d)
		break
	}
	_, err := Assemble(l.Manifest, l.Sections)
	is.True(err != nil)
}
