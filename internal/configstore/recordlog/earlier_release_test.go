package recordlog

import (
	"os"
	"testing"

	"gotest.tools/v3/assert"
)

// TestReadsJournalOfEarlierRelease opens a journal that an earlier release wrote with Append and
// Replace. The directory in testdata must not change.
func TestReadsJournalOfEarlierRelease(t *testing.T) {
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
