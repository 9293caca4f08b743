// Package admin is the operators' door: an address of its own, at which a gatekeeper tells
// whether it can serve and how it has served. It never waits for the loop.
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
	// Descriptors is how many the door may hold: its listener, its callers, and one that
	// has been accepted and takes the place of another.
	Descriptors = callersMost + 2
	callersMost = 8

	patience = 3 * time.Second // for a whole call, from its connection to its answer
	headMost = 4 << 10
)

// Source is what the door tells. Its methods are called by any goroutine and may not block.
type Source interface {
	Serving() bool // clients may come
	Lines() []byte // the figures, one a line
}

// Door serves operators.
type Door struct {
	listener net.Listener
	server   http.Server

	mu      sync.Mutex
	callers []net.Conn // the one that connected first comes first
}

// Listen opens the door at an address.
func Listen(addr string, s Source) (*Door, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("control: %w", err)
	}
	d := &Door{listener: ln}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /admin/health", func(w http.ResponseWriter, _ *http.Request) {
		if s.Serving() {
			answer(w, http.StatusOK, []byte("ok\n"))
		} else {
			answer(w, http.StatusServiceUnavailable, []byte("not serving\n"))
		}
	})
	mux.HandleFunc("GET /admin/stats", func(w http.ResponseWriter, _ *http.Request) {
		answer(w, http.StatusOK, s.Lines())
	})
	d.server = http.Server{Handler: mux, ReadTimeout: patience, WriteTimeout: patience, MaxHeaderBytes: headMost,
		ErrorLog: log.New(io.Discard, "", 0), ConnState: d.state, DisableGeneralOptionsHandler: true}
	d.server.SetKeepAlivesEnabled(false) // one call a connection
	go func() {
		if err := d.server.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			slog.Error("control: door shut", "error", err)
		}
	}()
	return d, nil
}

func answer(w http.ResponseWriter, status int, text []byte) {
	h := w.Header()
	h.Set("Content-Type", "text/plain; charset=utf-8")
	h.Set("Cache-Control", "no-store")
	h.Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(status)
	_, _ = w.Write(text)
}

// state keeps the list of callers. It guards against callers that connect and say nothing:
// past the bound the one that has been there longest goes, so that a new one is heard.
func (d *Door) state(c net.Conn, s http.ConnState) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch s {
	case http.StateNew:
		d.callers = append(d.callers, c)
		if len(d.callers) > callersMost {
			_ = d.callers[0].Close() // its own goroutine reports the rest
			d.callers = d.callers[1:]
		}
	case http.StateClosed, http.StateHijacked:
		d.callers = slices.DeleteFunc(d.callers, func(o net.Conn) bool { return o == c })
	}
}

// Addr is where the door is.
func (d *Door) Addr() string { return d.listener.Addr().String() }

// Close shuts the door and ends its calls.
func (d *Door) Close() error { return d.server.Close() }
