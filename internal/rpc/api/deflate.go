package api

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"
)

// Configurations are sent deflated between processes. Uncompressed, one of a thousand routes occupies a slow link for
// half a second, and clients' requests on that link wait behind it.

const (
	deflateLevel     = 5
	maxInflatedBytes = 64 << 20
)

// Deflate compresses a configuration body. It returns nil for an empty body.
func Deflate(body []byte) []byte {
	if len(body) == 0 {
		return nil
	}
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, deflateLevel)
	if err != nil {
		panic(err) // only an invalid level fails, and the level is a constant
	}
	_, _ = w.Write(body)
	_ = w.Close()
	return out.Bytes()
}

// Inflate returns the body that Deflate compressed. It fails if the body is truncated or larger than 64 MiB.
func Inflate(packed []byte) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(packed))
	defer r.Close()
	body, err := io.ReadAll(io.LimitReader(r, maxInflatedBytes+1))
	if err != nil {
		return nil, fmt.Errorf("inflating a configuration body of %d deflated bytes: %w", len(packed), err)
	}
	if len(body) > maxInflatedBytes {
		return nil, fmt.Errorf("configuration body is larger than %d bytes after inflating", maxInflatedBytes)
	}
	return body, nil
}
