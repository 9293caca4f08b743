package policy_test

import (
	"fmt"

	"foxwood/policy"
)

// printer is a host that prints the actions it is asked for.
type printer struct{}

func (printer) Send(id uint32, to policy.Server, _ policy.Micros) {
	fmt.Printf("send %d to server %d\n", id, to)
}
func (printer) Refuse(id uint32, after policy.Micros) {
	fmt.Printf("refuse %d, come back in %d ms\n", id, after/1000)
}
func (printer) Fail(id uint32)                       { fmt.Println("fail", id) }
func (printer) Cancel(uint32, int)                   {}
func (printer) Timer(uint64, policy.Micros)          {}
func (printer) Count(uint64, float64, policy.Micros) {}
func (printer) Tell(int, []byte)                     {}

func Example() {
	settings := policy.Settings{
		GatewayCount: 1, ClockTick: 1000, MaxAttempts: 2, SendRetryAfter: true,
		Classes: []policy.Class{{LatencyTarget: 200e3, Deadline: 1e6, Value: 1, Repeat: policy.RepeatSafe}},
		Plans:   []policy.Plan{{Rate: 2, Burst: 2, Price: 1}},
	}
	g := policy.New(settings, 1)
	host := printer{}
	g.Start(0, host)
	g.Servers(0, host, policy.FullList, []policy.Entry{{Server: 10, State: policy.Ready}})
	for id := range uint32(3) {
		g.Request(0, host, policy.Request{ID: id, Customer: 7, TimeLeft: 1e6, Units: 1, GatewayCount: 1})
	}
	g.Outcome(30e3, host, policy.Outcome{ID: 0, Status: policy.OK, Terminal: true, Latency: 30e3, Server: 10})
	// Output:
	// send 0 to server 10
	// send 1 to server 10
	// refuse 2, come back in 501 ms
}
