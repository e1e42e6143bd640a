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

// Request is a request as a caller of the platform sends it.
type Request struct {
	ID, Method, Host, Target, Body string
	// Timeout is how long the caller waits, by its own word.
	Timeout time.Duration
}

// Write sends the request over a kept connection.
func (a *Request) Write(w io.Writer) error {
	_, err := fmt.Fprintf(w, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nRemaining-Milliseconds: %d\r\nContent-Length: %d\r\n\r\n%s",
		a.Method, a.Target, a.Host, a.ID, a.Timeout.Milliseconds(), len(a.Body), a.Body)
	return err
}

// Answer is what a caller gets.
type Answer struct {
	Status   int
	ID, Body string
	// Stamps are the signatures of a single answer, Parts those of a search's parts.
	Stamps, PartStamps []string
	// MissingParts shards of a search; -1 where the answer doesn't say.
	MissingParts int
	// KeepAlive tells whether the connection goes on.
	KeepAlive bool
}

// ReadAnswer reads one whole answer.
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
	parts := func(r rune) bool { return r == ',' || r == ' ' }
	return &Answer{
		Status: resp.StatusCode, ID: resp.Header.Get("Request-Id"), Body: string(body), MissingParts: missing, KeepAlive: !resp.Close,
		Stamps: resp.Header.Values("Server-Stamp"), PartStamps: strings.FieldsFunc(resp.Header.Get("Part-Stamps"), parts),
	}, nil
}

// Ready asks for readiness at the address, as the platform's balancer does.
func Ready(client *http.Client, address string) bool {
	resp, err := client.Get("http://" + address + "/-/readiness")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
