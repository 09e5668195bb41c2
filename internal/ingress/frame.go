package ingress

import (
	"bytes"
	"errors"
)

// The frames of RESP2, read strictly: each function tells at once what can
// never become whole. A reader that takes it for not whole yet would go on
// waiting, and buffering, for as long as the other side likes. Each returns
// n = 0 while what it reads is not whole.

const (
	maxLengthDigits = 9
	maxLine         = 1024 // bytes of an error line or a simple string
)

var (
	errTooLong   = errors.New("message is too long")
	errMalformed = errors.New("message is malformed")
	nullLength   = []byte("-1\r\n")
)

// length reads the line behind a type byte: digits alone, or -1 for a null.
func length(buf []byte) (v, n int, err error) {
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
			return 0, 0, errMalformed
		}
	}
	return 0, 0, nil
}

// bulk reads a bulk string of at most so many bytes.
func bulk(buf []byte, most int) (data []byte, n int, err error) {
	data, n, err = bulkOrNull(buf, most)
	if n > 0 && data == nil {
		return nil, 0, errMalformed
	}
	return data, n, err
}

// bulkOrNull reads a bulk string; a null has no data.
func bulkOrNull(buf []byte, most int) (data []byte, n int, err error) {
	if len(buf) == 0 {
		return nil, 0, nil
	}
	if buf[0] != '$' {
		return nil, 0, errMalformed
	}
	size, at, err := length(buf)
	if err != nil || at == 0 {
		return nil, 0, err
	}
	if size < 0 {
		return nil, at, nil
	}
	if size > most || size > maxValue {
		return nil, 0, errTooLong
	}
	end := at + size
	for i, ch := range []byte("\r\n") {
		if end+i >= len(buf) {
			return nil, 0, nil
		}
		if buf[end+i] != ch {
			return nil, 0, errMalformed
		}
	}
	return buf[at:end:end], end + 2, nil
}

// line reads the line behind a type byte.
func line(buf []byte) (text []byte, n int, err error) {
	end := bytes.IndexByte(buf[:min(len(buf), maxLine)], '\n')
	switch {
	case end < 0 && len(buf) >= maxLine:
		return nil, 0, errTooLong
	case end < 0:
		return nil, 0, nil
	case end < 2 || buf[end-1] != '\r':
		return nil, 0, errMalformed
	}
	return buf[1 : end-1], end + 1, nil
}

func printable(text []byte) bool {
	for _, ch := range text {
		if ch < ' ' || ch > '~' {
			return false
		}
	}
	return true
}
