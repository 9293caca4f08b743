package capture

import (
	"errors"
	"io"
	"os"
	"testing"

	"gotest.tools/v3/assert"
)

// The segment in testdata was written by an earlier release (three requests, each refused) and stays as it is.
func TestReadsASegmentOfAnEarlierRelease(t *testing.T) {
	raw, err := os.ReadFile("testdata/earlier.segment")
	assert.NilError(t, err)
	n, err := read(raw, testKey(t, 7))
	assert.Assert(t, err == nil || errors.Is(err, io.EOF), "%v", err)
	assert.Equal(t, n, 7)
}
