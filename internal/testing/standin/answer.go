package standin

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// Framing is how a client can tell where an answer ends.
type Framing int

// The framings.
const (
	FramedByLength Framing = iota // Content-Length
	FramedByChunks                // chunked encoding
	FramedByClose                 // the end of the connection
)

// AnswerEnd is what a worker does in the middle of an answer.
type AnswerEnd int

// The ends.
const (
	EndWhole AnswerEnd = iota // sends the rest
	EndClose                  // closes the connection
	EndReset                  // resets the connection
)

// AnswerForm is how a worker sends an answer. The zero value is an ordinary answer with its length.
type AnswerForm struct {
	Framing Framing
	End     AnswerEnd
	Pause   time.Duration // in the middle of the body
}

// send writes an answer with the headers set so far, and ends its connection.
func (f AnswerForm) send(rw http.ResponseWriter, body string) {
	conn, _, err := rw.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	header := rw.Header()
	header.Set("Connection", "close")
	if f.Framing == FramedByLength {
		header.Set("Content-Length", fmt.Sprint(len(body)))
	}
	if f.Framing == FramedByChunks {
		header.Set("Transfer-Encoding", "chunked")
	}
	_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n")
	_ = header.Write(conn)
	half := len(body) / 2
	_, _ = io.WriteString(conn, "\r\n"+f.piece(body[:half]))
	time.Sleep(f.Pause)
	switch f.End {
	case EndWhole:
		_, _ = io.WriteString(conn, f.piece(body[half:]))
		if f.Framing == FramedByChunks {
			_, _ = io.WriteString(conn, "0\r\n\r\n")
		}
	case EndClose:
	case EndReset:
		_ = conn.(*net.TCPConn).SetLinger(0)
	}
}

// piece returns a part of the body as it is sent.
func (f AnswerForm) piece(text string) string {
	if f.Framing != FramedByChunks || text == "" {
		return text
	}
	return fmt.Sprintf("%x\r\n%s\r\n", len(text), text)
}
