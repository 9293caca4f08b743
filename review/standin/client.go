package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// piece is a part of a request's body, sent after a pause.
type piece struct {
	after time.Duration
	bytes int
}

// result is how a client's try ended.
type result struct {
	status int // 0 if the connection ended without an answer
	body   string
	stamp  string
	err    error
}

// try sends one request on a connection of its own, its body in pieces, and reads the answer, also while it still sends.
func try(addr, method, host, path, id string, timeLeft time.Duration, pieces []piece, patience time.Duration) result {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return result{err: err}
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(patience))
	length := 0
	for _, p := range pieces {
		length += p.bytes
	}
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Foxwood-Try-Id: %s\r\nX-Foxwood-Time-Left: %d\r\n", method, path, host, id, timeLeft.Milliseconds())
	if len(pieces) > 0 {
		head += fmt.Sprintf("Content-Length: %d\r\n", length)
	}
	if _, err := io.WriteString(conn, head+"\r\n"); err != nil {
		return result{err: err}
	}
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		for _, p := range pieces {
			time.Sleep(p.after)
			body := make([]byte, p.bytes)
			for i := range body {
				body[i] = id[i%len(id)]
			}
			if _, err := conn.Write(body); err != nil {
				return
			}
		}
	}()
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
	if err != nil {
		return result{err: err}
	}
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return result{err: err}
	}
	return result{status: response.StatusCode, body: string(text), stamp: response.Header.Get("X-Foxwood-Postmark")}
}

// keptClient is a client that keeps its connection for many requests.
type keptClient struct {
	addr   string
	conn   net.Conn
	reader *bufio.Reader
}

func (c *keptClient) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// get sends a GET on the kept connection, or on a new one.
func (c *keptClient) get(host, path, id string, timeLeft time.Duration) result {
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.addr, time.Second)
		if err != nil {
			return result{err: err}
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	_ = c.conn.SetDeadline(time.Now().Add(timeLeft))
	if _, err := fmt.Fprintf(c.conn, "GET %s HTTP/1.1\r\nHost: %s\r\nX-Foxwood-Try-Id: %s\r\nX-Foxwood-Time-Left: %d\r\n\r\n", path, host, id, timeLeft.Milliseconds()); err != nil {
		c.close()
		return result{err: err}
	}
	response, err := http.ReadResponse(c.reader, &http.Request{Method: "GET"})
	if err != nil {
		c.close()
		return result{err: err}
	}
	text, err := io.ReadAll(response.Body)
	if err != nil {
		c.close()
		return result{err: err}
	}
	if response.Close {
		c.close()
	}
	return result{status: response.StatusCode, body: string(text), stamp: response.Header.Get("X-Foxwood-Postmark")}
}

// bodyOf returns the body of n bytes that a worker answers to a try.
func bodyOf(id string, n int) string {
	body := make([]byte, n)
	for i := range body {
		body[i] = id[i%len(id)]
	}
	return string(body)
}
