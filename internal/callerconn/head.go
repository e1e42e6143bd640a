package callerconn

import (
	"errors"
	"io"
	"net"
	"time"
)

const (
	// headSlack is how much more than a head may be read with it: the server reads by its buffer, and a body may follow.
	headSlack = 4 << 10
	// defaultMaxHeadBytes bounds a head where the configuration sets no limit.
	defaultMaxHeadBytes = 1 << 20
	// refusalTimeout bounds writing the answer to a head that is refused.
	refusalTimeout = 10 * time.Millisecond
)

// headStatus says whether a request may go on after some more bytes of it.
type headStatus int

const (
	statusOK headStatus = iota
	statusHeadTooLong
	statusNoMemory
)

// headAnswers are the answers to requests that are refused before the server has read their head.
var headAnswers = map[headStatus]string{
	statusHeadTooLong: "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
	statusNoMemory:    "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n",
}

// refusalReasons are the reasons of these refusals, in metrics.
var refusalReasons = map[headStatus]string{statusHeadTooLong: "head too long", statusNoMemory: "no memory"}

// errHeadRefused ends the reading of a head. It is a net.OpError, upon which the server writes nothing itself.
var errHeadRefused = &net.OpError{Op: "read", Net: "tcp", Err: errors.New("the head of the request was refused")}

// answerHead answers a head that is refused. The server has written all earlier answers.
func (c *conn) answerHead(s headStatus) {
	c.manager.countRefusal(s)
	_ = c.TCPConn.SetWriteDeadline(time.Now().Add(refusalTimeout))
	_, _ = io.WriteString(c.TCPConn, headAnswers[s]) // an error means that the caller has disconnected
}

// headTooLong reports whether a head of n bytes is longer than the configuration in force allows.
func (m *Manager) headTooLong(n int64) bool {
	if n <= m.maxHeadBytes.Load()+headSlack {
		return false
	}
	m.maxHeadBytes.Store(m.currentMaxHeadBytes()) // a new limit may be in force
	return n > m.maxHeadBytes.Load()+headSlack
}

func (m *Manager) currentMaxHeadBytes() int64 {
	if n := m.config.Limits().MaxHeaderBytes; n > 0 {
		return int64(n)
	}
	return defaultMaxHeadBytes
}

// countRefusal counts a request that is refused before the server has read its head.
func (m *Manager) countRefusal(s headStatus) {
	if m.config.Refused != nil {
		m.config.Refused(refusalReasons[s])
	}
}
