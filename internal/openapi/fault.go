package openapi

import (
	"errors"
	"fmt"
	"strings"

	"go.yaml.in/yaml/v4"
)

// Fault is what is wrong with one operation of a description.
type Fault struct {
	Line int // of the operation in the text, 0 where it was not found
	err  error
}

// Error implements error.
func (f *Fault) Error() string { return f.err.Error() }

// Unwrap is the fault without its place.
func (f *Fault) Unwrap() error { return f.err }

// InFile puts the file's name, and the line where it is known, before every fault in an
// error of Parse.
func InFile(file string, err error) error {
	var joined interface{ Unwrap() []error }
	if !errors.As(err, &joined) {
		return fmt.Errorf("%s: %w", file, err)
	}
	var placed []error
	for _, e := range joined.Unwrap() {
		var f *Fault
		if errors.As(e, &f) && f.Line > 0 {
			placed = append(placed, fmt.Errorf("%s:%d: %w", file, f.Line, e))
		} else {
			placed = append(placed, fmt.Errorf("%s: %w", file, e))
		}
	}
	return errors.Join(placed...)
}

// lineOf is the line at which an operation begins in a description's text. JSON is read
// as the YAML that it is.
func lineOf(text []byte, method, path string) int {
	var doc yaml.Node
	if err := yaml.Unmarshal(text, &doc); err != nil || len(doc.Content) == 0 {
		return 0
	}
	at, line := doc.Content[0], 0
	for _, key := range [...]string{"paths", path, strings.ToLower(method)} {
		found := false
		for i := 0; i+1 < len(at.Content); i += 2 {
			if at.Content[i].Value == key {
				line, at, found = at.Content[i].Line, at.Content[i+1], true
				break
			}
		}
		if !found {
			return line
		}
	}
	return line
}
