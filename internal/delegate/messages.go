package delegate

import (
	"net/http"
	"strings"
	"time"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/internal/dispatch"
	"github.com/burdockplank/burdockplank/internal/overload"
)

// encodeSearch returns the message that hands the request over at the time now.
func encodeSearch(from string, req *dispatch.Request, minVersion uint64, now time.Time) *pb.FleetSearch {
	msg := &pb.FleetSearch{
		From: from, Id: req.ID, Method: req.Method, Host: req.Host, Target: req.Target, Body: req.Body,
		RemainingUs: req.Remaining.Microseconds(), ElapsedUs: now.Sub(req.Arrived).Microseconds(),
		NewConnection: req.NewConnection, RoundTripUs: req.RoundTrip.Microseconds(), LagUs: req.Lag.Microseconds(), VersionLeast: minVersion,
		Caller: req.Caller,
	}
	for name, values := range req.Header {
		msg.Headers = append(msg.Headers, &pb.FleetHeader{Name: name, Values: values})
	}
	return msg
}

// decodeSearch returns the request as if it had come from the caller itself.
func decodeSearch(msg *pb.FleetSearch, now time.Time) *dispatch.Request {
	path, _, _ := strings.Cut(msg.GetTarget(), "?")
	req := &dispatch.Request{
		ID: msg.GetId(), Method: msg.GetMethod(), Host: msg.GetHost(), Path: path, Target: msg.GetTarget(),
		Header: make(http.Header, len(msg.GetHeaders())), Body: msg.GetBody(),
		Remaining: microseconds(msg.GetRemainingUs()), Arrived: now.Add(-microseconds(msg.GetElapsedUs())),
		NewConnection: msg.GetNewConnection(), RoundTrip: microseconds(msg.GetRoundTripUs()), Lag: microseconds(msg.GetLagUs()),
		From: msg.GetFrom(), Caller: msg.GetCaller(),
	}
	for _, h := range msg.GetHeaders() {
		req.Header[h.GetName()] = h.GetValues()
	}
	return req
}

// encodeAnswer returns the message with the answer to a search.
func encodeAnswer(a *dispatch.Answer, version uint64) *pb.FleetSearchAnswer {
	if a.Leaf != nil { // a configuration change made it a single request, which may have run
		a = &dispatch.Answer{Outcome: dispatch.Unknown, Reason: a.Reason}
	}
	return &pb.FleetSearchAnswer{
		Outcome: string(a.Outcome), Reason: string(a.Reason), Signatures: a.Signatures, Missing: uint32(a.Missing),
		Records: a.Records, RetryAfterUs: a.RetryAfter.Microseconds(), Version: version,
	}
}

// encodeDecline returns the message that declines a search which the gate refused.
func encodeDecline(d overload.Decision) *pb.FleetSearchAnswer {
	return &pb.FleetSearchAnswer{NotTaken: notTakenBusy, Reason: string(d.Reason), RetryAfterUs: d.RetryAfter.Microseconds()}
}

// encodeLoad returns the message with the load of this VM.
func encodeLoad(lagUs int64, leaving bool, room overload.Room) *pb.FleetPong {
	out := &pb.FleetPong{LagUs: lagUs, Leaving: leaving, WaitUs: room.Wait.Microseconds()}
	for _, limit := range room.Limits {
		out.WaitLimitsUs = append(out.WaitLimitsUs, limit.Microseconds())
	}
	return out
}

// decodeAnswer returns the answer to a search that the gatherer accepted.
func decodeAnswer(msg *pb.FleetSearchAnswer) *dispatch.Answer {
	return &dispatch.Answer{
		Outcome: dispatch.Outcome(msg.GetOutcome()), Reason: dispatch.Reason(msg.GetReason()), Signatures: msg.GetSignatures(),
		Missing: int(msg.GetMissing()), Records: msg.GetRecords(), RetryAfter: microseconds(msg.GetRetryAfterUs()),
	}
}

func microseconds(n int64) time.Duration { return time.Duration(n) * time.Microsecond }
