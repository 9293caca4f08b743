package whiteout

import (
	"fmt"
	"net"
	"time"

	"foxwood/internal/testing/standin"
)

const (
	workerSlots = 2
	workerQueue = 8
	workerIdle  = 30 * time.Second
)

// startWorkers starts the workers of all services.
func (c *cluster) startWorkers() error {
	for i, s := range services {
		for j := range workersEach {
			w := &standin.Worker{ID: fmt.Sprintf("%s-%d", s.name, j), Service: s.name, Zone: []string{"a", "b"}[j%2],
				Addr: net.JoinHostPort(c.ip(3, i*workersEach+j), fmt.Sprint(frontPort)), Slots: workerSlots, Queue: workerQueue,
				Idle: workerIdle, Work: func(*standin.Worker) time.Duration { return s.work }, Ledger: c.book}
			if err := w.Start(); err != nil {
				return err
			}
			c.workers = append(c.workers, w)
		}
	}
	return nil
}
