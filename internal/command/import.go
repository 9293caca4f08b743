package command

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"github.com/spf13/cobra"

	"foxwood/internal/gateway/nginx"
)

func newImport() *cobra.Command {
	group := &cobra.Command{Use: "import", Short: "Convert the configuration of another program"}
	var upstream, out string
	cmd := &cobra.Command{
		Use:   "nginx NGINX.CONF",
		Short: "Convert an upstream and the locations that proxy to it to an OpenAPI description and a worker list",
		Args:  exactArgs(1, "one nginx configuration"),
		RunE: func(cmd *cobra.Command, args []string) error {
			if upstream == "" {
				return usageError{errors.New("--upstream is missing")}
			}
			notes, err := importNginx(args[0], upstream, out)
			for _, n := range notes {
				fmt.Fprintln(cmd.ErrOrStderr(), "note:", n)
			}
			return err
		},
	}
	cmd.Flags().StringVar(&upstream, "upstream", "", "name of the upstream to import")
	cmd.Flags().StringVar(&out, "out", ".", "folder to write description.json and workers.json to")
	group.AddCommand(cmd)
	return group
}

// importNginx writes description.json and workers.json, and returns notes on what was not converted.
func importNginx(file, upstream, out string) (notes []string, err error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	result, err := nginx.Import(string(text), upstream)
	if err != nil {
		return nil, err
	}
	for name, value := range map[string]any{"description.json": result.Description, "workers.json": result} {
		encoded, err := json.MarshalIndent(value, "", "  ")
		if err != nil {
			return result.Notes, fmt.Errorf("%s: %w", name, err)
		}
		if err := os.WriteFile(filepath.Join(out, name), append(encoded, '\n'), 0o644); err != nil {
			return result.Notes, err
		}
	}
	return result.Notes, nil
}
