package hosted

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Request is a request as a caller sends it to the platform.
type Request struct {
	ID, Method, Host, Target, Body string
	// Timeout is the time that the caller announces it will wait, sent in Remaining-Milliseconds.
	Timeout time.Duration
}

// Write writes the request to w, a connection that stays open after the answer.
func (a *Request) Write(w io.Writer) error {
	_, err := fmt.Fprintf(w, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nRemaining-Milliseconds: %d\r\nContent-Length: %d\r\n\r\n%s",
		a.Method, a.Target, a.Host, a.ID, a.Timeout.Milliseconds(), len(a.Body), a.Body)
	return err
}

// Answer is the answer that a caller receives.
type Answer struct {
	Status   int
	ID, Body string
	// Stamps are the leaf signatures of a single answer, PartStamps those of the parts of a search.
	Stamps, PartStamps []string
	// MissingParts is the number of shards that a search misses; -1 if the answer has no valid header.
	MissingParts int
	// KeepAlive reports whether the connection stays open.
	KeepAlive bool
}

// ReadAnswer reads one answer with its body. It returns an error if the answer is malformed or
// truncated.
func ReadAnswer(r *bufio.Reader) (*Answer, error) {
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		return nil, err
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, err
	}
	missing, err := strconv.Atoi(resp.Header.Get("Missing-Parts"))
	if err != nil {
		missing = -1
	}
	isSeparator := func(r rune) bool { return r == ',' || r == ' ' }
	return &Answer{
		Status: resp.StatusCode, ID: resp.Header.Get("Request-Id"), Body: string(body), MissingParts: missing, KeepAlive: !resp.Close,
		Stamps: resp.Header.Values("Server-Stamp"), PartStamps: strings.FieldsFunc(resp.Header.Get("Part-Stamps"), isSeparator),
	}, nil
}

// Ready reports whether the VM at the address answers the readiness check with 200, which it
// requests as the platform's balancer does.
func Ready(client *http.Client, address string) bool {
	resp, err := client.Get("http://" + address + "/-/readiness")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
