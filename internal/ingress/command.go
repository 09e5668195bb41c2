package ingress

import (
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/tidwall/redcon"

	"wickarch/choice"
	"wickarch/internal/resp"
)

const maxArgs = 16 // per command

// nextCommand takes the first complete command off buf; n is 0 while it is incomplete. The arguments alias buf.
// A command that is too long is rejected by its length line, before any of its data is awaited.
func nextCommand(buf []byte) (args [][]byte, n int, err error) {
	if len(buf) == 0 {
		return nil, 0, nil
	}
	if buf[0] != '*' {
		return nil, 0, resp.ErrMalformed
	}
	count, at, err := resp.Length(buf)
	if err != nil || at == 0 {
		return nil, 0, err
	}
	if count < 0 || count > maxArgs {
		return nil, 0, resp.ErrMalformed
	}
	args = make([][]byte, 0, count)
	for range count {
		arg, n, err := resp.Bulk(buf[at:], resp.MaxMessage-at)
		if err != nil || n == 0 {
			return nil, 0, err
		}
		args = append(args, arg)
		at += n
	}
	return args, at, nil
}

// command is one decoded request of a client. All its values are in range: a backend rejects values that it can't
// use, and an invalid request must not change the customer's record.
type command struct {
	args                 [][]byte // as the client sent them
	limitStart, limitEnd int      // the position of d's value in the options
	class, plan          int
	customer             uint64
	requestID            uint64 // chosen by the client, new for each try
	timeLimit            time.Duration
	units                float64
	spread, first        int
	repeat               bool
}

const (
	optionsArg  = 3
	maxCustomer = 1 << 33
)

// parseCommand decodes a Q.ASK or Q.DO. Its error texts are sent to the client.
func (cfg *Config) parseCommand(args [][]byte) (*command, error) {
	ask := equalFold(args[0], "Q.ASK")
	switch {
	case !ask && !equalFold(args[0], "Q.DO"):
		return nil, errors.New("unknown command")
	case ask && len(args) != 4 || !ask && len(args) != 5:
		return nil, errors.New("wrong number of arguments")
	}
	for _, a := range args {
		if len(a) > resp.MaxValue {
			return nil, resp.ErrTooLong
		}
	}
	c := &command{args: args}
	var err error
	if c.customer, err = parseHex(args[1]); err != nil || c.customer >= maxCustomer {
		return nil, errors.New("bad customer")
	}
	if c.requestID, err = parseHex(args[2]); err != nil {
		return nil, errors.New("bad request id")
	}
	var seen option
	options := string(args[optionsArg])
	for at := 0; at <= len(options); {
		end := len(options)
		if i := strings.IndexByte(options[at:], ','); i >= 0 {
			end = at + i
		}
		name, value, ok := strings.Cut(options[at:end], "=")
		if !ok {
			return nil, errors.New("bad options")
		}
		opt := optionNames[name]
		if seen&opt != 0 { // backends might differ in which of the two they use
			return nil, fmt.Errorf("%s stands twice", name)
		}
		seen |= opt
		if err = cfg.parseOption(c, opt, name, value); err != nil {
			return nil, err
		}
		if opt == optLimit {
			c.limitStart, c.limitEnd = at+len("d="), end
		}
		at = end + 1
	}
	switch {
	case seen&requiredOptions != requiredOptions:
		return nil, errors.New("class, plan, time limit, units or set is missing")
	case ask != (cfg.Choice.Classes[c.class].Effect == choice.Idempotent):
		return nil, errors.New("the command does not serve this class")
	}
	return c, nil
}

// parseOption decodes the value of one option into the command.
func (cfg *Config) parseOption(c *command, opt option, name, value string) (err error) {
	gateways := max(1, cfg.Choice.Gateways)
	var ok bool
	switch opt {
	case optClass:
		if c.class, ok = cfg.classes[value]; !ok {
			return errors.New("unknown class")
		}
	case optPlan:
		if c.plan, ok = cfg.plans[value]; !ok {
			return errors.New("unknown plan")
		}
	case optLimit:
		var ms float64
		ms, err = resp.Decimal(value)
		if err == nil && ms < 1 {
			err = resp.ErrMalformed
		}
		c.timeLimit = time.Duration(min(ms, math.MaxInt32) * float64(time.Millisecond))
	case optUnits:
		c.units, err = resp.Decimal(value)
		if maxUnits := cfg.Choice.MaxUnits; err == nil && (c.units <= 0 || maxUnits > 0 && c.units > maxUnits) {
			err = resp.ErrMalformed
		}
	case optSpread:
		c.spread, err = resp.Int(value, 1, gateways)
	case optFirst:
		c.first, err = resp.Int(value, 0, gateways-1)
	case optRepeat:
		var r int
		r, err = resp.Int(value, 0, 1)
		c.repeat = r == 1
	}
	if err != nil {
		return fmt.Errorf("bad value of %s", name)
	}
	return nil
}

// option is one of the option names of a request, as a bit.
type option uint

const (
	optClass option = 1 << iota
	optPlan
	optLimit
	optUnits
	optSpread
	optFirst
	optRepeat

	requiredOptions = optRepeat - 1
)

var optionNames = map[string]option{"c": optClass, "t": optPlan, "d": optLimit, "units": optUnits,
	"spread": optSpread, "first": optFirst, "r": optRepeat}

// equalFold compares a command name, ignoring case.
func equalFold(a []byte, name string) bool { return strings.EqualFold(string(a), name) }

func parseHex(b []byte) (uint64, error) {
	if len(b) != 16 {
		return 0, resp.ErrMalformed
	}
	return strconv.ParseUint(string(b), 16, 64)
}

// probe is the command that asks a backend for a load report.
type probe struct{}

var loadProbe probe

// AppendTo appends the command.
func (probe) AppendTo(b []byte, _ time.Duration) []byte {
	return redcon.AppendBulkString(redcon.AppendBulkString(redcon.AppendArray(b, 2), "INFO"), "load")
}

// AppendTo appends the command for a backend: as the client sent it, except for the time limit, which becomes the
// time that the ingress will wait.
func (c *command) AppendTo(b []byte, wait time.Duration) []byte {
	b = redcon.AppendArray(b, len(c.args))
	for i, a := range c.args {
		if i == optionsArg {
			var digits [20]byte
			limit := strconv.AppendInt(digits[:0], max(1, wait.Milliseconds()), 10)
			b = append(b, '$')
			b = strconv.AppendInt(b, int64(len(a)-(c.limitEnd-c.limitStart)+len(limit)), 10)
			b = append(b, "\r\n"...)
			b = append(b, a[:c.limitStart]...)
			b = append(b, limit...)
			b = append(b, a[c.limitEnd:]...)
			b = append(b, "\r\n"...)
			continue
		}
		b = redcon.AppendBulk(b, a)
	}
	return b
}
