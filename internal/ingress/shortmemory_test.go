package ingress

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"wickarch/internal/resp"
)

// outcomes splits what a client received into replies and counts those that are served, refused and failed.
func (c *virtualClient) outcomes() (servedCount, refusedCount, failedCount int) {
	for rest := string(c.received); rest != ""; {
		line, after, _ := strings.Cut(rest, resp.LineEnd)
		switch {
		case strings.HasPrefix(line, "$"):
			servedCount++
			_, after, _ = strings.Cut(after, resp.LineEnd)
		case strings.HasPrefix(line, "-BUSY"):
			refusedCount++
		default:
			failedCount++
		}
		rest = after
	}
	return servedCount, refusedCount, failedCount
}

// partOfPayment returns a payment of the greatest length, cut after n bytes, and the rest of it.
func partOfPayment(n int) (part, rest string) {
	whole := encode("Q.DO", someCustomer, newID(), payment, strings.Repeat("x", resp.MaxValue))
	return whole[:n], whole[n:]
}

// exhaustMemory connects clients that stop in the middle of a payment, until the memory for incomplete commands is
// used up.
func (i *simulation) exhaustMemory(limit int64) (holders []*virtualClient) {
	i.Helper()
	i.ingress.loop.memory.limit = limit
	for _, size := range []int{60_000, 30_000, 8000, 4000, 2000, 1000, 600, 600} {
		part, _ := partOfPayment(size)
		holders = append(holders, i.dial(part))
		i.advance(10 * ms)
	}
	return holders
}

// serveAll has every attempt served as it arrives.
func (i *simulation) serveAll() {
	i.onAttempt = func(a *scriptedAttempt) { i.net.After(ms, func() { a.serve("v") }) }
}

// Guards against commands that were read and never answered: behind the limit of open ones the rest of what was read
// found no memory, and its connection was ended.
func TestCommandsReadWhileMemoryIsShortAreAllAnswered(t *testing.T) {
	const sent = maxPending + 72
	for _, limit := range []int64{2000, 20_000, 60_000} {
		sim := newSimulation(t, 1, 4, nil)
		sim.serveAll()
		sim.exhaustMemory(limit)
		var all strings.Builder
		for range sent {
			all.WriteString(encodeRequest("lookup", newID(), 5000))
		}
		c := sim.dial(all.String())
		sim.advance(time.Second)
		servedCount, refusedCount, failedCount := c.outcomes()
		if servedCount+refusedCount != sent || failedCount > 0 || c.ended {
			t.Errorf("limit %d: %d served, %d refused, %d failed of %d; ended %v", limit, servedCount, refusedCount, failedCount, sent, c.ended)
		}
	}
}

// Guards against a large command that ends its connection, over the commands behind it, if there is no memory for the
// whole of it: it is refused once it has come.
func TestLargeCommandWithoutMemoryIsRefused(t *testing.T) {
	for _, cut := range []int{minPartialBuffer - 1, 700, 5000, 60_000, resp.MaxValue + 100} {
		sim := newSimulation(t, 1, 4, func(cfg *Config) { cfg.Choice.Probing = false })
		sim.serveAll()
		sim.ingress.loop.memory.limit = 600 + requestBytes
		part, rest := partOfPayment(cut)
		c := sim.dial(part)
		sim.advance(100 * ms)
		c.send(rest + encodeRequest("lookup", newID(), 5000))
		sim.advance(time.Second)
		if got, want := string(c.received), "-BUSY\r\n$1\r\nv\r\n"; got != want || c.ended {
			t.Errorf("cut after %d bytes: the client got %.100q, want %q; ended %v", cut, got, want, c.ended)
		}
		if busy := sim.ingress.loop.metrics.classes[1].Busy; busy != 1 || sim.ingress.Usage().Memory != 0 {
			t.Errorf("cut after %d bytes: %d payments counted as refused, want one; %+v", cut, busy, sim.ingress.Usage())
		}
	}
}

// Guards against bad clients that keep their connections: one that stops in the middle of a command without memory, or
// trickles it, is ended like any other, and one whose command goes wrong there as well.
func TestClientsThatStopInACommandWithoutMemoryAreEnded(t *testing.T) {
	part, _ := partOfPayment(5000)
	malformed := fmt.Sprintf("*5\r\n$4\r\nQ.DO\r\n$%d\r\n%s\r\n?", 2000, strings.Repeat("x", 2000))
	for name, c := range map[string]struct{ text, more, want string }{
		"stops":     {part, "", "-ERR " + errPartialCommand.Error()},
		"trickles":  {part, "x", "-ERR " + errPartialCommand.Error()},
		"malformed": {malformed, "", "-ERR " + resp.ErrMalformed.Error()},
		"too long":  {strings.Replace(part, "$65536", "$65537", 1), "", "-ERR " + resp.ErrTooLong.Error()},
	} {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(t, 1, 1, nil)
			sim.ingress.loop.memory.limit = 600
			client := sim.dial(c.text)
			if c.more != "" {
				client.keepSending(c.more, 50*ms, 5*time.Second)
			}
			sim.advance(partialCommandTimeout + 500*ms)
			if got := client.answers(); got != c.want || !client.ended {
				t.Errorf("the client got %q, want %q; ended %v", got, c.want, client.ended)
			}
		})
	}
}

