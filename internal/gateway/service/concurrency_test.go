package service

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"

	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"github.com/envoyproxy/go-control-plane/pkg/resource/v3"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"foxwood/internal/gateway/config"
	"foxwood/internal/gateway/xds"
)

// TestConcurrentAccessToEventLoop runs everything that has its own goroutine at the same time,
// for the race detector: accept, dial, the timer, reloads of valid and invalid files, xDS, the
// capture, and finally the drain. Only the event loop may access quotas, the in-flight count and
// the queue, and every request must be answered.
func TestConcurrentAccessToEventLoop(t *testing.T) {
	const clients, each, reloads = 6, 25, 20
	addr, _ := startWorker(t, func(n int, req *workerRequest) bool {
		if n%20 == 19 {
			return false // closes the connection
		}
		return respondWith(okResponse)(n, req)
	})
	counter := listen(t, func(c net.Conn) {
		for r := bufio.NewReader(c); ; {
			if _, err := http.ReadRequest(r); err != nil {
				return
			}
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n9")
		}
	})
	gateway := startGateway(t, func(c *config.Config) {
		c.Counter, c.Settings, c.XDS = counter, settingsWithCounter("50000"), "127.0.0.1:0"
		c.Capture = &config.Capture{Dir: t.TempDir()}
	}, addr, addr)
	writeConfigFile(t, `{}`)
	file := os.Getenv("EDGE_CONFIG")
	var clientsDone, background sync.WaitGroup
	ctx, stop := context.WithCancel(context.Background())
	for i := range clients {
		clientsDone.Go(func() {
			for n := range each {
				conn := gateway.dial()
				text := classRequest("cuota", fmt.Sprintf("m-%d-%d", i, n), "", 900)
				if i%2 == 0 {
					text = strings.Replace(text, "X-Tier: mayor", "X-Tier: basico", 1)
				}
				conn.send(text)
				if n%5 != 4 { // every fifth disconnects without reading the response
					res, err := http.ReadResponse(conn.reader, nil)
					if err != nil || res.StatusCode != 200 && res.StatusCode != 429 && res.StatusCode != 502 {
						t.Errorf("client %d, request %d: %v, %v", i, n, res, err)
					}
				}
				conn.Close()
			}
		})
	}
	background.Go(func() {
		for n := range reloads {
			text := withSettings(fmt.Sprintf(`{"counter":%q}`, counter))
			if n%2 == 1 {
				text = withSettings(`{"counter":"nowhere"}`)
			}
			if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
				t.Error(err)
			}
			if err := gateway.reload(file); (err != nil) != (n%2 == 1) {
				t.Errorf("reload %d: %v", n, err)
			}
		}
	})
	background.Go(func() {
		for n := 0; ctx.Err() == nil; n++ {
			done := make(chan bool)
			gateway.loop.Post(func() {
				line := strings.Replace(workerEntry(1, addr), `"startedAtMs":0`, fmt.Sprintf(`"startedAtMs":%d`, n%3), 1)
				if n%2 == 1 {
					line = strings.Replace(line, `"ready"`, `"draining"`, 1)
				}
				if err := gateway.hosts.ApplyLine([]byte(`{"generation":8,"instances":[` + line + `]}`)); err != nil {
					t.Error(err)
				}
				close(done)
			})
			<-done
		}
	})
	conn, err := grpc.NewClient(gateway.xds.Addr(), grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	background.Go(func() {
		stream, err := discoveryv3.NewAggregatedDiscoveryServiceClient(conn).StreamAggregatedResources(ctx)
		request := &discoveryv3.DiscoveryRequest{TypeUrl: resource.EndpointType, ResourceNames: []string{xds.ClusterName}}
		for err == nil {
			var res *discoveryv3.DiscoveryResponse
			if err = stream.Send(request); err == nil {
				if res, err = stream.Recv(); err == nil {
					request.VersionInfo, request.ResponseNonce = res.GetVersionInfo(), res.GetNonce()
				}
			}
		}
	})
	clientsDone.Wait()
	stop()
	background.Wait()
	gateway.drain()
	left := make(chan int)
	gateway.loop.Post(func() { left <- gateway.core.OpenRequests() })
	if n := receive(t, left); n != 0 {
		t.Errorf("%d requests are left after the drain", n)
	}
	if lost := gateway.capture.Stats.Lost.Load(); lost > 0 {
		t.Logf("the capture's queue was full: %d records are marked as a gap", lost)
	}
}
