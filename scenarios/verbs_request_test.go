package scenarios

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
)

// requestTimeout is the caller's timeout if the script sets none; the timeouts of the kinds are shorter.
const requestTimeout = 10 * time.Second

// orderKind is the kind of all orders and tickets.
const orderKind = "booking"

// baseRequest returns a request with the options common to all requests: via=VM, timeout=D, as=CALLER,
// slow=D, cut_after=BYTES and http1.
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
		return nil, fmt.Errorf("unknown caller %q", as)
	}
	return q, nil
}

// runRequest sends the request, in the background if it has a name.
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

// verbTicket is: ticket NAME [via=VM] [timeout=D] [as=CALLER]. It stores the ticket under the name.
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
		return fmt.Errorf("ticket %s already exists", name)
	}
	q.issue = &pb.IssueTicketRequest{Service: serviceName, Kind: orderKind}
	rep := f.runRequest(q, "")
	f.requests.tickets[name] = &issuedTicket{text: rep.issue.GetTicket(), key: "key of " + name, payload: "payload of " + name}
	return nil
}

// verbSend is: send TICKET [via=VM] [timeout=D] [as=CALLER] [key=K] [payload=P] [&NAME]. Key and
// payload default to those of the ticket.
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

// verbOrder requests a ticket and sends its order for the first time, both through the same entry.
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
		return fmt.Errorf("no ticket was issued: %s", last)
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

// verbExpect compares the last reply with its arguments; README.md lists them.
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

// verbUntil repeats a request until its reply is as expected:
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
