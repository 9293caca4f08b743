// Package encoding checks that values are encoded to the same bytes as in earlier releases. Messages between processes
// and stored data are read by other versions, so renaming a type or field in the source must not change them.
package encoding

import (
	"encoding/hex"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"gotest.tools/v3/assert"
)

// maxDepth is the depth down to which values of recursive types are filled.
const maxDepth = 12

// Filled returns a value of type T with every exported field set. It returns the same value for each call with the same type.
func Filled[T any]() T {
	var value T
	f := filler{}
	f.fill(reflect.ValueOf(&value).Elem(), 0)
	return value
}

// Check checks that a filled value of type T is encoded to the bytes in testdata/NAME.golden, and that decoding and
// encoding these bytes again gives the same bytes.
func Check[T any](t *testing.T, name string, marshal func(any) ([]byte, error), unmarshal func([]byte, any) error) {
	t.Helper()
	t.Run(name, func(t *testing.T) {
		encoded, err := marshal(Filled[T]())
		assert.NilError(t, err)
		CheckBytes(t, name, encoded)

		var decoded T
		assert.NilError(t, unmarshal(encoded, &decoded))
		again, err := marshal(decoded)
		assert.NilError(t, err)
		assert.Equal(t, hex.EncodeToString(again), hex.EncodeToString(encoded), "the decoded value is encoded differently")
	})
}

// CheckBytes compares bytes with those in testdata/NAME.golden. Golden files are never regenerated, as they hold what
// earlier releases write. If the file is missing, it is written and the test fails.
func CheckBytes(t *testing.T, name string, encoded []byte) {
	t.Helper()
	path := filepath.Join("testdata", name+".golden")
	want, err := os.ReadFile(path)
	if os.IsNotExist(err) {
		assert.NilError(t, os.MkdirAll("testdata", 0o755))
		assert.NilError(t, os.WriteFile(path, fmt.Appendf(nil, "%x\n", encoded), 0o644))
		t.Fatalf("%s did not exist and was written", path)
	}
	assert.NilError(t, err)
	assert.Equal(t, fmt.Sprintf("%x\n", encoded), string(want))
}

// filler fills values with ascending numbers; count is the number of values visited so far.
type filler struct{ count int }

// fill sets a value and, recursively, the values that it contains.
func (f *filler) fill(v reflect.Value, depth int) {
	if depth > maxDepth {
		return
	}
	f.count++
	switch v.Kind() {
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		v.SetInt(int64(f.count%100 + 1))
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		v.SetUint(uint64(f.count%100 + 1))
	case reflect.Float32, reflect.Float64:
		v.SetFloat(float64(f.count) + 0.5)
	case reflect.String:
		v.SetString(fmt.Sprintf("s%d", f.count))
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		f.fill(v.Elem(), depth+1)
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 2, 2))
		f.fill(v.Index(0), depth+1)
		f.fill(v.Index(1), depth+1)
	case reflect.Array:
		for i := range v.Len() {
			f.fill(v.Index(i), depth+1)
		}
	case reflect.Map: // one key, as the iteration order of several is random
		key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		f.fill(key, depth+1)
		f.fill(value, depth+1)
		v.Set(reflect.MakeMap(v.Type()))
		v.SetMapIndex(key, value)
	case reflect.Struct:
		for i := range v.NumField() {
			if v.Type().Field(i).IsExported() {
				f.fill(v.Field(i), depth+1)
			}
		}
	}
}
