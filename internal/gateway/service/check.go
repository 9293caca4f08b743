package service

import (
	"errors"
	"fmt"

	"foxwood/gatekeeper"
	"foxwood/internal/gateway/config"
	"foxwood/internal/gateway/openapi"
	"foxwood/internal/gateway/settings"
)

// Check validates a configuration file and the OpenAPI description that it names, as Run
// would. It returns all errors found, joined, and opens no connection.
func Check(file string) error {
	cfg, err := config.Read(file)
	if err != nil {
		return err
	}
	policySettings, names, err := cfg.PolicySettings()
	if err != nil {
		return fmt.Errorf("%s: %w", file, err)
	}
	var faults []error
	if _, _, err := cfg.ParseSeed(); err != nil {
		faults = append(faults, fmt.Errorf("%s: %w", file, err))
	}
	if err := cfg.CheckAddresses(policySettings.HasCounter); err != nil {
		faults = append(faults, fmt.Errorf("%s: %w", file, err))
	}
	if cfg.OpenAPI == nil { // the same check as at SIGHUP
		return errors.Join(append(faults, settings.Check(policySettings, names))...)
	}
	description, err := readDescription(cfg.OpenAPI.Description)
	if err != nil {
		return errors.Join(append(faults, err)...)
	}
	if _, err := openapi.NewFrontend(*cfg.OpenAPI, description, policySettings, names, gatekeeper.NewClock()); err != nil {
		faults = append(faults, fmt.Errorf("%s: %w", file, err))
	}
	return errors.Join(faults...)
}
