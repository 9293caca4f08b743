package proxy

import (
	"testing"

	"gotest.tools/v3/assert"

	"foxwood/internal/control/routeconfig"
	"foxwood/internal/control/shedding"
	"foxwood/internal/dataplane/http1"
	"foxwood/policy"
)

const shedConfig = `{"edition":"00000007","courses":{"columns":["name","domain","streetPrefix","kind","deadlineS","targetS","priority","destination","tries"],"rows":[
["slow","h.example","/slow/","safe",3,0.8,1,"s",1],["quick","h.example","/quick/","safe",2,0.5,1,"s",1],
["dear","h.example","/dear/","unsafe",2,0.5,1,"s",1],["first","h.example","/first/","safe",2,2,0,"s",1]]},
"destinations":{"columns":["name","healthPath","berthCap"],"rows":[["s","/health",9]]},
"senders":{"columns":["name","passes","priority"],"rows":[["zed",["k1"],0],["abe",["k2"],2],["ann",["k3"],2]]}}`

// TestShedRank: the tier of a request follows from the priorities and from the routes' work in the level.
func TestShedRank(t *testing.T) {
	table, err := routeconfig.Parse([]byte(shedConfig))
	assert.NilError(t, err)
	shedder := &loadShedder{p: &Proxy{config: table}}
	course := map[string]*routeconfig.Route{}
	for i := range table.Routes {
		course[table.Routes[i].Name] = &table.Routes[i]
	}
	tier := func(route, key string) int {
		got, mark := shedder.rank(course[route], table.TenantByKey([]byte(key)), "c")
		assert.Assert(t, mark == 0 || policy.TierOf(mark) == got)
		return got
	}
	assert.Equal(t, tier("first", "k1"), policy.Tier(0, 0, 0))
	assert.Equal(t, tier("quick", "k1"), policy.Tier(0, 1, 0))
	assert.Equal(t, tier("dear", "k1"), policy.Tier(0, 1, 0), "the same target latency, work not known")
	assert.Equal(t, tier("slow", "k1"), policy.Tier(0, 1, 1))
	assert.Equal(t, tier("first", "k2"), tier("first", "k3"), "two tenants with the same priority")
	assert.Equal(t, tier("slow", "none"), policy.Tier(0, 1, 1), "without a key, the highest priority")

	work := make([]byte, len(table.Routes))
	work[course["quick"].Index], work[course["dear"].Index] = 5, 7
	assert.Assert(t, shedder.localLevel.Receive(0, shedding.Level{Number: 1, Threshold: policy.ShedNothing, Version: 6, RouteCosts: work}))
	assert.Equal(t, tier("dear", "k1"), policy.Tier(0, 1, 0), "the work belongs to another configuration version")
	assert.Assert(t, shedder.localLevel.Receive(0, shedding.Level{Number: 2, Threshold: policy.ShedNothing, Version: 7, RouteCosts: work, NeverShedBelow: 1}))
	assert.Equal(t, tier("dear", "k2"), policy.Tier(2, 1, 1))
	assert.Equal(t, tier("slow", "k2"), policy.Tier(2, 1, 2))
	_, mark := shedder.rank(course["slow"], table.TenantByKey([]byte("k1")), "c")
	assert.Assert(t, !policy.Sheds(mark, 1), "a priority that is never shed")
}

// TestWorkerLoad checks how the header with a worker's load is parsed; nil means that it is ignored.
func TestWorkerLoad(t *testing.T) {
	handler := &handler{}
	for _, test := range []struct {
		text string
		want []float32
	}{{"2,3,2", []float32{2, 3, 2}}, {" 1, 0 ,8", []float32{1, 0, 8}}, {"0,0,0", []float32{0, 0, 0}}, {"3,0,8,9", []float32{3, 0, 8}},
		{"1,2", nil}, {"a,1,2", nil}, {"-1,0,2", nil}, {"NaN,0,2", nil}, {"", nil}} {
		var msg http1.Message
		msg.Add([]byte(headerWorkerLoad), []byte(test.text))
		assert.DeepEqual(t, handler.loadOf(&msg), test.want)
	}
}
