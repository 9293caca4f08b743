// Package admin is the HTTP server for operators. At an address of its own it reports whether a
// gatekeeper can serve, and its statistics. It never waits for the event loop.
package admin

import (
	"errors"
	"fmt"
	"io"
	"log"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

const (
	// MaxDescriptors is how many file descriptors the server uses at most: the listener, the
	// connections, and one that was just accepted and displaces another.
	MaxDescriptors = maxConnections + 2
	maxConnections = 8

	requestTimeout = 3 * time.Second // from the connection to the end of the response
	maxHeaderBytes = 4 << 10
)

// StatusSource is what the server reports. Its methods are called by any goroutine and must not block.
type StatusSource interface {
	Serving() bool      // whether clients are accepted
	StatsLines() []byte // the statistics, one per line
}

// Server is the server for operators.
type Server struct {
	listener net.Listener
	server   http.Server

	mu          sync.Mutex
	connections []net.Conn // the oldest first
}

// Listen starts the server at an address.
func Listen(addr string, source StatusSource) (*Server, error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("control: admin server: %w", err)
	}
	door := &Server{listener: listener}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /admin/health", func(w http.ResponseWriter, _ *http.Request) {
		if source.Serving() {
			respond(w, http.StatusOK, []byte("ok\n"))
		} else {
			respond(w, http.StatusServiceUnavailable, []byte("not serving\n"))
		}
	})
	mux.HandleFunc("GET /admin/stats", func(w http.ResponseWriter, _ *http.Request) {
		respond(w, http.StatusOK, source.StatsLines())
	})
	door.server = http.Server{Handler: mux, ReadTimeout: requestTimeout, WriteTimeout: requestTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: log.New(io.Discard, "", 0), ConnState: door.trackConnection, DisableGeneralOptionsHandler: true}
	door.server.SetKeepAlivesEnabled(false) // one request per connection
	go func() {
		if err := door.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			slog.Error("control: admin server stopped", "error", err)
		}
	}()
	return door, nil
}

func respond(writer http.ResponseWriter, status int, text []byte) {
	header := writer.Header()
	header.Set("Content-Type", "text/plain; charset=utf-8")
	header.Set("Cache-Control", "no-store")
	header.Set("Content-Length", strconv.Itoa(len(text)))
	writer.WriteHeader(status)
	_, _ = writer.Write(text)
}

// trackConnection keeps the list of open connections. Beyond maxConnections it closes the
// oldest, so that clients that connect and send nothing can't keep others out.
func (d *Server) trackConnection(conn net.Conn, state http.ConnState) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch state {
	case http.StateNew:
		d.connections = append(d.connections, conn)
		if len(d.connections) > maxConnections {
			_ = d.connections[0].Close() // the HTTP server then reports StateClosed for it
			d.connections = d.connections[1:]
		}
	case http.StateClosed, http.StateHijacked:
		d.connections = slices.DeleteFunc(d.connections, func(o net.Conn) bool { return o == conn })
	}
}

// Addr returns the address of the server.
func (d *Server) Addr() string { return d.listener.Addr().String() }

// Close stops the server and closes its connections.
func (d *Server) Close() error { return d.server.Close() }
