// Package metrics serves a process's own figures over HTTP in the Prometheus text exposition format. Figures are
// read from the process at each scrape, and cost nothing between two.
package metrics

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"foxwood/internal/rpc"
)

// namespace begins the name of each figure.
const namespace = "foxwood"

const (
	readMost  = 2 * time.Second
	writeMost = 5 * time.Second
	idleMost  = 15 * time.Second
	headMost  = 4 << 10 // bytes of a request's header
)

// Label tells figures of one name apart.
type Label struct{ Name, Value string }

// Figure is one value as of a scrape.
type Figure struct {
	Name    string // without the namespace; counters end in _total, others in their unit
	Help    string
	Counter bool // it only grows while the process lives
	Labels  []Label
	Value   float64
}

// Gauge is a figure that rises and falls.
func Gauge(name, help string, value float64, labels ...Label) Figure {
	return Figure{Name: name, Help: help, Labels: labels, Value: value}
}

// Count is a figure that only grows.
func Count(name, help string, value uint64, labels ...Label) Figure {
	return Figure{Name: name, Help: help, Counter: true, Labels: labels, Value: float64(value)}
}

// Flag is a gauge of 1 where something holds, else of 0.
func Flag(name, help string, holds bool, labels ...Label) Figure {
	value := 0.0
	if holds {
		value = 1
	}
	return Gauge(name, help, value, labels...)
}

// Source tells a process's figures as they stand. It may be asked at any time and by any goroutine.
type Source interface {
	Figures(ctx context.Context) []Figure
}

// Endpoint is where figures are served, written PORT/PATH.
type Endpoint struct {
	Port int
	Path string // with its slash
}

// ParseEndpoint reads PORT/PATH.
func ParseEndpoint(text string) (Endpoint, error) {
	port, path, ok := strings.Cut(text, "/")
	n, err := strconv.Atoi(port)
	if !ok || err != nil || n < 1 || n > 65535 {
		return Endpoint{}, fmt.Errorf("metrics: %q is not PORT/PATH", text)
	}
	return Endpoint{Port: n, Path: "/" + path}, nil
}

// collector reads a source at each scrape.
type collector struct {
	source Source
}

// Describe tells nothing beforehand: which labels there are is known at a scrape only.
func (collector) Describe(chan<- *prometheus.Desc) {}

// Collect implements prometheus.Collector.
func (c collector) Collect(to chan<- prometheus.Metric) {
	ctx, cancel := context.WithTimeout(context.Background(), readMost)
	defer cancel()
	for _, f := range append(c.source.Figures(ctx), calls()...) {
		to <- f.metric()
	}
}

func (f Figure) metric() prometheus.Metric {
	names, values := make([]string, len(f.Labels)), make([]string, len(f.Labels))
	for i, l := range f.Labels {
		names[i], values[i] = l.Name, l.Value
	}
	kind := prometheus.GaugeValue
	if f.Counter {
		kind = prometheus.CounterValue
	}
	desc := prometheus.NewDesc(prometheus.BuildFQName(namespace, "", f.Name), f.Help, names, nil)
	m, err := prometheus.NewConstMetric(desc, kind, f.Value, values...)
	if err != nil {
		return prometheus.NewInvalidMetric(desc, err)
	}
	return m
}

// calls are the calls between processes that this one has sent.
func calls() (figures []Figure) {
	for call, sent := range rpc.Sent() {
		call = strings.TrimPrefix(call, "waymark.")
		label := Label{"call", call}
		figures = append(figures, Count("rpc_sent_frames_total", "Frames sent to other processes, by call; answers have an arrow before the name.", sent[0], label),
			Count("rpc_sent_bytes_total", "Bytes sent to other processes, by call; answers have an arrow before the name.", sent[1], label))
	}
	return figures
}

// Handler answers scrapes of a source.
func Handler(source Source) http.Handler {
	registry := prometheus.NewRegistry()
	registry.MustRegister(collector{source})
	return promhttp.HandlerFor(registry, promhttp.HandlerOpts{DisableCompression: true, MaxRequestsInFlight: 1})
}

// Serve answers scrapes at an address of this machine until the context ends.
func Serve(ctx context.Context, ip string, at Endpoint, source Source) error {
	listener, err := rpc.Listen(net.JoinHostPort(ip, strconv.Itoa(at.Port)))
	if err != nil {
		return fmt.Errorf("metrics: %w", err)
	}
	mux := http.NewServeMux()
	mux.Handle("GET "+at.Path, Handler(source))
	server := &http.Server{Handler: mux, ReadHeaderTimeout: readMost, WriteTimeout: writeMost, IdleTimeout: idleMost, MaxHeaderBytes: headMost}
	go func() {
		<-ctx.Done()
		_ = server.Close()
	}()
	go func() { _ = server.Serve(listener) }()
	return nil
}
