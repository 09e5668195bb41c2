package simulate

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"wickarch/internal/ingress"
	"wickarch/internal/reactor"
	"wickarch/internal/reactor/simnet"
	"wickarch/internal/resp"
)

// backend simulates one backend. It starts a command once its last byte has arrived,
// and answers in order.
type backend struct {
	*run
	node     *simnet.Node
	ln       reactor.Listener
	name     string // ID in discovery
	cell     int
	phase    string
	upSince  int64
	inFlight int // commands being processed

	load    coldLoad
	crashed bool // overloaded while cold; it stays down until restarted

	freeAt []time.Duration // with Queue: when each core finishes the work assigned to it
}

func (r *run) addBackend(ip string) {
	b := &backend{run: r, node: r.net.Node(ip), cell: len(r.backends) / 3, phase: ingress.PhaseServing}
	b.name = fmt.Sprintf("s-%d", len(r.backends))
	r.backends = append(r.backends, b)
	b.restart()
}

func (b *backend) restart() {
	if b.node.Loop != nil {
		b.node.Kill()
	}
	b.inFlight, b.crashed = 0, false
	b.freeAt = make([]time.Duration, max(1, int(b.Cores)))
	b.node.Start(func(l *reactor.Loop) {
		var err error
		if b.ln, err = l.Listen(b.node.IP+":7", b); err != nil {
			panic(err)
		}
	})
}

func (b *backend) member() ingress.Member {
	return ingress.Member{ID: b.name, HostPort: b.node.IP + ":7", Locality: "a", Flavor: "std", Cell: b.cell, Phase: b.phase,
		Size: 1, UpSince: b.upSince}
}

// memberJSON returns the member as it stands in an ingress's configuration.
func (b *backend) memberJSON() string {
	return fmt.Sprintf(`{"id":%q,"host_port":"%s:7","locality":"a","flavor":"std","cell":%d,"phase":%q,"size":1,"up_since_ms":%d}`,
		b.name, b.node.IP, b.cell, b.phase, b.upSince)
}

// Ready accepts connections.
func (b *backend) Ready(reactor.Event) {
	for {
		nc, err := b.ln.Accept()
		if err != nil {
			return
		}
		s := &serverConn{backend: b, conn: nc}
		_ = nc.Watch(s) // cannot fail on a simulated connection
	}
}

const (
	minService  = 2 * ms // service time of a command, drawn uniformly between minService and 2*meanService-minService
	meanService = 17 * ms
)

// serverConn is the backend's end of one connection from an ingress.
type serverConn struct {
	*backend
	conn            reactor.Conn
	in              []byte
	out             []byte
	firstByteSentAt time.Duration // when the first byte of the command being read was sent
	closed          bool
	pending         int  // commands received and not yet answered
	corrupted       bool // a malformed reply was sent or is due on this connection
}

// Ready reads commands and writes the rest of the output buffer.
func (s *serverConn) Ready(e reactor.Event) {
	var buf [8 << 10]byte
	for !s.closed {
		if len(s.in) == 0 {
			s.firstByteSentAt = simnet.SentAt(s.conn)
		}
		n, err := s.conn.Read(buf[:])
		s.in = append(s.in, buf[:n]...)
		if err == reactor.ErrWouldBlock {
			break
		}
		if err != nil {
			s.close()
			return
		}
		for {
			words, used := parse(s.in)
			if used == 0 {
				break
			}
			s.in = s.in[used:]
			s.handle(words)
		}
	}
	s.flush()
}

func (s *serverConn) close() {
	if !s.closed {
		s.closed = true
		s.conn.Close()
	}
}

func (s *serverConn) write(b []byte) {
	s.out = append(s.out, b...)
	s.flush()
}

func (s *serverConn) flush() {
	if s.closed || len(s.out) == 0 {
		return
	}
	n, err := s.conn.Write(s.out)
	s.out = s.out[n:]
	if err != nil && err != reactor.ErrWouldBlock {
		s.close()
	}
}

// parse reads one complete command from the start of in; used is 0 if it is incomplete.
func parse(in []byte) (words []string, used int) {
	text := string(in)
	next := func() (string, bool) {
		i := strings.Index(text[used:], "\r\n")
		if i < 0 {
			return "", false
		}
		l := text[used : used+i]
		used += i + 2
		return l, true
	}
	l, ok := next()
	if !ok {
		return nil, 0
	}
	n, _ := strconv.Atoi(l[1:])
	for range n {
		if l, ok = next(); !ok {
			return nil, 0
		}
		size, _ := strconv.Atoi(l[1:])
		if used+size+2 > len(text) {
			return nil, 0
		}
		words = append(words, text[used:used+size])
		used += size + 2
	}
	return words, used
}