// What is held for clients stays within the limit and minPartialBuffer for each connection, whatever they send.
func TestInputHeldWhileMemoryIsShortIsBounded(t *testing.T) {
	const clients, limit = 40, 20_000
	sim := newSimulation(t, 1, 4, nil)
	sim.ingress.loop.memory.limit = limit
	for n := range clients {
		part, _ := partOfPayment(1000 + 500*n)
		sim.dial(strings.Repeat(encodeRequest("lookup", newID(), 5000), 1+n) + part)
		sim.advance(ms)
		if held := sim.ingress.Usage().Memory; held > limit+clients*minPartialBuffer {
			t.Fatalf("%d bytes are held for %d clients, want %d at most", held, n+1, limit+clients*minPartialBuffer)
		}
	}
}

// A large command that has come whole needs no memory for its parts, however many bad clients hold theirs.
func TestWholeCommandIsServedWhileMemoryForInputIsShort(t *testing.T) {
	for _, size := range []int{100, 1000, 20_000, 60_000} {
		sim := newSimulation(t, 1, 4, nil)
		sim.serveAll()
		sim.exhaustMemory(150_000)
		if free := sim.ingress.loop.memory.freeForInput(); free > 2*minPartialBuffer {
			t.Fatalf("%d bytes are left for input, want %d at most", free, 2*minPartialBuffer)
		}
		request := encode("Q.DO", someCustomer, newID(), payment, strings.Repeat("x", size))
		c := sim.dial(encodeRequest("lookup", newID(), 5000) + request + encodeRequest("lookup", newID(), 5000))
		sim.advance(100 * ms)
		if got, want := string(c.received), strings.Repeat("$1\r\nv\r\n", 3); got != want {
			t.Errorf("body of %d bytes: the client got %.100q, want %q", size, got, want)
		}
	}
}

// heapInUse returns the bytes of the heap that are in use.
func heapInUse() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// Guards against requests that have been answered and still hold their messages, uncounted, while their replies wait for
// a slower one before them.
func TestAnsweredRequestsHoldNoMessages(t *testing.T) {
	const body, behind, clients = 20_000, maxPending - 1, 8
	sim := newSimulation(t, 1, 1, nil)
	before := heapInUse()
	var all []*virtualClient
	for range clients {
		all = append(all, sim.dial(encodeRequest("payment", newID(), 20_000))) // never answered
	}
	sim.advance(5 * ms)
	sim.do(func() { sim.ingress.UpdateMembers(MemberList{Revision: 2, Complete: true, Members: []Member{}}) })
	for _, c := range all {
		for range behind { // refused at once: no backend is left
			c.send(encode("Q.DO", someCustomer, newID(), payment, strings.Repeat("x", body)))
			sim.advance(ms)
		}
	}
	sim.advance(5 * ms)
	if held, sent := heapInUse()-before, int64(clients*behind*body); held > sent/4 {
		t.Errorf("the heap has grown by %d bytes for requests of %d bytes that have been answered", held, sent)
	}
	for _, c := range all {
		c.conn.Close()
	}
	sim.advance(time.Second)
	if usage := sim.ingress.Usage(); usage.Memory != 0 {
		t.Errorf("%+v are held after all clients have left", usage)
	}
}

// Guards against long replies that take the memory of the process while they wait for a slower one before them: memory
// for the reply is reserved with the request.
func TestLongRepliesStayWithinTheMemoryForClients(t *testing.T) {
	const limit, value = 4 << 20, 60_000
	sim := newSimulation(t, 1, 4, nil)
	sim.net.Faults.Buffer = simulatedBuffer
	sim.ingress.loop.memory.limit = limit
	long := strings.Repeat("x", value)
	sim.onAttempt = func(a *scriptedAttempt) {
		if a.args[0] == "Q.ASK" {
			sim.net.After(ms, func() { a.serve(long) })
		}
	}
	teach := sim.dial("") // its replies show how long they are
	for range 20 {
		teach.send(encodeRequest("lookup", newID(), 5000))
		sim.advance(5 * ms)
	}
	most := int64(0)
	for range 20 {
		text := encodeRequest("payment", newID(), 20_000) // never answered
		for range maxPending - 1 {
			text += encodeRequest("lookup", newID(), 5000)
		}
		sim.dial(text)
		for range 20 {
			sim.advance(ms)
			most = max(most, sim.ingress.Usage().Memory)
		}
	}
	if most > limit+value {
		t.Errorf("%d bytes were held for clients, the limit is %d", most, limit)
	}
	if sim.ingress.loop.events.memoryRefusals == 0 {
		t.Error("nothing was refused: the memory did not run short")
	}
}
