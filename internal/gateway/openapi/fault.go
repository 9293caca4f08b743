package openapi

import (
	"errors"
	"fmt"
	"strings"

	"go.yaml.in/yaml/v4"
)

// OperationError is an error in one operation of a description.
type OperationError struct {
	Line int // line of the operation in the text, 0 if unknown
	err  error
}

// Error implements error.
func (f *OperationError) Error() string { return f.err.Error() }

// Unwrap returns the error without its line.
func (f *OperationError) Unwrap() error { return f.err }

// WithFilePositions prefixes every error that Parse has joined with the name of the file, and the line if it
// is known.
func WithFilePositions(file string, err error) error {
	var joined interface{ Unwrap() []error }
	if !errors.As(err, &joined) {
		return fmt.Errorf("%s: %w", file, err)
	}
	var positioned []error
	for _, joinedErr := range joined.Unwrap() {
		var fault *OperationError
		if errors.As(joinedErr, &fault) && fault.Line > 0 {
			positioned = append(positioned, fmt.Errorf("%s:%d: %w", file, fault.Line, joinedErr))
		} else {
			positioned = append(positioned, fmt.Errorf("%s: %w", file, joinedErr))
		}
	}
	return errors.Join(positioned...)
}

// operationLine returns the line at which an operation begins in a description, or that of the
// nearest enclosing key that exists, or 0. JSON is parsed as YAML, of which it is a subset.
func operationLine(text []byte, method, path string) int {
	var doc yaml.Node
	if err := yaml.Unmarshal(text, &doc); err != nil || len(doc.Content) == 0 {
		return 0
	}
	node, line := doc.Content[0], 0
	for _, key := range [...]string{"paths", path, strings.ToLower(method)} {
		found := false
		for i := 0; i+1 < len(node.Content); i += 2 {
			if node.Content[i].Value == key {
				line, node, found = node.Content[i].Line, node.Content[i+1], true
				break
			}
		}
		if !found {
			return line
		}
	}
	return line
}
