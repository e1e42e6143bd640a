package hosted

// EndlessReplies returns replies to the attempt that a faulty leaf never ends, by what is endless: bytes that are no answer, a part
// of the head, or the body.
func EndlessReplies(id string) map[string]Reply {
	head := "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nServer-Stamp: i-1." + id + "\r\n"
	chunked := head + "Transfer-Encoding: chunked\r\n\r\n"
	return map[string]Reply{
		"no HTTP":            {Raw: []byte{0}, Endless: []byte("\x00\x01\x02")},
		"status line":        {Raw: []byte("HTTP/1.1 200 "), Endless: []byte("O")},
		"header":             {Raw: []byte("HTTP/1.1 200 OK\r\nRequest-Id: "), Endless: []byte("r")},
		"headers":            {Raw: []byte("HTTP/1.1 200 OK\r\n"), Endless: []byte("X-Name: value\r\n")},
		"continuation lines": {Raw: []byte("HTTP/1.1 200 OK\r\nX-Name: a\r\n"), Endless: []byte(" b\r\n")},
		"interim answers":    {Raw: []byte{}, Endless: []byte("HTTP/1.1 103 Early Hints\r\n\r\n")},
		"chunks":             {Raw: []byte(chunked), Endless: []byte("4\r\nbody\r\n")},
		"chunk extension":    {Raw: []byte(chunked + "4;"), Endless: []byte("x")},
		"body":               {Raw: []byte(head + "Connection: close\r\n\r\n"), Endless: []byte("body")},
	}
}
