package api

import (
	"bytes"
	"testing"

	"gotest.tools/v3/assert"
)

func TestInflateRestoresDeflatedBody(t *testing.T) {
	for _, size := range []int{1, 100, 200_000} {
		body := bytes.Repeat([]byte(`["r-1","h.example","/a/","safe"],`), size)[:size]
		packed := Deflate(body)
		assert.Assert(t, size < 1000 || len(packed) < size/3)
		inflated, err := Inflate(packed)
		assert.NilError(t, err)
		assert.Assert(t, bytes.Equal(inflated, body))
		if size > 1 {
			_, err = Inflate(packed[:len(packed)/2])
			assert.ErrorContains(t, err, "inflating a configuration body")
		}
	}
	assert.Assert(t, Deflate(nil) == nil)
}
