//go:build linux

package reactor

import (
	"errors"
	"fmt"
	"os"
	"syscall"
	"testing"
)

// Guards against closing a connection or listener, or counting a fault of a backend, because of an
// error that concerns only one call or a temporary state of the system.
func TestErrnoVerdicts(t *testing.T) {
	for errno, want := range map[syscall.Errno]struct{ accept, connect, transfer verdict }{
		0:                     {verdictOK, verdictOK, verdictOK},
		syscall.EAGAIN:        {verdictWouldBlock, verdictShortage, verdictWouldBlock},
		syscall.EINTR:         {verdictRetry, verdictWouldBlock, verdictRetry},
		syscall.ECONNABORTED:  {verdictRetry, verdictFailed, verdictFailed},
		syscall.EPROTO:        {verdictRetry, verdictFailed, verdictFailed},
		syscall.ENETDOWN:      {verdictRetry, verdictShortage, verdictFailed},
		syscall.ENETUNREACH:   {verdictRetry, verdictShortage, verdictFailed},
		syscall.EHOSTUNREACH:  {verdictRetry, verdictFailed, verdictFailed},
		syscall.ETIMEDOUT:     {verdictRetry, verdictFailed, verdictFailed},
		syscall.ECONNREFUSED:  {verdictRetry, verdictFailed, verdictFailed},
		syscall.ECONNRESET:    {verdictRetry, verdictFailed, verdictFailed},
		syscall.EPIPE:         {verdictRetry, verdictFailed, verdictFailed},
		syscall.EADDRNOTAVAIL: {verdictRetry, verdictShortage, verdictFailed},
		syscall.ENOBUFS:       {verdictShortage, verdictShortage, verdictShortage},
		syscall.ENOMEM:        {verdictShortage, verdictShortage, verdictShortage},
		syscall.ENFILE:        {verdictShortage, verdictFailed, verdictFailed},
		syscall.EMFILE:        {verdictShortage, verdictFailed, verdictFailed},
		syscall.EINPROGRESS:   {verdictRetry, verdictWouldBlock, verdictFailed},
	} {
		var err error
		if errno != 0 {
			err = fmt.Errorf("call: %w", &os.SyscallError{Syscall: "call", Err: errno})
		}
		if got := acceptVerdict(err); got != want.accept {
			t.Errorf("accept: verdict on %v is %d, want %d", errno, got, want.accept)
		}
		if got := connectVerdict(err); got != want.connect {
			t.Errorf("connect: verdict on %v is %d, want %d", errno, got, want.connect)
		}
		if got := transferVerdict(errno); got != want.transfer {
			t.Errorf("read and write: verdict on %v is %d, want %d", errno, got, want.transfer)
		}
	}
	for _, errno := range []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM} {
		if socketVerdict(errno) != verdictShortage || !errors.Is(shortage("socket", errno), ErrOutOfResources) ||
			!errors.Is(shortage("socket", errno), errno) {
			t.Errorf("socket: %v is not classified as a shortage, or its error does not wrap ErrOutOfResources and the errno", errno)
		}
	}
	if socketVerdict(syscall.EAFNOSUPPORT) != verdictFailed {
		t.Error("socket: an unsupported address family is classified as a shortage")
	}
}
