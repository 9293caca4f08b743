package capture

import (
	"errors"
	"io"
	"os"
	"testing"

	"gotest.tools/v3/assert"
)

// TestReadSegmentOfEarlierRelease guards against a change of the format that makes existing
// captures unreadable. The segment in testdata holds three requests, each refused; it was
// written by an earlier release and must never be regenerated.
func TestReadSegmentOfEarlierRelease(t *testing.T) {
	raw, err := os.ReadFile("testdata/earlier.segment")
	assert.NilError(t, err)
	n, err := readCapture(raw, testKey(t, 7))
	assert.Assert(t, err == nil || errors.Is(err, io.EOF), "%v", err)
	assert.Equal(t, n, 7)
}
