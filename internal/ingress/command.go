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

const maxParts = 16 // of a command

// nextCommand takes the first whole command off buf; n is 0 while it is not
// whole. The parts lie in buf. What is too long is refused by its length line,
// before any of it is waited for.
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
	if count < 0 || count > maxParts {
		return nil, 0, resp.ErrMalformed
	}
	args = make([][]byte, 0, count)
	for range count {
		part, n, err := resp.Bulk(buf[at:], resp.MaxMessage-at)
		if err != nil || n == 0 {
			return nil, 0, err
		}
		args = append(args, part)
		at += n
	}
	return args, at, nil
}

// command is one request of a client, decoded. All its values are in range: a
// backend turns away what it can't use, and a customer's record must not
// change by what is no request of his.
type command struct {
	args             [][]byte // as the client sent them
	limitAt, limitTo int      // where the value of d stands in the options
	class, plan      int
	customer         uint64
	requestID        uint64 // the client's id, new with every try
	limit            time.Duration
	units            float64
	spread, first    int
	repeat           bool
}

const (
	optionsArg  = 3
	maxCustomer = 1 << 33
)

// parseCommand decodes a Q.ASK or Q.DO. Its error is worded for the client.
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
		is := optionNames[name]
		if seen&is != 0 { // which of the two would a backend believe?
			return nil, fmt.Errorf("%s stands twice", name)
		}
		seen |= is
		if err = cfg.parseOption(c, is, name, value); err != nil {
			return nil, err
		}
		if is == optLimit {
			c.limitAt, c.limitTo = at+len("d="), end
		}
		at = end + 1
	}
	switch {
	case seen&optNeeded != optNeeded:
		return nil, errors.New("class, plan, time limit, units or set is missing")
	case ask != (cfg.Choice.Classes[c.class].Effect == choice.Idempotent):
		return nil, errors.New("the command does not serve this class")
	}
	return c, nil
}

// parseOption decodes the value of one option into the command.
func (cfg *Config) parseOption(c *command, is option, name, value string) (err error) {
	gateways := max(1, cfg.Choice.Gateways)
	var ok bool
	switch is {
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
		c.limit = time.Duration(min(ms, math.MaxInt32) * float64(time.Millisecond))
	case optUnits:
		c.units, err = resp.Decimal(value)
		if most := cfg.Choice.MaxUnits; err == nil && (c.units <= 0 || most > 0 && c.units > most) {
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

// option is one of the names in a request's options, as a bit.
type option uint

const (
	optClass option = 1 << iota
	optPlan
	optLimit
	optUnits
	optSpread
	optFirst
	optRepeat

	optNeeded = optRepeat - 1
)

var optionNames = map[string]option{"c": optClass, "t": optPlan, "d": optLimit, "units": optUnits,
	"spread": optSpread, "first": optFirst, "r": optRepeat}

// equalFold compares a command's name, which may be written in any case.
func equalFold(a []byte, name string) bool { return strings.EqualFold(string(a), name) }

func parseHex(b []byte) (uint64, error) {
	if len(b) != 16 {
		return 0, resp.ErrMalformed
	}
	return strconv.ParseUint(string(b), 16, 64)
}

// probe asks for a load report.
type probe struct{}

var loadProbe probe

// AppendTo appends the question.
func (probe) AppendTo(b []byte, _ time.Duration) []byte {
	return redcon.AppendBulkString(redcon.AppendBulkString(redcon.AppendArray(b, 2), "INFO"), "load")
}

// AppendTo appends the command for a backend: as the client sent it, with the
// time that the ingress will wait.
func (c *command) AppendTo(b []byte, wait time.Duration) []byte {
	b = redcon.AppendArray(b, len(c.args))
	for i, a := range c.args {
		if i == optionsArg {
			var digits [20]byte
			limit := strconv.AppendInt(digits[:0], max(1, wait.Milliseconds()), 10)
			b = append(b, '$')
			b = strconv.AppendInt(b, int64(len(a)-(c.limitTo-c.limitAt)+len(limit)), 10)
			b = append(b, "\r\n"...)
			b = append(b, a[:c.limitAt]...)
			b = append(b, limit...)
			b = append(b, a[c.limitTo:]...)
			b = append(b, "\r\n"...)
			continue
		}
		b = redcon.AppendBulk(b, a)
	}
	return b
}
