package fleetload

import (
	"math"
	"time"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/internal/catalog"
	"github.com/burdockplank/burdockplank/internal/delegate"
	"github.com/burdockplank/burdockplank/internal/replica"
)

const (
	// maxHubBytes bounds a message between hubs, of which there are few.
	maxHubBytes = 1 << 10
	// maxReportBytes and maxAnswerBytes bound the messages from a VM to the hub of its zone and back. At five exchanges
	// a second they take 3.3 KB/s of the 4 KB/s that control messages may take for each VM; the rest is for headers and
	// the hubs. A VM gets answers of 6 leaves between two exchanges, and the reports of 15 leaves take 440 bytes.
	maxReportBytes, maxAnswerBytes = 190, 470
	// maxNameBytes bounds the ids and addresses that are accepted.
	maxNameBytes = 128
	// maxPriorities and maxWait bound the wait limits of a gatherer and each time in its load.
	maxPriorities = 64
	maxWait       = time.Minute
)

// builder adds reports to a message until it has maxBytes.
type builder struct {
	msg      *pb.FleetLoad
	now      time.Time
	size     int
	maxBytes int
}

// fits counts the bytes of an entry and reports whether the message stays within its bound.
func (b *builder) fits(entry proto.Message) bool {
	const tagBytes = 1 // field numbers are below 16
	b.size += tagBytes + protowire.SizeBytes(proto.Size(entry))
	return b.size <= b.maxBytes
}

// addLeaf adds a report and returns false where the message is full.
func (b *builder) addLeaf(id catalog.LeafID, r report[replica.Load]) bool {
	entry := &pb.FleetLeafLoad{
		Leaf: id.Name, LeafBorn: id.StartMillis, Running: uint32(r.load.Running), Waiting: uint32(r.load.Waiting),
		Slots: uint32(r.load.Slots), AgeMs: ageMillis(r.at, b.now),
	}
	if !b.fits(entry) {
		return false
	}
	b.msg.Leaves = append(b.msg.Leaves, entry)
	return true
}

// addGatherer adds a report and returns false where the message is full.
func (b *builder) addGatherer(address string, r report[delegate.GathererLoad]) bool {
	entry := &pb.FleetGathererLoad{Address: address, Load: encodePong(r.load), AgeMs: ageMillis(r.at, b.now)}
	if !b.fits(entry) {
		return false
	}
	b.msg.Gatherers = append(b.msg.Gatherers, entry)
	return true
}

// ageMillis returns the age, rounded up, so that a report does not get younger on its way from VM to VM.
func ageMillis(at, now time.Time) uint32 {
	return uint32(math.Ceil(max(0, now.Sub(at)).Seconds() * 1000))
}

func encodePong(l delegate.GathererLoad) *pb.FleetPong {
	pong := &pb.FleetPong{LagUs: l.Lag.Microseconds(), WaitUs: l.Wait.Microseconds(), Leaving: l.Leaving}
	for _, limit := range l.Limits {
		pong.WaitLimitsUs = append(pong.WaitLimitsUs, limit.Microseconds())
	}
	return pong
}

// decodeLeaf returns the report, or false where no leaf can have sent it or it is too old.
func decodeLeaf(msg *pb.FleetLeafLoad) (id catalog.LeafID, load replica.Load, age time.Duration, ok bool) {
	id = catalog.LeafID{Name: msg.GetLeaf(), StartMillis: msg.GetLeafBorn()}
	load = replica.Load{Running: int(msg.GetRunning()), Waiting: int(msg.GetWaiting()), Slots: int(msg.GetSlots())}
	age = time.Duration(msg.GetAgeMs()) * time.Millisecond
	return id, load, age, validName(id.Name) && id.StartMillis >= 0 && load.Valid() && age <= maxAge
}

// decodeGatherer returns the load at the time at, or false where no gatherer can have sent it.
func decodeGatherer(address string, msg *pb.FleetPong, at time.Time) (delegate.GathererLoad, bool) {
	load := delegate.GathererLoad{Address: address, Leaving: msg.GetLeaving(), At: at}
	if msg == nil || !validName(address) || len(msg.GetWaitLimitsUs()) > maxPriorities {
		return load, false
	}
	ok := true
	decode := func(us int64) time.Duration {
		ok = ok && us >= 0 && us <= maxWait.Microseconds()
		return time.Duration(us) * time.Microsecond
	}
	load.Lag, load.Wait = decode(msg.GetLagUs()), decode(msg.GetWaitUs())
	for _, us := range msg.GetWaitLimitsUs() {
		load.Limits = append(load.Limits, decode(us))
	}
	return load, ok
}

func validName(name string) bool { return name != "" && len(name) <= maxNameBytes }
