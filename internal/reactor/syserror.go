//go:build linux

package reactor

import (
	"errors"
	"fmt"
	"syscall"
)

// verdict classifies the error of a system call. An error that concerns a single call, or the
// system at one moment, says nothing about the connection or listener of the call.
type verdict uint8

const (
	verdictOK         verdict = iota
	verdictWouldBlock         // not possible now; the poller reports when it is
	verdictRetry              // only this call failed, or the connection that it would have returned: the next call may succeed at once
	verdictShortage           // the system is short of descriptors, memory, buffers, ports or routes for now
	verdictFailed             // the connection or its destination has failed
)

// acceptVerdict classifies an error of accept. Linux passes pending network errors of the new
// connection on as errors of accept; they say nothing about the next connection (accept(2)).
func acceptVerdict(err error) verdict {
	switch errnoOf(err) {
	case 0:
		return verdictOK
	case syscall.EAGAIN:
		return verdictWouldBlock
	case syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM:
		return verdictShortage
	}
	return verdictRetry
}

// socketVerdict classifies an error of socket.
func socketVerdict(err error) verdict {
	switch errnoOf(err) {
	case 0:
		return verdictOK
	case syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM:
		return verdictShortage
	}
	return verdictFailed
}

// connectVerdict classifies the immediate result of a non-blocking connect. An interrupted connect
// continues asynchronously (connect(2)).
func connectVerdict(err error) verdict {
	switch errnoOf(err) {
	case 0:
		return verdictOK
	case syscall.EINPROGRESS, syscall.EINTR:
		return verdictWouldBlock
	case syscall.EADDRNOTAVAIL, syscall.EADDRINUSE, syscall.EAGAIN, syscall.ENOBUFS, syscall.ENOMEM, syscall.ENETUNREACH, syscall.ENETDOWN:
		return verdictShortage
	}
	return verdictFailed
}

// transferVerdict classifies an error of a read or write on a connection.
func transferVerdict(errno syscall.Errno) verdict {
	switch errno {
	case 0:
		return verdictOK
	case syscall.EAGAIN:
		return verdictWouldBlock
	case syscall.EINTR:
		return verdictRetry
	case syscall.ENOBUFS, syscall.ENOMEM:
		return verdictShortage
	}
	return verdictFailed
}

// errnoOf returns the errno that an error wraps; 0 for nil.
func errnoOf(err error) syscall.Errno {
	var errno syscall.Errno
	if errors.As(err, &errno) {
		return errno
	}
	return 0
}

// shortage returns the error of a call that failed with verdictShortage; it wraps ErrOutOfResources.
func shortage(call string, err error) error {
	return fmt.Errorf("%s: %w (%w)", call, ErrOutOfResources, err)
}
