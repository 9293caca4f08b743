package batch

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"

	"google.golang.org/protobuf/encoding/protodelim"

	"foxwood/internal/dataplane/batch/batchpb"
)

// Handler serves the worker's side of the batch protocol with net/http. It passes each item to
// ItemHandler as a request of its own, and sends the response as soon as it is complete.
type Handler struct {
	ItemHandler http.Handler
}

// ErrNeverRan is the value that an item handler panics with to state that the item has not run
// and will not run.
var ErrNeverRan = errors.New("batch: the item never ran")

// serverConn is a batch connection on the worker's side.
type serverConn struct {
	controller *http.ResponseController
	w          http.ResponseWriter
	mu         sync.Mutex // guards writes
	cancels    sync.Map   // item id -> context.CancelFunc
	running    sync.WaitGroup
}

// ServeHTTP implements http.Handler. It returns after the gatekeeper has closed its side and
// the last item has ended.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost || r.Header.Get("Content-Type") != ContentType {
		http.Error(w, "a batch link begins with a POST of "+ContentType, http.StatusUnsupportedMediaType)
		return
	}
	conn := &serverConn{w: w, controller: http.NewResponseController(w)}
	if r.ProtoMajor == 1 {
		if err := conn.controller.EnableFullDuplex(); err != nil {
			http.Error(w, err.Error(), http.StatusNotImplemented)
			return
		}
	}
	w.Header().Set("Content-Type", ContentType)
	w.WriteHeader(http.StatusOK)
	_ = conn.controller.Flush()
	ctx, cancel := context.WithCancel(r.Context())
	in := bufio.NewReader(r.Body)
	for conn.handleMessage(ctx, in, h.ItemHandler) == nil {
	}
	cancel()
	conn.running.Wait()
}

// handleMessage handles one message from the gatekeeper.
func (l *serverConn) handleMessage(ctx context.Context, in *bufio.Reader, items http.Handler) error {
	var message batchpb.Up
	if err := (protodelim.UnmarshalOptions{MaxSize: MaxMessageBytes}).UnmarshalFrom(in, &message); err != nil {
		return err
	}
	for _, id := range message.GetGiveUp() {
		if cancel, ok := l.cancels.LoadAndDelete(id); ok {
			cancel.(context.CancelFunc)()
		}
	}
	for _, item := range message.GetItems() {
		ctx, cancel := context.WithCancel(ctx)
		l.cancels.Store(item.GetId(), cancel)
		l.running.Add(1)
		go func() {
			defer l.running.Done()
			defer cancel()
			result := serveItem(ctx, item, items)
			if _, wanted := l.cancels.LoadAndDelete(item.GetId()); wanted && result != nil {
				l.write(&batchpb.Down{Done: []*batchpb.Done{result}})
			}
		}()
	}
	if message.GetPing() > 0 {
		l.write(&batchpb.Down{Pong: message.GetPing()})
	}
	return nil
}

func (l *serverConn) write(message *batchpb.Down) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, err := protodelim.MarshalTo(l.w, message); err == nil {
		_ = l.controller.Flush()
	}
}

// serveItem serves one item. It returns nil if the handler aborts with http.ErrAbortHandler,
// in which case there is no response.
func serveItem(ctx context.Context, item *batchpb.Item, items http.Handler) (result *batchpb.Done) {
	result = &batchpb.Done{Id: item.GetId()}
	request, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(item.GetRequest())))
	if err != nil {
		result.Answer = []byte("HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n")
		return result
	}
	defer func() {
		switch v := recover(); v {
		case nil:
		case ErrNeverRan:
			result.Answer, result.NeverRan = nil, true
		case http.ErrAbortHandler:
			result = nil
		default:
			panic(v)
		}
	}()
	recorder := &responseRecorder{header: http.Header{}, status: http.StatusOK}
	items.ServeHTTP(recorder, request.WithContext(ctx))
	result.Answer = recorder.message()
	return result
}

// responseRecorder collects what a handler writes.
type responseRecorder struct {
	header http.Header
	status int
	body   bytes.Buffer
}

func (a *responseRecorder) Header() http.Header         { return a.header }
func (a *responseRecorder) WriteHeader(status int)      { a.status = status }
func (a *responseRecorder) Write(b []byte) (int, error) { return a.body.Write(b) }

func (a *responseRecorder) message() []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\nContent-Length: %d\r\n", a.status, http.StatusText(a.status), a.body.Len())
	for name, values := range a.header {
		if !strings.EqualFold(name, "Content-Length") {
			for _, v := range values {
				fmt.Fprintf(&b, "%s: %s\r\n", name, v)
			}
		}
	}
	b.WriteString("\r\n")
	_, _ = a.body.WriteTo(&b)
	return b.Bytes()
}
