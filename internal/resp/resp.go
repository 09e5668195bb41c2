// Package resp reads the frames of RESP2, strictly: each function tells at once
// what can never become whole. A reader that takes it for not whole yet would go
// on waiting, and buffering, for as long as the other side likes. Each returns
// n = 0 while what it reads is not whole.
package resp

import (
	"bytes"
	"errors"
	"strconv"
	"strings"
)

// Bounds of the platform's protocol, in bytes.
const (
	MaxValue         = 64 << 10        // of one value that is held as a whole
	MaxStreamedValue = 4 << 20         // of one value that is passed on as it comes
	MaxMessage       = MaxValue + 4096 // of one command or answer, the largest value among them
	MaxLine          = 1024            // of an error line or a simple string
)

const (
	maxLengthDigits = 9
	maxDigits       = 15 // of a number
)

// What can never become whole.
var (
	ErrTooLong   = errors.New("message is too long")
	ErrMalformed = errors.New("message is malformed")
)

var nullLength = []byte("-1\r\n")

// Length reads the line behind a type byte: digits alone, or -1 for a null.
func Length(buf []byte) (v, n int, err error) {
	rest := buf[1:]
	if bytes.HasPrefix(rest, nullLength) {
		return -1, 1 + len(nullLength), nil
	}
	if bytes.HasPrefix(nullLength, rest) {
		return 0, 0, nil
	}
	for i, ch := range rest {
		switch {
		case ch >= '0' && ch <= '9' && i < maxLengthDigits:
			v = 10*v + int(ch-'0')
		case ch == '\r' && i > 0 && i+1 == len(rest):
			return 0, 0, nil
		case ch == '\r' && i > 0 && rest[i+1] == '\n':
			return v, 1 + i + 2, nil
		default:
			return 0, 0, ErrMalformed
		}
	}
	return 0, 0, nil
}

// Bulk reads a bulk string of at most so many bytes.
func Bulk(buf []byte, most int) (data []byte, n int, err error) {
	data, n, err = BulkOrNull(buf, most)
	if n > 0 && data == nil {
		return nil, 0, ErrMalformed
	}
	return data, n, err
}

// BulkOrNull reads a bulk string; a null has no data.
func BulkOrNull(buf []byte, most int) (data []byte, n int, err error) {
	if len(buf) == 0 {
		return nil, 0, nil
	}
	if buf[0] != '$' {
		return nil, 0, ErrMalformed
	}
	size, at, err := Length(buf)
	if err != nil || at == 0 {
		return nil, 0, err
	}
	if size < 0 {
		return nil, at, nil
	}
	if size > most || size > MaxValue {
		return nil, 0, ErrTooLong
	}
	end := at + size
	for i, ch := range []byte("\r\n") {
		if end+i >= len(buf) {
			return nil, 0, nil
		}
		if buf[end+i] != ch {
			return nil, 0, ErrMalformed
		}
	}
	return buf[at:end:end], end + 2, nil
}

// Line reads the line behind a type byte.
func Line(buf []byte) (text []byte, n int, err error) {
	end := bytes.IndexByte(buf[:min(len(buf), MaxLine)], '\n')
	switch {
	case end < 0 && len(buf) >= MaxLine:
		return nil, 0, ErrTooLong
	case end < 0:
		return nil, 0, nil
	case end < 2 || buf[end-1] != '\r':
		return nil, 0, ErrMalformed
	}
	return buf[1 : end-1], end + 1, nil
}

// Printable tells whether text holds nothing but printable ASCII.
func Printable(text []byte) bool {
	for _, ch := range text {
		if ch < ' ' || ch > '~' {
			return false
		}
	}
	return true
}

// Decimal reads digits with at most one point inside, and nothing else
// that a float could be: no sign, exponent, infinity, hexadecimal or underscore.
func Decimal(s string) (float64, error) {
	whole, part, point := strings.Cut(s, ".")
	if len(s) > maxDigits || !digits(whole) || point && !digits(part) {
		return 0, ErrMalformed
	}
	return strconv.ParseFloat(s, 64)
}

// Int reads a whole number from least to most.
func Int(s string, least, most int) (int, error) {
	if len(s) > maxDigits || !digits(s) {
		return 0, ErrMalformed
	}
	v, err := strconv.Atoi(s)
	if err == nil && (v < least || v > most) {
		err = ErrMalformed
	}
	return v, err
}

func digits(s string) bool {
	for i := range len(s) {
		if s[i] < '0' || s[i] > '9' {
			return false
		}
	}
	return len(s) > 0
}