// handle processes a complete command: it draws a service time and how the backend answers.
func (s *serverConn) handle(words []string) {
	if words[0] == "INFO" {
		load := fmt.Sprintf("inflight=%d,latency_ms=10", s.inFlight)
		report := fmt.Appendf(nil, "$%d\r\n%s\r\n", len(load), load)
		s.write(report)
		if s.rand.Float64() < s.Copy {
			s.sendDuplicate(report)
		}
		return
	}
	a := s.recordAttempt(s, words)
	s.pending++
	r := s.rand
	service := minService + time.Duration(r.Int64N(2*int64(meanService-minService)))
	s.countWork(a.from, service)
	service = s.completionDelay(service)
	loop := s.node.Loop
	afterService := func(f func()) {
		s.inFlight++
		s.net.After(service, func() {
			if s.node.Loop != loop {
				return
			}
			s.inFlight--
			if !s.closed {
				f()
			}
		})
	}
	roll := r.Float64()
	hit := func(p float64) bool {
		roll -= p
		return roll < 0
	}
	value := a.value(s)
	switch {
	case hit(s.Busy):
		s.complete(a, "-BUSY\r\n")
		if r.Float64() < s.Copy {
			s.sendDuplicate([]byte("-BUSY\r\n"))
		}
	case hit(s.Err):
		if r.IntN(2) == 0 {
			s.execute(a)
		}
		afterService(func() { s.complete(a, "-ERR failed\r\n") })
	case hit(s.Silent):
		s.execute(a)
	case hit(s.Close):
		if r.IntN(2) == 0 {
			s.execute(a)
		}
		afterService(func() { a.done = true; s.close() })
	case hit(s.Spoil):
		s.execute(a)
		s.corrupted = true
		afterService(func() {
			s.complete(a, [...]string{"noise", "*3\r\n$3000000000\r\n", "$x\r\n", "*3\r\n$4\r\nab"}[r.IntN(4)])
		})
	case hit(s.Copy):
		s.execute(a)
		afterService(func() {
			s.complete(a, value)
			s.sendDuplicate([]byte(value))
		})
	case hit(s.Noise):
		s.execute(a)
		afterService(func() { s.complete(a, value+"noise") })
	case hit(s.Halves):
		s.execute(a)
		afterService(func() {
			at := 1 + r.IntN(len(value)-1)
			s.write([]byte(value[:at]))
			afterService(func() { s.complete(a, value[at:]) })
		})
	default:
		s.execute(a)
		afterService(func() { s.complete(a, value) })
	}
}

// completionDelay returns how long a command takes until it is done. With Queue each core processes one command
// after the other, and more slowly the colder the backend is.
func (b *backend) completionDelay(work time.Duration) time.Duration {
	if !b.Queue {
		return work
	}
	now, capacity := b.net.Now(), 1.0
	if age := simnet.Epoch.Add(now).Sub(time.UnixMilli(b.upSince)); b.upSince > 0 && age < b.cold() {
		capacity = b.ColdRule.From + (1-b.ColdRule.From)*age.Seconds()/b.cold().Seconds()
	}
	i := 0
	for k, at := range b.freeAt {
		if at < b.freeAt[i] {
			i = k
		}
	}
	b.freeAt[i] = max(b.freeAt[i], now) + time.Duration(float64(work)/capacity)
	return b.freeAt[i] - now
}

// sendDuplicate writes an answer a second time within 18 ms, if no other command is
// pending then. It sends nothing over a cut link or after a malformed answer: a copy
// that arrives after the ingress's reuse cooldown, or completes another answer, can't
// be told from the answer to another request by anything in the protocol.
func (s *serverConn) sendDuplicate(text []byte) {
	loop := s.node.Loop
	s.net.After(time.Duration(s.rand.Int64N(int64(18*ms))), func() {
		now := s.net.Now()
		cut := overlaps(s.linkCuts[simnet.PeerIP(s.conn)+s.node.IP], now, now)
		if s.node.Loop == loop && !s.closed && s.pending == 0 && !s.corrupted && !cut {
			s.write(text)
		}
	})
}

// complete writes the last part of an answer.
func (s *serverConn) complete(a *attempt, text string) {
	a.done = true
	s.pending--
	s.write([]byte(text))
}

// value returns the answer to a request: its ID padded to a random length, and the usage report.
func (a *attempt) value(s *serverConn) string {
	v := a.request.id + strings.Repeat(".", s.rand.IntN(max(1, s.Values)))
	if s.Large > 0 && s.rand.Float64() < s.Large {
		v += strings.Repeat(".", resp.MaxValue+s.rand.IntN(resp.MaxValue))
	}
	used := fmt.Sprintf("used=%.0f", s.meter.usagePercent(a.request.customer, s.net.Now()))
	return fmt.Sprintf("*3\r\n$%d\r\n%s\r\n$%d\r\n%s\r\n$-1\r\n", len(v), v, len(used), used)
}

// meter counts each customer's requests in periods of half a second.
type meter struct {
	period     int64
	used, last map[string]float64
}

func (m *meter) advance(now time.Duration) {
	if p := int64(now / (500 * ms)); p != m.period {
		m.last = nil
		if p == m.period+1 {
			m.last = m.used
		}
		m.period, m.used = p, map[string]float64{}
	}
}

func (m *meter) usagePercent(customer string, now time.Duration) float64 {
	m.advance(now)
	rate := 20.0
	if hasHardLimit(customer) {
		rate = 10
	}
	return min(9999, 100*m.last[customer]/(rate*0.5))
}
