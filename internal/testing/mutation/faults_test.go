package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestEachFaultHasItsPlace: the code that a row replaces stands exactly once in its file, so that no row goes stale unseen.
func TestEachFaultHasItsPlace(t *testing.T) {
	for _, f := range faults {
		text, err := os.ReadFile(filepath.Join("..", "..", "..", f.file))
		assert.NilError(t, err)
		if n := strings.Count(string(text), f.old); n != 1 {
			t.Errorf("%s, %q: its code stands %d times in %s", f.corner, f.name, n, f.file)
		}
		if f.old == f.wrong {
			t.Errorf("%s, %q: changes nothing", f.corner, f.name)
		}
	}
}
