//go:build linux

package reactor

import (
	"errors"
	"fmt"
	"syscall"
)

// verdict is what the error of a system call tells. An error that tells of one call, or of the
// system at one moment, says nothing of the connection or listener that it was made on.
type verdict uint8

const (
	verdictOK       verdict = iota
	verdictWait             // nothing can be done now; the poller tells when
	verdictAgain            // this one call, or what it would have given: the next may succeed at once
	verdictShortage         // descriptors, memory, buffers or ports are short for now
	verdictOver             // the connection, or what was to be connected to
)

// acceptVerdict judges an error of accept. Errors of the network that wait on a connection are passed
// on by it, and the next connection is another (accept(2)).
func acceptVerdict(err error) verdict {
	switch errnoOf(err) {
	case 0:
		return verdictOK
	case syscall.EAGAIN:
		return verdictWait
	case syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM:
		return verdictShortage
	}
	return verdictAgain
}

// socketVerdict judges an error of socket.
func socketVerdict(err error) verdict {
	switch errnoOf(err) {
	case 0:
		return verdictOK
	case syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM:
		return verdictShortage
	}
	return verdictOver
}

// connectVerdict judges what connect says at once. An interrupted one goes on by itself (connect(2)).
func connectVerdict(err error) verdict {
	switch errnoOf(err) {
	case 0:
		return verdictOK
	case syscall.EINPROGRESS, syscall.EINTR:
		return verdictWait
	case syscall.EADDRNOTAVAIL, syscall.EADDRINUSE, syscall.EAGAIN, syscall.ENOBUFS, syscall.ENOMEM, syscall.ENETUNREACH, syscall.ENETDOWN:
		return verdictShortage
	}
	return verdictOver
}

// transferVerdict judges an error of a read or write on a connection.
func transferVerdict(errno syscall.Errno) verdict {
	switch errno {
	case 0:
		return verdictOK
	case syscall.EAGAIN:
		return verdictWait
	case syscall.EINTR:
		return verdictAgain
	case syscall.ENOBUFS, syscall.ENOMEM:
		return verdictShortage
	}
	return verdictOver
}

// errnoOf takes the number out of an error of package syscall; 0 for nil.
func errnoOf(err error) syscall.Errno {
	var errno syscall.Errno
	if errors.As(err, &errno) {
		return errno
	}
	return 0
}

// shortage is the error of a call that the system has no means for now.
func shortage(call string, err error) error {
	return fmt.Errorf("%s: %w (%w)", call, ErrOutOfResources, err)
}
