// Package resp is a strict, incremental parser of RESP2 frames. Each function
// returns n, the number of bytes consumed, or n = 0 while the input is an
// incomplete frame. Input that no further bytes can complete is an error at once:
// a reader that took it for incomplete would wait and buffer for as long as the
// peer keeps the connection open.
package resp

import (
	"bytes"
	"errors"
	"strconv"
	"strings"
)

// Limits of the platform's protocol, in bytes.
const (
	MaxValue         = 64 << 10        // of a value that is buffered as a whole
	MaxStreamedValue = 4 << 20         // of a value that is streamed
	MaxMessage       = MaxValue + 4096 // of a command or answer, including its value
	MaxLine          = 1024            // of an error line or a simple string
)

// LineEnd ends each line and the data of each bulk string.
const LineEnd = "\r\n"

const (
	maxLengthDigits = 9
	maxDigits       = 15 // of an integer or decimal
)

// Errors for input that no further bytes can turn into a valid frame.
var (
	ErrTooLong   = errors.New("message is too long")
	ErrMalformed = errors.New("message is malformed")
)

var nullLength = []byte("-1\r\n")

// Length parses the length line after a type byte: digits only, or -1 for null.
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

// Bulk parses a bulk string of at most maxLen bytes; null is an error.
func Bulk(buf []byte, maxLen int) (data []byte, n int, err error) {
	data, n, err = BulkOrNull(buf, maxLen)
	if n > 0 && data == nil {
		return nil, 0, ErrMalformed
	}
	return data, n, err
}

// BulkOrNull parses a bulk string of at most maxLen bytes; data is nil for null.
func BulkOrNull(buf []byte, maxLen int) (data []byte, n int, err error) {
	size, at, err := BulkLength(buf, maxLen)
	if err != nil || at == 0 {
		return nil, 0, err
	}
	if size < 0 {
		return nil, at, nil
	}
	end := at + size
	for i, ch := range []byte(LineEnd) {
		if end+i >= len(buf) {
			return nil, 0, nil
		}
		if buf[end+i] != ch {
			return nil, 0, ErrMalformed
		}
	}
	return buf[at:end:end], end + len(LineEnd), nil
}

// BulkLength parses the length line of a bulk string of at most maxLen bytes; size
// is -1 for null. The data follows, and then LineEnd.
func BulkLength(buf []byte, maxLen int) (size, n int, err error) {
	if len(buf) == 0 {
		return 0, 0, nil
	}
	if buf[0] != '$' {
		return 0, 0, ErrMalformed
	}
	size, n, err = Length(buf)
	if err == nil && n > 0 && (size > maxLen || size > MaxValue) {
		return 0, 0, ErrTooLong
	}
	return size, n, err
}

// Line parses the text line after a type byte.
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

// Printable reports whether text is printable ASCII only.
func Printable(text []byte) bool {
	for _, ch := range text {
		if ch < ' ' || ch > '~' {
			return false
		}
	}
	return true
}

// Decimal parses digits with at most one decimal point between them. It rejects
// the other forms that strconv.ParseFloat takes: sign, exponent, infinity,
// hexadecimal and underscores.
func Decimal(s string) (float64, error) {
	whole, fraction, point := strings.Cut(s, ".")
	if len(s) > maxDigits || !digits(whole) || point && !digits(fraction) {
		return 0, ErrMalformed
	}
	return strconv.ParseFloat(s, 64)
}

// Int parses an unsigned integer between lowest and highest, both included.
func Int(s string, lowest, highest int) (int, error) {
	if len(s) > maxDigits || !digits(s) {
		return 0, ErrMalformed
	}
	v, err := strconv.Atoi(s)
	if err == nil && (v < lowest || v > highest) {
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
