package ingress

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/tidwall/redcon"

	"curlewsail/choice"
)

const (
	maxValue   = 64 << 10        // bytes of one value
	maxMessage = maxValue + 4096 // bytes of one command or answer, the largest value among them
)

var (
	errTooLong   = errors.New("message is too long")
	errMalformed = errors.New("message is malformed")
)

// nextCommand takes the first whole command off buf; n is 0 while it is not
// whole. The parts lie in buf.
func nextCommand(buf []byte) (args [][]byte, n int, err error) {
	// redcon indexes out of range on negative and overflowing lengths; that
	// must end in an error to one client, not in a crash of all.
	defer func() {
		if recover() != nil {
			args, n, err = nil, 0, errMalformed
		}
	}()
	if len(buf) > 0 && buf[0] != '*' {
		return nil, 0, errMalformed
	}
	whole, args, _, rest, err := redcon.ReadNextCommand(buf, nil)
	if err != nil {
		return nil, 0, fmt.Errorf("%w: %w", errMalformed, err)
	}
	if !whole {
		if len(buf) >= maxMessage {
			return nil, 0, errTooLong
		}
		return nil, 0, nil
	}
	return args, len(buf) - len(rest), nil
}

// command is one request of a client, decoded.
type command struct {
	args             [][]byte // as the client sent them
	limitAt, limitTo int      // where the value of d stands in the options
	class, plan      int
	customer         uint64
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
		if len(a) > maxValue {
			return nil, errTooLong
		}
	}
	c := &command{args: args, class: -1, plan: -1, units: 1, spread: cfg.Choice.Gateways}
	var err error
	if c.customer, err = parseHex(args[1]); err != nil || c.customer >= maxCustomer {
		return nil, errors.New("bad customer")
	}
	if _, err = parseHex(args[2]); err != nil {
		return nil, errors.New("bad request id")
	}
	options := args[optionsArg]
	for at := 0; at <= len(options); {
		end := len(options)
		if i := bytes.IndexByte(options[at:], ','); i >= 0 {
			end = at + i
		}
		name, value, ok := strings.Cut(string(options[at:end]), "=")
		if !ok {
			return nil, errors.New("bad options")
		}
		switch name {
		case "c":
			if c.class, ok = cfg.classes[value]; !ok {
				return nil, errors.New("unknown class")
			}
		case "t":
			if c.plan, ok = cfg.plans[value]; !ok {
				return nil, errors.New("unknown plan")
			}
		case "d":
			var ms float64
			ms, err = parseNumber(value)
			c.limit = time.Duration(min(ms, math.MaxInt32) * float64(time.Millisecond))
			c.limitAt, c.limitTo = at+len("d="), end
		case "units":
			c.units, err = parseNumber(value)
		case "spread":
			c.spread, err = strconv.Atoi(value)
		case "first":
			c.first, err = strconv.Atoi(value)
		case "r":
			c.repeat = value == "1"
		}
		if err != nil {
			return nil, fmt.Errorf("bad value of %s", name)
		}
		at = end + 1
	}
	switch {
	case c.class < 0 || c.plan < 0 || c.limitAt == 0:
		return nil, errors.New("class, plan or time limit is missing")
	case ask != (cfg.Choice.Classes[c.class].Effect == choice.Free):
		return nil, errors.New("the command does not serve this class")
	}
	return c, nil
}

// equalFold compares a command's name, which may be written in any case.
func equalFold(a []byte, name string) bool { return strings.EqualFold(string(a), name) }

func parseHex(b []byte) (uint64, error) {
	if len(b) != 16 {
		return 0, errMalformed
	}
	return strconv.ParseUint(string(b), 16, 64)
}

func parseNumber(s string) (float64, error) {
	v, err := strconv.ParseFloat(s, 64)
	if err == nil && !(v >= 0 && v <= math.MaxFloat32) {
		err = errMalformed
	}
	return v, err
}

// appendTo appends the command for a backend: as the client sent it, with the
// time that the ingress will wait.
func (c *command) appendTo(b []byte, wait time.Duration) []byte {
	b = redcon.AppendArray(b, len(c.args))
	for i, a := range c.args {
		if i == optionsArg {
			options := make([]byte, 0, len(a)+8)
			options = append(options, a[:c.limitAt]...)
			options = strconv.AppendInt(options, max(1, wait.Milliseconds()), 10)
			a = append(options, a[c.limitTo:]...)
		}
		b = redcon.AppendBulk(b, a)
	}
	return b
}

// reply is what a backend answered to a request or a probe.
type reply struct {
	status  choice.Status
	value   []byte // the value, encoded as a bulk string
	metered bool
	used    float64
	load    choice.Load
}

// nextReply takes the first whole answer off buf; n is 0 while it is not
// whole. The value is a copy.
func (cfg *Config) nextReply(buf []byte) (r reply, n int, err error) {
	defer func() { // as in nextCommand
		if recover() != nil {
			n, err = 0, errMalformed
		}
	}()
	n, resp := redcon.ReadNextRESP(buf)
	if n == 0 {
		if len(buf) >= maxMessage {
			return r, 0, errTooLong
		}
		return r, 0, nil
	}
	r.status = choice.Error
	switch resp.Type {
	case redcon.Array:
		for i, item := range elements(resp) {
			if item.Type != redcon.Bulk || item.Raw[1] == '-' {
				continue // a null: no such figure
			}
			if i == 0 {
				r.status = choice.OK
				r.value = bytes.Clone(item.Raw)
			} else {
				cfg.note(&r, item.Data)
			}
		}
	case redcon.Bulk: // the answer to a probe
		if resp.Raw[1] != '-' {
			r.status = choice.OK
			cfg.note(&r, resp.Data)
		}
	case redcon.Error:
		words := bytes.Fields(resp.Data)
		for i, word := range words {
			if i == 0 && string(word) == "BUSY" {
				r.status = choice.Refused
			}
			cfg.note(&r, word)
		}
	}
	return r, n, nil
}

func elements(array redcon.RESP) (items []redcon.RESP) {
	array.ForEach(func(item redcon.RESP) bool {
		items = append(items, item)
		return true
	})
	return items
}

// note takes figures such as used=37 or inflight=7,queue=2 into r. Other words
// are passed over.
func (cfg *Config) note(r *reply, word []byte) {
	if bytes.IndexByte(word, '=') < 0 {
		return
	}
	var load choice.Load
	found := 0
	for pair := range strings.SplitSeq(string(word), ",") {
		name, text, _ := strings.Cut(pair, "=")
		value, err := parseNumber(text)
		if err != nil {
			continue
		}
		if name == "used" {
			r.metered, r.used = true, value/100
		}
		for i, field := range cfg.Choice.ReportFields {
			if field == name && i < len(load.Values) {
				load.Values[i] = value
				found++
			}
		}
	}
	if found > 0 {
		load.N = min(len(cfg.Choice.ReportFields), len(load.Values))
		r.load = load
	}
}
