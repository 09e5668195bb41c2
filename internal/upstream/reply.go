package upstream

import (
	"bytes"
	"strings"
	"time"

	"wickarch/choice"
	"wickarch/internal/resp"
)

const (
	maxReportLength = 2048 // bytes of a load or usage report
	replyElements   = 3
	maxUsedPercent  = 10_000  // no customer uses more than a hundred times its quota
	maxLoadValue    = 100_000 // requests in flight, or milliseconds of service time
)

// Reply is a backend's reply to a request or a probe, or the reason why there is none.
type Reply struct {
	Status  choice.Status
	Value   []byte        // nil if there is none
	Metered bool          // the reply had a usage report
	Used    float64       // Metered: the customer's usage as a share of its rate
	Age     time.Duration // since the first byte of the reply
	Load    choice.Load
	Stream  *Stream // in place of Value, if the value is large
	Cause   Cause   // why the attempt ended without an acceptable reply
	Err     error   // the system's or parser's error then, if any

	streamSize int  // size of a value to be streamed, of which only the head was parsed; otherwise 0
	merged     bool // the line may be the beginning of one line, continued by the first line of another reply
}

// typeBytes are the bytes with which replies begin.
const typeBytes = "*$+-:"

// mayBeMerged reports whether a line's text, without its own type byte, may be the beginning of one line
// continued by another reply: a backend that stops within a line sends the next reply behind it.
func mayBeMerged(text []byte) bool { return bytes.ContainsAny(text, typeBytes) }

// parseReply parses the first reply in buf, of n bytes; n is 0 while it is
// incomplete. An error means that no further bytes can make it valid: waiting for
// more would hold the request until its deadline. The value is a copy.
func (p *Pool) parseReply(buf []byte) (r Reply, n int, err error) {
	r.Status = choice.Error
	if len(buf) == 0 {
		return r, 0, nil
	}
	switch buf[0] {
	case '*':
		return p.parseServed(buf)
	case '$': // the reply to a probe
		data, n, err := resp.BulkOrNull(buf, maxReportLength)
		if n > 0 && data != nil {
			r.Status = choice.OK
			p.parseReport(&r, data)
		}
		return r, n, err
	case '-':
		text, n, err := resp.Line(buf)
		if n == 0 || err != nil {
			return r, 0, err
		}
		if r.merged = mayBeMerged(text); r.merged {
			return r, n, nil
		}
		words := bytes.Fields(text)
		if isRefusal(text, words) {
			r.Status = choice.Refused
		}
		for _, word := range words {
			p.parseReport(&r, word)
		}
		return r, n, nil
	case '+', ':':
		text, n, err := resp.Line(buf)
		r.merged = n > 0 && mayBeMerged(text)
		return r, n, err
	}
	return r, 0, resp.ErrMalformed
}

// isRefusal reports whether an error line states that the request never ran: the word BUSY, and after it at most
// reports. A corrupted line proves nothing, whatever it begins with.
func isRefusal(text []byte, words [][]byte) bool {
	if len(words) == 0 || string(words[0]) != "BUSY" || !resp.Printable(text) {
		return false
	}
	for _, word := range words[1:] {
		if !hasReportForm(word) {
			return false
		}
	}
	return true
}

// hasReportForm reports whether a word consists of names and values, as in used=37,cost=4.
func hasReportForm(word []byte) bool {
	for pair := range bytes.SplitSeq(word, []byte(",")) {
		name, value, found := bytes.Cut(pair, []byte("="))
		if !found || !isReportToken(name) || !isReportToken(value) {
			return false
		}
	}
	return true
}

// isReportToken reports whether a text may be a name or a value of a report.
func isReportToken(text []byte) bool {
	for _, ch := range text {
		isLetter := ch >= 'a' && ch <= 'z' || ch >= 'A' && ch <= 'Z'
		isDigit := ch >= '0' && ch <= '9'
		if !isLetter && !isDigit && ch != '_' && ch != '.' {
			return false
		}
	}
	return len(text) > 0
}

// parseServed parses a reply with a value: the value, the usage report and the load
// report. The reports may be null, and are left out if they can't be parsed; the
// value is valid without them.
func (p *Pool) parseServed(buf []byte) (r Reply, n int, err error) {
	r.Status = choice.Error
	count, n, err := resp.Length(buf)
	if err != nil || n == 0 {
		return r, 0, err
	}
	if count != replyElements {
		return r, 0, resp.ErrMalformed
	}
	if n < len(buf) && buf[n] == '$' {
		if size, consumed, malformed := resp.Length(buf[n:]); malformed == nil && consumed > 0 && isStreamed(size) {
			r.Status, r.streamSize = choice.OK, size
			return r, n + consumed, nil
		}
	}
	value, consumed, err := resp.BulkOrNull(buf[n:], resp.MaxValue)
	if err != nil || consumed == 0 {
		return r, 0, err
	}
	n += consumed
	consumed, err = p.parseTrailer(&r, buf[n:], count-1)
	if err != nil || consumed == 0 {
		return r, 0, err
	}
	n += consumed
	if value != nil {
		r.Status, r.Value = choice.OK, append(make([]byte, 0, len(value)), value...)
	}
	return r, n, nil
}

// parseTrailer parses this many array elements with reports from buf into r.
func (p *Pool) parseTrailer(r *Reply, buf []byte, elements int) (n int, err error) {
	for ; elements > 0; elements-- {
		var report []byte
		var consumed int
		if n < len(buf) && bytes.IndexByte([]byte("+-:"), buf[n]) >= 0 {
			var text []byte
			if text, consumed, err = resp.Line(buf[n:]); consumed > 0 && mayBeMerged(text) {
				return 0, resp.ErrMalformed
			}
		} else {
			report, consumed, err = resp.BulkOrNull(buf[n:], maxReportLength)
		}
		if err != nil || consumed == 0 {
			return 0, err
		}
		p.parseReport(r, report)
		n += consumed
	}
	return n, nil
}

// parseReport parses a usage or load report, such as used=37 or
// inflight=7,latency_ms=12, into r. A report with a field that can't be parsed or is
// out of range is left out as a whole: corrupted in one field, it can't be trusted in
// another.
func (p *Pool) parseReport(r *Reply, report []byte) {
	if bytes.IndexByte(report, '=') < 0 {
		return
	}
	var parsed Reply
	var seen uint // bit set of ReportFields
	for pair := range strings.SplitSeq(string(report), ",") {
		name, text, _ := strings.Cut(pair, "=")
		value, err := resp.Decimal(text)
		if err != nil {
			return
		}
		if name == "used" {
			if parsed.Metered || value > maxUsedPercent {
				return
			}
			parsed.Metered, parsed.Used = true, value/100
		}
		for i, field := range p.cfg.ReportFields {
			if field == name && i < len(parsed.Load.Values) {
				if seen&(1<<i) != 0 || value > maxLoadValue {
					return
				}
				seen |= 1 << i
				parsed.Load.Values[i] = value
			}
		}
	}
	if parsed.Metered {
		r.Metered, r.Used = true, parsed.Used
	}
	if n := min(len(p.cfg.ReportFields), len(parsed.Load.Values)); n > 0 && seen == 1<<n-1 {
		parsed.Load.N = n
		r.Load = parsed.Load
	}
}
