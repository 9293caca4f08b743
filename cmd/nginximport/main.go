// Command nginximport turns an upstream of an nginx configuration, and the
// locations that pass to it, into a description and a host group for foxwood.
package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"log"
	"os"
	"path/filepath"

	"foxwood/internal/nginx"
)

func main() {
	log.SetFlags(0)
	upstream := flag.String("upstream", "", "name of the upstream to import")
	out := flag.String("out", ".", "folder to write description.json and workers.json to")
	flag.Usage = func() {
		fmt.Fprintln(flag.CommandLine.Output(), "usage: nginximport -upstream NAME [-out FOLDER] NGINX.CONF")
		flag.PrintDefaults()
	}
	flag.Parse()
	if flag.NArg() != 1 || *upstream == "" {
		flag.Usage()
		os.Exit(2)
	}
	if err := run(flag.Arg(0), *upstream, *out); err != nil {
		log.Fatal(err)
	}
}

func run(file, upstream, out string) error {
	text, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	im, err := nginx.Read(string(text), upstream)
	if err != nil {
		return err
	}
	for name, v := range map[string]any{"description.json": im.Description, "workers.json": im} {
		b, err := json.MarshalIndent(v, "", "  ")
		if err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
		if err := os.WriteFile(filepath.Join(out, name), append(b, '\n'), 0o644); err != nil {
			return err
		}
	}
	for _, n := range im.Notes {
		log.Print("note: ", n)
	}
	return nil
}
