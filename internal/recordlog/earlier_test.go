package recordlog

import (
	"os"
	"testing"

	"gotest.tools/v3/assert"
)

// The folder in testdata was written by an earlier release with Append and Replace, and stays as it is.
func TestReadsAFolderOfAnEarlierRelease(t *testing.T) {
	dir := t.TempDir()
	assert.NilError(t, os.CopyFS(dir, os.DirFS("testdata/earlier")))
	j, records, err := Open(dir)
	assert.NilError(t, err)
	want := []string{"first", "second", "third", "fourth"}
	assert.Equal(t, len(records), len(want))
	for i, record := range records {
		assert.Equal(t, string(record), want[i])
	}
	assert.NilError(t, j.Append([][]byte{[]byte("fifth")}))
	assert.NilError(t, j.Close())
}
