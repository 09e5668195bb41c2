//go:build linux

package reactor

import (
	"errors"
	"fmt"
	"os"
	"syscall"
	"testing"
)

// Guards against the error of one call that is taken for the end of what the call was made on.
func TestErrorsSpeakOfWhatTheyConcern(t *testing.T) {
	for errno, want := range map[syscall.Errno]struct{ accept, connect, transfer verdict }{
		0:                     {verdictOK, verdictOK, verdictOK},
		syscall.EAGAIN:        {verdictWait, verdictShortage, verdictWait},
		syscall.EINTR:         {verdictAgain, verdictWait, verdictAgain},
		syscall.ECONNABORTED:  {verdictAgain, verdictOver, verdictOver},
		syscall.EPROTO:        {verdictAgain, verdictOver, verdictOver},
		syscall.ENETDOWN:      {verdictAgain, verdictShortage, verdictOver},
		syscall.ENETUNREACH:   {verdictAgain, verdictShortage, verdictOver},
		syscall.EHOSTUNREACH:  {verdictAgain, verdictOver, verdictOver},
		syscall.ETIMEDOUT:     {verdictAgain, verdictOver, verdictOver},
		syscall.ECONNREFUSED:  {verdictAgain, verdictOver, verdictOver},
		syscall.ECONNRESET:    {verdictAgain, verdictOver, verdictOver},
		syscall.EPIPE:         {verdictAgain, verdictOver, verdictOver},
		syscall.EADDRNOTAVAIL: {verdictAgain, verdictShortage, verdictOver},
		syscall.ENOBUFS:       {verdictShortage, verdictShortage, verdictShortage},
		syscall.ENOMEM:        {verdictShortage, verdictShortage, verdictShortage},
		syscall.ENFILE:        {verdictShortage, verdictOver, verdictOver},
		syscall.EMFILE:        {verdictShortage, verdictOver, verdictOver},
		syscall.EINPROGRESS:   {verdictAgain, verdictWait, verdictOver},
	} {
		var err error
		if errno != 0 {
			err = fmt.Errorf("call: %w", &os.SyscallError{Syscall: "call", Err: errno})
		}
		if got := acceptVerdict(err); got != want.accept {
			t.Errorf("accept: %v is judged %d, want %d", errno, got, want.accept)
		}
		if got := connectVerdict(err); got != want.connect {
			t.Errorf("connect: %v is judged %d, want %d", errno, got, want.connect)
		}
		if got := transferVerdict(errno); got != want.transfer {
			t.Errorf("read and write: %v is judged %d, want %d", errno, got, want.transfer)
		}
	}
	for _, errno := range []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM} {
		if socketVerdict(errno) != verdictShortage || !errors.Is(shortage("socket", errno), ErrOutOfResources) || !errors.Is(shortage("socket", errno), errno) {
			t.Errorf("socket: %v is no shortage, or does not tell its number", errno)
		}
	}
	if socketVerdict(syscall.EAFNOSUPPORT) != verdictOver {
		t.Error("socket: an address family that is not there is taken for a shortage")
	}
}
