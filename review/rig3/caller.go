package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// result is a response that a caller got.
type result struct {
	status int
	header http.Header
	body   []byte
	err    error
}

// callerHost is the host of all routes.
const callerHost = "search.example"

// ask sends a request over a new connection and reads the response.
func ask(address, method, path, id string, deadline time.Duration, body []byte) result {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return result{err: err}
	}
	defer func() { _ = c.Close() }()
	return askOver(c, bufio.NewReader(c), method, path, id, deadline, body)
}

// askOver sends a request over a connection and reads the response.
func askOver(c net.Conn, reader *bufio.Reader, method, path, id string, deadline time.Duration, body []byte) result {
	_ = c.SetDeadline(time.Now().Add(deadline))
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n", method, path, callerHost, headerRequest, id, headerDeadline, deadline.Milliseconds())
	if len(body) > 0 || method == http.MethodPost {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n")
	b.Write(body)
	if _, err := io.WriteString(c, b.String()); err != nil {
		return result{err: err}
	}
	response, err := http.ReadResponse(reader, &http.Request{Method: method})
	if err != nil {
		return result{err: err}
	}
	text, err := io.ReadAll(response.Body)
	return result{status: response.StatusCode, header: response.Header, body: text, err: err}
}
