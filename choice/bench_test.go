package choice_test

import (
	"fmt"
	"testing"
	"time"

	"wickarch/choice"
)

// BenchmarkRequest measures one request and its outcome, in small and large deployments.
func BenchmarkRequest(b *testing.B) {
	for _, size := range [...]struct{ gateways, backends int }{{3, 10}, {400, 87}, {3, 300}, {3, 3000}} {
		b.Run(fmt.Sprintf("%dx%d", size.gateways, size.backends), func(b *testing.B) {
			cfg := testConfig()
			cfg.Gateways = size.gateways
			rec := &lastSend{}
			g, err := choice.New(cfg, 7, 0, rec)
			if err != nil {
				b.Fatal(err)
			}
			g.Members(0, choice.Cached, backends(uint32(size.backends)))
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now := time.Duration(i) * 20 * ms
				id := uint32(i + 1)
				g.Request(now, choice.Request{ID: id, Customer: uint64(i % 200), Spread: size.gateways, Units: 1, TimeLeft: time.Second})
				if rec.id == id {
					g.Outcome(now+10*ms, choice.Outcome{ID: id, Backend: rec.backend, Elapsed: 10 * ms, Done: true, Metered: true, Used: 0.5})
				}
			}
		})
	}
}

// lastSend records the last attempt sent.
type lastSend struct{ id, backend uint32 }

func (l *lastSend) Send(id, backend uint32, _ time.Duration) { l.id, l.backend = id, backend }
func (l *lastSend) Refuse(uint32, time.Duration)             {}
func (l *lastSend) Fail(uint32)                              {}
func (l *lastSend) Cancel(uint32, int)                       {}
func (l *lastSend) Probe(uint32)                             {}
func (l *lastSend) SetTimer(time.Duration, uint64)           {}

// BenchmarkDelta measures a change of one backend, and a new order of the candidates.
func BenchmarkDelta(b *testing.B) {
	for _, n := range [...]int{59, 840, 4200} {
		g, err := choice.New(testConfig(), 7, 0, &lastSend{})
		if err != nil {
			b.Fatal(err)
		}
		list := backends(uint32(n))
		g.Members(0, choice.Cached, list)
		b.Run(fmt.Sprintf("members/%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				m := list[i/2%n]
				m.State = [...]choice.State{choice.Draining, choice.Ready}[i%2]
				g.Members(0, choice.Delta, []choice.Backend{m})
			}
		})
		b.Run(fmt.Sprintf("use/%d", n), func(b *testing.B) {
			var order []choice.Candidate
			for _, m := range list {
				order = append(order, choice.Candidate{Backend: m.ID, PickWeight: 1})
			}
			b.ReportAllocs()
			for b.Loop() {
				g.SetCandidates(0, order, 16)
			}
		})
	}
}
