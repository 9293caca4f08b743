package platform

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"slices"

	"foxwood/gatekeeper"
	"foxwood/internal/link"
	"foxwood/internal/settings"
	"foxwood/policy"
)

// groupList is discovery's list, whole or as changes.
type groupList struct {
	Generation int64  `json:"generation"`
	Reset      bool   `json:"reset"`
	Instances  []item `json:"instances"`
}

type item struct {
	ID        string  `json:"instanceId"`
	Addr      string  `json:"hostPort"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"machineType"`
	Cell      int     `json:"cell"`
	Lifecycle string  `json:"lifecycle"`
	Weight    float64 `json:"weight"`
	Started   float64 `json:"startedAtMs"`
}

// group keeps the host group: it passes every list on and remembers its version.
type group struct {
	core    *gatekeeper.Gatekeeper
	fleet   *link.Fleet
	names   settings.Names
	version int64
}

// path asks for a watch of what comes after the version held.
func (g *group) path() string {
	return fmt.Sprintf("/registry/instances?stream=1&index=%d", g.version)
}

// line takes one line of the watch.
func (g *group) line(text []byte) error {
	var l groupList
	if err := json.Unmarshal(text, &l); err != nil {
		return fmt.Errorf("host group: %w", err)
	}
	kind := policy.Delta
	if l.Reset {
		kind = policy.FullList
	}
	g.apply(kind, l)
	return nil
}

func (g *group) apply(kind policy.ListKind, l groupList) {
	entries := make([]policy.Entry, 0, len(l.Instances))
	for _, it := range l.Instances {
		e := policy.Entry{
			Server: serverID(it.ID), State: lifecycle(it.Lifecycle), Weight: it.Weight,
			Zone: max(slices.Index(g.names.Zones, it.Zone), 0), Cell: it.Cell,
			Kind: max(slices.Index(g.names.Kinds, it.Kind), 0), ReadyAt: policy.Micros(it.Started * 1000),
		}
		if e.State != policy.Gone {
			g.fleet.Place(e.Server, it.Addr)
		}
		entries = append(entries, e)
	}
	g.version = l.Generation
	g.core.Workers(kind, entries)
}

// lifecycle reads a state. One that is not known is taken for draining: it gets
// nothing new and keeps what it has.
func lifecycle(s string) policy.State {
	switch s {
	case "ready":
		return policy.Ready
	case "gone":
		return policy.Gone
	}
	return policy.Draining
}

// serverID is the module's name of a worker, the same at every gatekeeper.
func serverID(id string) policy.Server {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))
	return policy.Server(h.Sum64())
}
