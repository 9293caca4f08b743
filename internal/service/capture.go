package service

import (
	"time"

	"foxwood/capture"
	"foxwood/gatekeeper"
	"foxwood/internal/config"
	"foxwood/policy"
)

// openCapture begins a capture of this life.
func openCapture(c config.Config, clock *gatekeeper.Clock, seed uint64) (*capture.Writer, error) {
	o := capture.Options{Folder: c.Capture.Folder, Name: c.Name, Life: capture.Life(policy.Micros(clock.Now()*1000), seed),
		SegmentMost: c.Capture.SegmentMB << 20, KeptMost: c.Capture.KeptMB << 20,
		AgeMost: time.Duration(c.Capture.KeptHours * float64(time.Hour))}
	if c.Capture.Key != "" {
		var err error
		if o.Key, err = capture.ReadKey(c.Capture.Key); err != nil {
			return nil, err
		}
	}
	return capture.NewWriter(o)
}
