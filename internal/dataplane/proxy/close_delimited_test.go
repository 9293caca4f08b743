package proxy

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const (
	closeDelimitedBytes = 256 << 10 // more than is buffered before an answer is streamed
	sentAtOnceBytes     = 192 << 10
)

// startCloseDelimitedAnswer sends an HTTP/1.0 request, whose answer has no length and so ends with the connection. It
// returns when the client has part of the body; the worker sends the rest once resume is closed.
func startCloseDelimitedAnswer(t *testing.T, proxy *testProxy, resume <-chan bool) *testClient {
	t.Helper()
	worker := startStreamWorker(t, "w", func(r *http.Request, c net.Conn) {
		text := repeatedText(closeDelimitedBytes)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nConnection: close\r\n"+postmarkLine+tryIDPrefix+r.Header.Get(headerTryID)+"\r\n\r\n"+text[:sentAtOnceBytes])
		<-resume
		_, _ = io.WriteString(c, text[sentAtOnceBytes:])
		_ = c.Close()
	})
	proxy.receive(fullList(1, worker), newConfig(t, 1, []routeSpec{{prefix: "/", destination: "a", unsafe: true}}))
	client := proxy.dial().send(strings.Replace(newRequest("GET", "/", "", ""), "HTTP/1.1", "HTTP/1.0", 1))
	_, err := client.reader.Peek(1)
	assert.NilError(t, err)
	return client
}

// TestEndOfProcessDoesNotCompleteAnswer guards against an orderly close of the connection when the process ends in the
// middle of an answer that ends with its connection: the client took what it had for the whole answer.
func TestEndOfProcessDoesNotCompleteAnswer(t *testing.T) {
	t.Parallel()
	proxy := newTestProxy(t)
	resume := make(chan bool)
	defer close(resume)
	client := startCloseDelimitedAnswer(t, proxy, resume)
	proxy.stop() // closes the sockets, as the kernel does for a process that is killed
	assert.Assert(t, !client.complete(), "the client took part of the answer for all of it")
}

// TestCloseDelimitedAnswerEndsInOrder checks that the whole of such an answer arrives and ends with an orderly close.
func TestCloseDelimitedAnswerEndsInOrder(t *testing.T) {
	t.Parallel()
	proxy := newTestProxy(t)
	resume := make(chan bool)
	client := startCloseDelimitedAnswer(t, proxy, resume)
	close(resume)
	_, body := client.readResponse()
	assert.Equal(t, body, repeatedText(closeDelimitedBytes))
}
