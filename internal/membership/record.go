package membership

import (
	"bytes"
	"cmp"
	"slices"

	"google.golang.org/protobuf/proto"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
)

// stateRank orders the states at one heartbeat: bad news wins until the VM raises its heartbeat.
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

// Compare orders two records of one VM: the higher one holds. It is a total order over the content
// of records, so taking the higher is commutative, associative and idempotent.
func Compare(a, b *pb.Vm) int {
	if c := compareSummary(a, b); c != 0 || judged(a) {
		// A judgement says nothing but its state; what it carries besides is the receiver's own.
		return c
	}
	return bytes.Compare(encode(a), encode(b))
}

// compareSummary is Compare by what a summary holds.
func compareSummary(a, b *pb.Vm) int {
	return cmp.Or(
		cmp.Compare(a.GetHeartbeat(), b.GetHeartbeat()),
		cmp.Compare(a.GetIncarnation(), b.GetIncarnation()),
		cmp.Compare(stateRank(a.GetState()), stateRank(b.GetState())),
	)
}

// judged tells whether a record is another VM's judgement and not the VM's own word.
func judged(r *pb.Vm) bool { return stateRank(r.GetState()) >= stateRank(suspect) }

// differsBeyondHeartbeat tells whether more than the heartbeat differs.
func differsBeyondHeartbeat(before, after *pb.Vm) bool {
	return before.GetIncarnation() != after.GetIncarnation() || before.GetState() != after.GetState() ||
		before.GetVersion() != after.GetVersion()
}

// sameProcesses compares what is news: the version of the bundle that a process holds is not, for
// it changes everywhere with each bundle.
func sameProcesses(a, b []*pb.Process) bool {
	return slices.EqualFunc(a, b, func(x, y *pb.Process) bool {
		return x.GetRole() == y.GetRole() && x.GetIncarnation() == y.GetIncarnation() && x.GetState() == y.GetState()
	})
}

// judgement returns the short form in which a suspicion travels.
func judgement(r *pb.Vm, state pb.VmState) *pb.Vm {
	return &pb.Vm{
		Id: r.GetId(), Incarnation: r.GetIncarnation(), Heartbeat: r.GetHeartbeat(), Version: r.GetVersion(), State: state,
	}
}

// WireForm returns a record as it is sent: a judgement without what the receiver knows anyway.
func WireForm(r *pb.Vm) *pb.Vm {
	if judged(r) {
		return judgement(r, r.GetState())
	}
	return r
}

// withIdentity fills a judgement with what is known of the VM. Its processes may be older than its
// version says; they don't matter until the VM's own word replaces the judgement.
func withIdentity(j, known *pb.Vm) *pb.Vm {
	r := proto.Clone(known).(*pb.Vm)
	r.Incarnation, r.Heartbeat = j.GetIncarnation(), j.GetHeartbeat()
	r.Version, r.State = j.GetVersion(), j.GetState()
	return r
}

func encode(r *pb.Vm) []byte {
	b, err := proto.MarshalOptions{Deterministic: true}.Marshal(r)
	if err != nil {
		return nil // only text that isn't UTF-8 can't be encoded, and none is decoded either
	}
	return b
}
