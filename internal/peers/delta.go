package peers

import (
	"time"

	"google.golang.org/protobuf/proto"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/internal/mirror"
)

// encodeDelta writes the delta into the message.
func encodeDelta(msg *pb.FleetExchange, d *mirror.Delta, now time.Time) {
	msg.Era, msg.EraAgeMs, msg.EraBase = d.Era, d.EraAge.Milliseconds(), d.Base
	msg.CompleteFrom, msg.CompleteTo, msg.Full = d.CompleteFrom, d.CompleteTo, d.Full
	msg.Items = encodeItems(d.Items, now)
	if !d.ReadAt.IsZero() {
		msg.ReadAgeMs = proto.Int64(now.Sub(d.ReadAt).Milliseconds())
	}
	for _, e := range d.Earlier {
		msg.Earlier = append(msg.Earlier, &pb.FleetEra{
			Era: e.Era, EraAgeMs: e.EraAge.Milliseconds(), EraBase: e.Base,
			CompleteFrom: e.CompleteFrom, CompleteTo: e.CompleteTo, Full: e.Full, Items: encodeItems(e.Items, now),
		})
	}
}

// decodeDelta returns the delta of a message.
func decodeDelta(msg *pb.FleetExchange, now time.Time) mirror.Delta {
	d := mirror.Delta{
		Era: msg.GetEra(), EraAge: milliseconds(msg.GetEraAgeMs()), Base: msg.GetEraBase(),
		CompleteFrom: msg.GetCompleteFrom(), CompleteTo: msg.GetCompleteTo(), Full: msg.GetFull(), Items: decodeItems(msg.GetItems(), now),
	}
	if msg.ReadAgeMs != nil {
		d.ReadAt = now.Add(-milliseconds(msg.GetReadAgeMs()))
	}
	for _, e := range msg.GetEarlier() {
		d.Earlier = append(d.Earlier, mirror.Delta{
			Era: e.GetEra(), EraAge: milliseconds(e.GetEraAgeMs()), Base: e.GetEraBase(),
			CompleteFrom: e.GetCompleteFrom(), CompleteTo: e.GetCompleteTo(), Full: e.GetFull(), Items: decodeItems(e.GetItems(), now),
		})
	}
	return d
}

func encodeItems(items []mirror.Item, now time.Time) []*pb.FleetItem {
	var out []*pb.FleetItem
	for _, it := range items {
		item := &pb.FleetItem{Key: it.Key, Revision: it.Revision, Value: it.Value, Deleted: it.Deleted}
		if it.Deleted {
			item.DeletedAgeMs = now.Sub(it.DeletedSince).Milliseconds()
		}
		out = append(out, item)
	}
	return out
}

func decodeItems(items []*pb.FleetItem, now time.Time) []mirror.Item {
	var out []mirror.Item
	for _, it := range items {
		item := mirror.Item{Key: it.GetKey(), Revision: it.GetRevision(), Value: it.GetValue(), Deleted: it.GetDeleted()}
		if item.Deleted {
			item.DeletedSince = now.Add(-milliseconds(it.GetDeletedAgeMs()))
		}
		out = append(out, item)
	}
	return out
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

// progressOf returns the progress that the sender of a message reports of itself.
func progressOf(msg *pb.FleetExchange) mirror.Progress {
	p := mirror.Progress{{Era: msg.GetEra(), Revision: msg.GetCompleteTo()}}
	for _, e := range msg.GetEarlier() {
		p = append(p, mirror.Position{Era: e.GetEra(), Revision: e.GetCompleteTo()})
	}
	return p
}

// stripItems removes the items from the message. It still states how much its sender knows.
func stripItems(msg *pb.FleetExchange) {
	msg.Items, msg.Full, msg.CompleteFrom = nil, false, msg.GetCompleteTo()
	for _, e := range msg.GetEarlier() {
		e.Items, e.Full, e.CompleteFrom = nil, false, e.GetCompleteTo()
	}
}

// itemBytes returns the approximate size of the message's items in bytes.
func itemBytes(msg *pb.FleetExchange) int {
	n := sizeOf(msg.GetItems())
	for _, e := range msg.GetEarlier() {
		n += sizeOf(e.GetItems())
	}
	return n
}

func sizeOf(items []*pb.FleetItem) int {
	n := 0
	for _, it := range items {
		n += len(it.GetKey()) + len(it.GetValue())
	}
	return n
}
