package scenarios

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
)

// requestTimeout is the caller's deadline where the script gives none; the kinds' own are shorter.
const requestTimeout = 10 * time.Second

// The kinds that the verbs use where the script gives none.
const orderKind = "booking"

// baseRequest takes the options that all requests have: via=VM, timeout=D, as=CALLER, slow=D, cut_after=BYTES
// and http1.
func (f *fleet) baseRequest(a *arguments) (*request, error) {
	entry, err := f.vm(a.text("via", f.vms[0].name))
	if err != nil {
		return nil, err
	}
	q := &request{
		entry: entry, timeout: a.duration("timeout", requestTimeout),
		connection: connection{readDelay: a.duration("slow", 0), cutAfterBytes: a.number("cut_after", 0), http1: a.flag("http1")},
	}
	switch as := a.text("as", callerName); as {
	case callerName:
		q.token = callerToken
	case otherName:
		q.token = otherToken
	case "nobody":
		q.token = "token-of-nobody"
	default:
		return nil, fmt.Errorf("no caller %q", as)
	}
	return q, nil
}

// runRequest sends the request, in the background where it has a name.
func (f *fleet) runRequest(q *request, name string) *reply {
	if name != "" {
		f.requests.background(name, q)
		return nil
	}
	rep := q.send()
	f.requests.record(rep)
	f.requests.setLast(rep)
	return rep
}

// verbSearch is: search KIND QUERY [via=VM] [timeout=D] [as=CALLER] [top_k=N] [service=NAME] [&NAME]
func verbSearch(f *fleet, a *arguments) error {
	q, err := f.searchRequest(a)
	if err != nil {
		return err
	}
	name := a.name()
	if err := a.validate(2, 2); err != nil {
		return err
	}
	q.search.Kind, q.search.Query = a.words[0], a.words[1]
	f.runRequest(q, name)
	return nil
}

func (f *fleet) searchRequest(a *arguments) (*request, error) {
	q, err := f.baseRequest(a)
	if err != nil {
		return nil, err
	}
	q.search = &pb.SearchRequest{Service: a.text("service", serviceName), TopK: int32(a.number("top_k", 0))}
	return q, nil
}

// verbTicket is: ticket NAME [via=VM] [timeout=D] [as=CALLER]. The ticket is kept under the name.
func verbTicket(f *fleet, a *arguments) error {
	q, err := f.baseRequest(a)
	if err != nil {
		return err
	}
	if err := a.validate(1, 1); err != nil {
		return err
	}
	name := a.words[0]
	if f.requests.tickets[name] != nil {
		return fmt.Errorf("there is a ticket %s already", name)
	}
	q.issue = &pb.IssueTicketRequest{Service: serviceName, Kind: orderKind}
	rep := f.runRequest(q, "")
	f.requests.tickets[name] = &issuedTicket{text: rep.issue.GetTicket(), key: "key of " + name, payload: "payload of " + name}
	return nil
}

// verbSend is: send TICKET [via=VM] [timeout=D] [as=CALLER] [key=K] [payload=P] [&NAME]. Key and
// payload are those of the ticket where the script gives none.
func verbSend(f *fleet, a *arguments) error {
	q, err := f.baseRequest(a)
	if err != nil {
		return err
	}
	name := a.name()
	if len(a.words) != 1 || f.requests.tickets[a.words[0]] == nil {
		return fmt.Errorf("want one ticket's name, got %q", a.words)
	}
	t := f.requests.tickets[a.words[0]]
	q.order = &pb.OrderRequest{
		Ticket: t.text, Service: serviceName, Kind: orderKind,
		Key: a.text("key", t.key), Payload: a.text("payload", t.payload),
	}
	if err := a.validate(1, 1); err != nil {
		return err
	}
	f.runRequest(q, name)
	return nil
}

// verbOrder is a ticket and the first send of its order, both through the same entry.
func verbOrder(f *fleet, a *arguments) error {
	if len(a.words) != 1 {
		return fmt.Errorf("want one name for the ticket, got %q", a.words)
	}
	via := a.text("via", f.vms[0].name)
	words := []string{a.words[0], "via=" + via}
	if err := verbTicket(f, parseArguments(words)); err != nil {
		return err
	}
	if last, _ := f.requests.getLast(); last.issue == nil {
		return fmt.Errorf("no ticket: %s", last)
	}
	if err := a.validate(1, 1); err != nil {
		return err
	}
	return verbSend(f, parseArguments(words))
}

// verbReply waits for a background request and makes its reply the last one.
func verbReply(f *fleet, a *arguments) error {
	if err := a.validate(1, 1); err != nil {
		return err
	}
	return await("reply "+a.words[0], awaitTimeout, func() error { return f.requests.takeReply(a.words[0]) })
}

// verbExpect compares the last reply with its words; README.md lists them.
func verbExpect(ts *testscript.TestScript, neg bool, args []string) {
	last, err := fleetOf(ts).requests.getLast()
	ts.Check(err)
	err = expect(last, args)
	if neg && err == nil {
		ts.Fatalf("the reply is as it should not be: %s", last)
	}
	if !neg {
		ts.Check(err)
	}
}

// verbUntil sends a request again until its reply is as expected:
// until EXPECTATION... -- search|send ARGUMENT...
func verbUntil(ts *testscript.TestScript, neg bool, args []string) {
	f := fleetOf(ts)
	i := slices.Index(args, "--")
	if neg || i < 1 || i+2 > len(args) {
		ts.Fatalf("want: until EXPECTATION... -- search|send ARGUMENT...")
	}
	send := map[string]verb{"search": verbSearch, "send": verbSend}[args[i+1]]
	if send == nil {
		ts.Fatalf("until can search and send, not %s", args[i+1])
	}
	err := await("until "+args[0], awaitTimeout, func() error {
		if err := send(f, parseArguments(args[i+2:])); err != nil {
			return err
		}
		last, err := f.requests.getLast()
		return errors.Join(err, expect(last, args[:i]))
	})
	if last, lerr := f.requests.getLast(); lerr == nil {
		ts.Logf("%s", last)
	}
	ts.Check(err)
}
