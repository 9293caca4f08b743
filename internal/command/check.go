package command

import (
	"errors"
	"fmt"

	"github.com/spf13/cobra"

	"foxwood/internal/service"
)

func newCheck() *cobra.Command {
	return &cobra.Command{
		Use:   "check [FILE]",
		Short: "Read a configuration and the description it names, and say every fault",
		Long: "check reads a configuration (the file that EDGE_CONFIG names where none is given) and the\n" +
			"description that it names, and says every fault with file and line on standard error. It exits\n" +
			"with 0 where there is none, with 1 else. It opens no connection.",
		Args: cobra.MaximumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			file := named("")
			if len(args) == 1 {
				file = args[0]
			}
			found := flatten(service.Check(file))
			for _, err := range found {
				fmt.Fprintln(c.ErrOrStderr(), err)
			}
			if len(found) > 0 {
				return fmt.Errorf("%s: %d faults", file, len(found))
			}
			fmt.Fprintf(c.OutOrStdout(), "%s: no fault\n", file)
			return nil
		},
	}
}

// flatten lists the errors that were joined.
func flatten(err error) []error {
	var joined interface{ Unwrap() []error }
	if !errors.As(err, &joined) {
		if err == nil {
			return nil
		}
		return []error{err}
	}
	var all []error
	for _, e := range joined.Unwrap() {
		all = append(all, flatten(e)...)
	}
	return all
}
