package scenarios

import (
	"context"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	pb "github.com/burdockplank/burdockplank/api/burdock/v1"
	"github.com/burdockplank/burdockplank/api/burdock/v1/burdockv1connect"
	"github.com/burdockplank/burdockplank/internal/entry"
	"github.com/burdockplank/burdockplank/internal/settings"
)

// procedurePaths holds the HTTP paths that the verb post can call.
var procedurePaths = map[string]string{
	"search": burdockv1connect.QueryServiceSearchProcedure,
	"ticket": burdockv1connect.QueryServiceIssueTicketProcedure,
	"order":  burdockv1connect.QueryServiceOrderProcedure,
	"none":   "/burdock.v1.QueryService/None",
}

// verbPost is: post search|ticket|order|none BODY [via=vm-1] [as=CALLER] [type=T] [deadline=TEXT]
// [repeat=N] [short=BYTES]. It sends an arbitrary body, repeated N times, as a caller
// without the client library may. With short the body ends that many bytes before its Content-Length.
func verbPost(f *fleet, a *arguments) error {
	q, err := f.baseRequest(a)
	if err != nil {
		return err
	}
	kind, deadline := a.text("type", "application/json"), a.text("deadline", "")
	repeat, short := a.number("repeat", 1), a.number("short", 0)
	if err := a.validate(2, 2); err != nil {
		return err
	}
	path := procedurePaths[a.words[0]]
	if path == "" {
		return fmt.Errorf("unknown procedure %q", a.words[0])
	}
	body := strings.Repeat(a.words[1], repeat)
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	url := fmt.Sprintf("http://%s:%d%s", q.entry.bind, settings.DefaultEntryPort, path)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body[:max(0, len(body)-short)]))
	if err != nil {
		return err
	}
	if short > 0 {
		req.Body, req.ContentLength = io.NopCloser(req.Body), int64(len(body))
	}
	req.Header.Set("Authorization", "Bearer "+q.token)
	req.Header.Set("Content-Type", kind)
	if deadline != "" {
		req.Header.Set(entry.HeaderTimeout, deadline)
	}
	rep := &reply{request: q}
	start := time.Now()
	res, err := controlClient.Do(req)
	rep.elapsed = time.Since(start)
	if err == nil {
		rep.header = res.Header.Get(entry.HeaderRequestID)
		rep.outcome, err = decodeOutcome(res)
	}
	rep.err = err
	f.requests.record(rep)
	f.requests.setLast(rep)
	return nil
}

// decodeOutcome returns the typed outcome of a connect error in JSON.
func decodeOutcome(res *http.Response) (*pb.Outcome, error) {
	defer func() { _ = res.Body.Close() }()
	var e struct {
		Details []struct {
			Type  string `json:"type"`
			Value string `json:"value"`
		} `json:"details"`
	}
	if err := json.NewDecoder(res.Body).Decode(&e); err != nil {
		return nil, fmt.Errorf("%s: %w", res.Status, err)
	}
	for _, d := range e.Details {
		if d.Type != string((&pb.Outcome{}).ProtoReflect().Descriptor().FullName()) {
			continue
		}
		raw, err := base64.RawStdEncoding.DecodeString(d.Value)
		if err != nil {
			return nil, err
		}
		o := &pb.Outcome{}
		return o, proto.Unmarshal(raw, o)
	}
	return nil, fmt.Errorf("status %s without an outcome", res.Status)
}

// verbPause is: pause PROCESS... for=D. It freezes the processes for D and wakes them.
func verbPause(f *fleet, a *arguments) error {
	lasts := a.duration("for", 0)
	if err := eachProcess((*daemon).Freeze)(f, a); err != nil {
		return err
	}
	time.Sleep(lasts)
	return eachProcess((*daemon).Resume)(f, a)
}
