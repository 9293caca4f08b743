package overloadtest

import (
	"fmt"
	"net"
	"time"

	"foxwood/internal/testing/standin"
)

const (
	workerSlots = 2 // requests that a worker runs at once
	workerQueue = 8 // requests that may wait at a worker
	workerIdle  = 30 * time.Second
)

// startWorkers starts the workers of all services, in alternating zones.
func (c *cluster) startWorkers() error {
	for i, s := range services {
		for j := range workersPerService {
			worker := &standin.Worker{ID: fmt.Sprintf("%s-%d", s.name, j), Service: s.name, Zone: []string{"a", "b"}[j%2],
				Addr: net.JoinHostPort(c.ip(3, i*workersPerService+j), fmt.Sprint(publicPort)), Slots: workerSlots, Queue: workerQueue,
				IdleTimeout: workerIdle, WorkTime: func(*standin.Worker) time.Duration { return s.serviceTime }, Log: c.ledger}
			if err := worker.Start(); err != nil {
				return err
			}
			c.workers = append(c.workers, worker)
		}
	}
	return nil
}
