package command

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"github.com/spf13/cobra"

	"foxwood/internal/nginx"
)

func newImport() *cobra.Command {
	group := &cobra.Command{Use: "import", Short: "Take over another program's configuration"}
	var upstream, out string
	c := &cobra.Command{
		Use:   "nginx NGINX.CONF",
		Short: "Turn an upstream and the locations that pass to it into a description and a list of workers",
		Args:  exactly(1, "one nginx configuration"),
		RunE: func(c *cobra.Command, args []string) error {
			if upstream == "" {
				return usageError{errors.New("--upstream is missing")}
			}
			notes, err := importNginx(args[0], upstream, out)
			for _, n := range notes {
				fmt.Fprintln(c.ErrOrStderr(), "note:", n)
			}
			return err
		},
	}
	c.Flags().StringVar(&upstream, "upstream", "", "name of the upstream to import")
	c.Flags().StringVar(&out, "out", ".", "folder to write description.json and workers.json to")
	group.AddCommand(c)
	return group
}

// importNginx writes what a configuration gives, and returns what could not be kept.
func importNginx(file, upstream, out string) (notes []string, err error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	im, err := nginx.Read(string(text), upstream)
	if err != nil {
		return nil, err
	}
	for name, v := range map[string]any{"description.json": im.Description, "workers.json": im} {
		b, err := json.MarshalIndent(v, "", "  ")
		if err != nil {
			return im.Notes, fmt.Errorf("%s: %w", name, err)
		}
		if err := os.WriteFile(filepath.Join(out, name), append(b, '\n'), 0o644); err != nil {
			return im.Notes, err
		}
	}
	return im.Notes, nil
}
