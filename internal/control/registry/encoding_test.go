package registry

import (
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	"foxwood/internal/testing/encoding"
)

func TestFilesKeepTheirEncoding(t *testing.T) {
	dir := t.TempDir()
	assert.NilError(t, writeElectorate(dir, []string{"10.0.0.1:7462 a", "10.0.0.2:7462 b"}, 7))
	assert.NilError(t, writeStartLog(dir, []string{"node-1 3", "node-2 4"}))
	for _, name := range []string{"electorate", "lives"} {
		raw, err := os.ReadFile(filepath.Join(dir, name))
		assert.NilError(t, err)
		encoding.CheckBytes(t, name, raw)
	}
}
