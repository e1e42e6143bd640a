package membership

import (
	"bytes"
	"cmp"
	"slices"

	"google.golang.org/protobuf/proto"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
)

// stateRank orders the states at one heartbeat: the worse state prevails until the VM raises its
// heartbeat.
func stateRank(s pb.VmState) int {
	switch s {
	case leaving:
		return 1
	case suspect:
		return 2
	case gone:
		return 3
	}
	return 0
}

// Compare orders two records of one VM; the higher one prevails. It is a total order over the
// content of records, so merging by taking the higher one is commutative, associative and
// idempotent.
func Compare(a, b *pb.Vm) int {
	if c := compareSummary(a, b); c != 0 || judged(a) {
		// A judgement conveys only its state; the receiver supplies the rest of the record.
		return c
	}
	return bytes.Compare(encode(a), encode(b))
}

// compareSummary is Compare restricted to the fields of a summary.
func compareSummary(a, b *pb.Vm) int {
	return cmp.Or(
		cmp.Compare(a.GetHeartbeat(), b.GetHeartbeat()),
		cmp.Compare(a.GetIncarnation(), b.GetIncarnation()),
		cmp.Compare(stateRank(a.GetState()), stateRank(b.GetState())),
	)
}

// judged reports whether a record is another VM's judgement (suspect or gone) rather than published
// by the VM itself.
func judged(r *pb.Vm) bool { return stateRank(r.GetState()) >= stateRank(suspect) }

// differsBeyondHeartbeat reports whether incarnation, state or version differ.
func differsBeyondHeartbeat(before, after *pb.Vm) bool {
	return before.GetIncarnation() != after.GetIncarnation() || before.GetState() != after.GetState() ||
		before.GetVersion() != after.GetVersion()
}

// sameProcesses compares the fields whose change is published. The version of the bundle that a
// process holds is not one of them, because it changes on all VMs with each bundle.
func sameProcesses(a, b []*pb.Process) bool {
	return slices.EqualFunc(a, b, func(x, y *pb.Process) bool {
		return x.GetRole() == y.GetRole() && x.GetIncarnation() == y.GetIncarnation() && x.GetState() == y.GetState()
	})
}

// judgement returns the short form in which a suspicion is sent.
func judgement(r *pb.Vm, state pb.VmState) *pb.Vm {
	return &pb.Vm{
		Id: r.GetId(), Incarnation: r.GetIncarnation(), Heartbeat: r.GetHeartbeat(), Version: r.GetVersion(), State: state,
	}
}

// WireForm returns a record as it is sent. A judgement is sent without the fields that the receiver
// knows already.
func WireForm(r *pb.Vm) *pb.Vm {
	if judged(r) {
		return judgement(r, r.GetState())
	}
	return r
}

// withIdentity completes a judgement with the known fields of the VM. The processes may be older
// than the version implies; they do not matter until a record from the VM itself replaces the
// judgement.
func withIdentity(j, known *pb.Vm) *pb.Vm {
	r := proto.Clone(known).(*pb.Vm)
	r.Incarnation, r.Heartbeat = j.GetIncarnation(), j.GetHeartbeat()
	r.Version, r.State = j.GetVersion(), j.GetState()
	return r
}

func encode(r *pb.Vm) []byte {
	b, err := proto.MarshalOptions{Deterministic: true}.Marshal(r)
	if err != nil {
		return nil // only text that is not valid UTF-8 cannot be encoded, and such text is not decoded either
	}
	return b
}
