package ingress

import (
	"wickarch/internal/resp"
)

// skippedCommand is a command that there is no memory for. Its bytes are discarded as they arrive, and it is answered
// once the last one has come: its connection stays in step with the client, and what follows is read as usual.
type skippedCommand struct {
	argsLeft  int   // arguments whose length has not been read
	bytesLeft int   // of the current argument and the line end behind it
	sizeLeft  int   // bytes that the command may still have
	class     int   // of the request; unknownClass if it was not read
	err       error // what is wrong with the command, as far as it was read
}

const unknownClass = -1

// skipCommand returns the state of a command of which buf is the beginning. The number of arguments has been read.
func (cfg *Config) skipCommand(buf []byte) (s *skippedCommand, n int, err error) {
	count, at, err := resp.Length(buf)
	if err != nil || at == 0 {
		return nil, 0, resp.ErrMalformed
	}
	s = &skippedCommand{argsLeft: count, sizeLeft: resp.MaxMessage - at, class: unknownClass}
	if args, known := leadingArgs(buf[at:], optionsArg+1); known && count > len(args) {
		var cmd *command
		if cmd, s.err = cfg.parseCommand(append(args, make([][]byte, count-len(args))...)); s.err == nil {
			s.class = cmd.class
		}
	}
	n, _, err = s.consume(buf[at:])
	return s, at + n, err
}

// leadingArgs returns the first arguments in buf. It reports false if they are not complete.
func leadingArgs(buf []byte, count int) (args [][]byte, ok bool) {
	for range count {
		arg, n, err := resp.Bulk(buf, resp.MaxMessage)
		if err != nil || n == 0 {
			return nil, false
		}
		args = append(args, arg)
		buf = buf[n:]
	}
	return args, true
}

// consume takes the bytes off buf that belong to the command, but for an incomplete length line at the end of buf. It
// reports whether the command is complete.
func (s *skippedCommand) consume(buf []byte) (n int, complete bool, err error) {
	for {
		taken := min(s.bytesLeft, len(buf)-n)
		s.bytesLeft -= taken
		n += taken
		switch {
		case s.bytesLeft > 0:
			return n, false, nil
		case s.argsLeft == 0:
			return n, true, nil
		}
		size, at, err := resp.BulkLength(buf[n:], s.sizeLeft)
		switch {
		case err != nil:
			return n, false, err
		case at == 0:
			return n, false, nil
		case size < 0:
			return n, false, resp.ErrMalformed
		}
		s.argsLeft--
		s.bytesLeft = size + len(resp.LineEnd)
		s.sizeLeft -= at + s.bytesLeft
		n += at
	}
}

// minArgBytes is the length of an empty argument.
const minArgBytes = len("$0") + 2*len(resp.LineEnd)

// minMissing returns the least number of bytes that are missing of the command. begun bytes of the next length line are
// there already.
func (s *skippedCommand) minMissing(begun int) int {
	return max(1, s.bytesLeft+s.argsLeft*minArgBytes-begun)
}
