package command

import (
	"errors"
	"fmt"

	"github.com/spf13/cobra"

	"foxwood/internal/gateway/service"
)

func newCheck() *cobra.Command {
	return &cobra.Command{
		Use:   "check [FILE]",
		Short: "Validate a configuration and the OpenAPI description that it names",
		Long: "check reads a configuration (by default the file that EDGE_CONFIG names) and the OpenAPI\n" +
			"description that it names, and prints every fault with file and line on standard error. It\n" +
			"exits with 0 if there is none, otherwise with 1. It opens no connection.",
		Args: cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			file := configPath("")
			if len(args) == 1 {
				file = args[0]
			}
			found := flattenErrors(service.Check(file))
			for _, err := range found {
				fmt.Fprintln(cmd.ErrOrStderr(), err)
			}
			if len(found) > 0 {
				return fmt.Errorf("%s: %d faults", file, len(found))
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%s: no fault\n", file)
			return nil
		},
	}
}

// flattenErrors lists the errors that were joined, at any depth.
func flattenErrors(err error) []error {
	var joined interface{ Unwrap() []error }
	if !errors.As(err, &joined) {
		if err == nil {
			return nil
		}
		return []error{err}
	}
	var all []error
	for _, e := range joined.Unwrap() {
		all = append(all, flattenErrors(e)...)
	}
	return all
}
