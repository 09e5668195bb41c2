package upstream

import (
	"bytes"
	"strings"
	"time"

	"wickarch/choice"
	"wickarch/internal/resp"
)

const (
	maxFigures  = 2048 // bytes of a load report or the figures on use
	answerParts = 3
	mostUsed    = 10_000  // percent: no customer uses a hundred times his quota
	mostLoad    = 100_000 // requests held, or milliseconds of service
)

// Reply is what a backend answered to a request or a probe.
type Reply struct {
	Status  choice.Status
	Value   []byte // the value; nil without one
	Metered bool
	Used    float64       // the customer's use, as a share of its rate; where Metered
	Age     time.Duration // since the answer began to come
	Load    choice.Load
	Stream  *Stream // in place of Value, where that is large
	Cause   Cause   // why the attempt ended without an answer that could be taken
	Err     error   // what the system said then; nil where it said nothing

	large int // the size of a value that is to be streamed; what follows is not read yet
}

// nextReply takes the first whole answer off buf; n is 0 while it is not
// whole. An error tells that it can never be read: waiting for more would hold
// the request until its time is up. The value is a copy.
func (p *Pool) nextReply(buf []byte) (r Reply, n int, err error) {
	r.Status = choice.Error
	if len(buf) == 0 {
		return r, 0, nil
	}
	switch buf[0] {
	case '*':
		return p.served(buf)
	case '$': // the answer to a probe
		data, n, err := resp.BulkOrNull(buf, maxFigures)
		if n > 0 && data != nil {
			r.Status = choice.OK
			p.note(&r, data)
		}
		return r, n, err
	case '-':
		text, n, err := resp.Line(buf)
		if n == 0 || err != nil {
			return r, 0, err
		}
		words := bytes.Fields(text)
		// A line that is spoilt proves nothing, whatever it begins with.
		if len(words) > 0 && string(words[0]) == "BUSY" && resp.Printable(text) {
			r.Status = choice.Refused
		}
		for _, word := range words {
			p.note(&r, word)
		}
		return r, n, nil
	case '+', ':':
		_, n, err := resp.Line(buf)
		return r, n, err
	}
	return r, 0, resp.ErrMalformed
}

// served takes an answer with a value: the value, the figures on use and the
// load report. The latter two may be null, and are left out if they can't be
// read; the value is as good without them.
func (p *Pool) served(buf []byte) (r Reply, n int, err error) {
	r.Status = choice.Error
	count, n, err := resp.Length(buf)
	if err != nil || n == 0 {
		return r, 0, err
	}
	if count != answerParts {
		return r, 0, resp.ErrMalformed
	}
	if n < len(buf) && buf[n] == '$' {
		if size, used, malformed := resp.Length(buf[n:]); malformed == nil && used > 0 && large(size) {
			r.Status, r.large = choice.OK, size
			return r, n + used, nil
		}
	}
	value, used, err := resp.BulkOrNull(buf[n:], resp.MaxValue)
	if err != nil || used == 0 {
		return r, 0, err
	}
	n += used
	used, err = p.figures(&r, buf[n:], count-1)
	if err != nil || used == 0 {
		return r, 0, err
	}
	n += used
	if value != nil {
		r.Status, r.Value = choice.OK, append(make([]byte, 0, len(value)), value...)
	}
	return r, n, nil
}

// figures takes so many parts with figures off buf into r.
func (p *Pool) figures(r *Reply, buf []byte, parts int) (n int, err error) {
	for ; parts > 0; parts-- {
		var figures []byte
		var used int
		if n < len(buf) && bytes.IndexByte([]byte("+-:"), buf[n]) >= 0 {
			_, used, err = resp.Line(buf[n:])
		} else {
			figures, used, err = resp.BulkOrNull(buf[n:], maxFigures)
		}
		if err != nil || used == 0 {
			return 0, err
		}
		p.note(r, figures)
		n += used
	}
	return n, nil
}

// note takes figures such as used=37 or inflight=7,latency_ms=12 into r. Those
// that can't be read, or are beyond reason, are left out with all that stands
// beside them: what is spoilt in one place is not to be believed in another.
func (p *Pool) note(r *Reply, word []byte) {
	if bytes.IndexByte(word, '=') < 0 {
		return
	}
	var got Reply
	var fields uint
	for pair := range strings.SplitSeq(string(word), ",") {
		name, text, _ := strings.Cut(pair, "=")
		value, err := resp.Decimal(text)
		if err != nil {
			return
		}
		if name == "used" {
			if got.Metered || value > mostUsed {
				return
			}
			got.Metered, got.Used = true, value/100
		}
		for i, field := range p.cfg.ReportFields {
			if field == name && i < len(got.Load.Values) {
				if fields&(1<<i) != 0 || value > mostLoad {
					return
				}
				fields |= 1 << i
				got.Load.Values[i] = value
			}
		}
	}
	if got.Metered {
		r.Metered, r.Used = true, got.Used
	}
	if n := min(len(p.cfg.ReportFields), len(got.Load.Values)); n > 0 && fields == 1<<n-1 {
		got.Load.N = n
		r.Load = got.Load
	}
}
