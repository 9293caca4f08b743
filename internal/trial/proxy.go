package trial

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"sync/atomic"
	"time"
)

// idleMost is how long an idle connection to a worker is kept: as in the gatekeepers'
// configuration, so that one target's links are gone when the next one's turn comes.
const idleMost = 500 * time.Millisecond

// Proxy serves the baseline that transports are measured against: the standard library's
// ReverseProxy, which takes the workers in turn.
func Proxy(listen string, workers []string) error {
	var next atomic.Uint64
	proxy := &httputil.ReverseProxy{
		Rewrite: func(r *httputil.ProxyRequest) {
			r.SetURL(&url.URL{Scheme: "http", Host: workers[next.Add(1)%uint64(len(workers))]})
		},
		Transport: &http.Transport{MaxIdleConnsPerHost: 256, IdleConnTimeout: idleMost},
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health/ready", func(http.ResponseWriter, *http.Request) {})
	mux.Handle("/", proxy)
	ln, err := net.Listen("tcp", listen)
	if err != nil {
		return fmt.Errorf("trial: %w", err)
	}
	return http.Serve(ln, mux)
}
