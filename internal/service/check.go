package service

import (
	"errors"
	"fmt"

	"foxwood/gatekeeper"
	"foxwood/internal/config"
	"foxwood/internal/openapi"
	"foxwood/internal/settings"
)

// Check reads a configuration file and the description that it names, as Run would.
// It returns every fault found, joined, and opens no connection.
func Check(file string) error {
	c, err := config.Read(file)
	if err != nil {
		return err
	}
	set, names, err := c.Terms()
	if err != nil {
		return fmt.Errorf("%s: %w", file, err)
	}
	var faults []error
	if _, _, err := c.SeedBits(); err != nil {
		faults = append(faults, fmt.Errorf("%s: %w", file, err))
	}
	if err := c.Check(set.Counter); err != nil {
		faults = append(faults, fmt.Errorf("%s: %w", file, err))
	}
	if c.OpenAPI == nil { // as SIGHUP would
		return errors.Join(append(faults, settings.Check(set, names))...)
	}
	d, err := describe(c.OpenAPI.Description)
	if err != nil {
		return errors.Join(append(faults, err)...)
	}
	if _, err := openapi.NewFront(*c.OpenAPI, d, set, names, gatekeeper.NewClock()); err != nil {
		faults = append(faults, fmt.Errorf("%s: %w", file, err))
	}
	return errors.Join(faults...)
}
