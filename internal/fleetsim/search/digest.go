package search

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"hash"
	"math"
	"reflect"
	"slices"
)

// digest writes a value into a hash, following pointers and including unexported
// fields: equal values give equal hashes. Values must not contain cycles. Functions
// and channels are ignored.
func digest(h hash.Hash64, v reflect.Value) {
	var b [9]byte
	word := func(kind byte, x uint64) {
		b[0] = kind
		binary.LittleEndian.PutUint64(b[1:], x)
		h.Write(b[:])
	}
	switch v.Kind() {
	case reflect.Pointer, reflect.Interface:
		if v.IsNil() {
			word(0, 0)
			return
		}
		word(1, 0)
		if v.Kind() == reflect.Interface {
			h.Write([]byte(v.Elem().Type().String()))
		}
		digest(h, v.Elem())
	case reflect.Struct:
		for i := range v.NumField() {
			digest(h, v.Field(i))
		}
	case reflect.Slice, reflect.Array:
		word(2, uint64(v.Len()))
		for i := range v.Len() {
			digest(h, v.Index(i))
		}
	case reflect.Map:
		keys := v.MapKeys()
		slices.SortFunc(keys, func(a, b reflect.Value) int {
			if a.Kind() == reflect.String {
				return cmp.Compare(a.String(), b.String())
			}
			return cmp.Compare(fmt.Sprint(a), fmt.Sprint(b))
		})
		word(3, uint64(len(keys)))
		for _, k := range keys {
			digest(h, k)
			digest(h, v.MapIndex(k))
		}
	case reflect.String:
		word(4, uint64(v.Len()))
		h.Write([]byte(v.String()))
	case reflect.Bool:
		if v.Bool() {
			word(5, 1)
		} else {
			word(5, 0)
		}
	case reflect.Float64, reflect.Float32:
		word(6, math.Float64bits(v.Float()))
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		word(7, uint64(v.Int()))
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		word(8, v.Uint())
	case reflect.Func, reflect.Chan:
	default:
		panic("digest: " + v.Kind().String())
	}
}
