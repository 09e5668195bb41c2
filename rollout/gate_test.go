package rollout

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// drawMembers draws the stats of members whose refused shares and latencies differ.
func drawMembers(rng *rand.Rand, members int, refuses, slower float64) (list []delta) {
	for range members {
		p := min(0.9, 0.02*math.Exp(0.8*rng.NormFloat64())+refuses)
		n := 50 + rng.IntN(400)
		d := delta{zone: "z", classes: map[string]Count{}, duration: time.Minute}
		var c Count
		for range n {
			if rng.Float64() < p {
				c.Refused++
			} else {
				c.Served++
			}
		}
		d.classes["lookup"] = c
		d.inFlightSeconds = float64(n) * 0.01 * slower * math.Exp(0.2*rng.NormFloat64())
		list = append(list, d)
	}
	return list
}

// Good releases are halted no more often than the gate's alpha, though members differ
// widely; bad ones are halted.
func TestGateErrorRates(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	gate := DefaultGate()
	gate.Alpha = 0.05
	halts := func(runs, changed, unchanged int, refuses, slower float64) (n int) {
		for range runs {
			j := gateEvaluator{gate: gate, waves: 3}
			for range 6 {
				if j.evaluate(drawMembers(rng, changed, refuses, slower), drawMembers(rng, unchanged, 0, 1)).Failure != nil {
					n++
					break
				}
			}
		}
		return n
	}
	for _, size := range [][2]int{{1, 11}, {10, 90}, {50, 50}, {90, 10}} {
		if n := halts(400, size[0], size[1], 0, 1); n > 20 { // 5% of 400
			t.Errorf("%v: %d of 400 good releases are halted", size, n)
		}
		if size[0] == 1 {
			continue
		}
		if n := halts(20, size[0], size[1], 0.15, 1); n < 19 {
			t.Errorf("%v: %d of 20 releases that refuse more are halted", size, n)
		}
		if n := halts(20, size[0], size[1], 0, 3); n < 19 {
			t.Errorf("%v: %d of 20 slow releases are halted", size, n)
		}
	}
}

func TestGateReportsTooFewRequests(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	gate := DefaultGate()
	gate.MinRequests = 1000
	v := (&gateEvaluator{gate: gate, waves: 1}).evaluate(drawMembers(rng, 1, 0, 1), drawMembers(rng, 9, 0, 1))
	if few, ok := v.Insufficient.(*TooFew); !ok || few.Got != v.Requests || few.Want != 1000 {
		t.Fatalf("%+v", v)
	}
}

// Deaths are compared with those of unchanged members, each in the window in which it occurred.
func TestGateCountsDeaths(t *testing.T) {
	member := func(deaths uint64, changed bool) delta {
		k := &statsWindow{}
		k.record(time.Second, Stats{BootID: 1}, changed, true)
		for i := range deaths {
			k.record(time.Duration(2+i)*time.Second, Stats{BootID: 2 + i, Deaths: 1 + i}, changed, true)
		}
		k.record(time.Minute, Stats{BootID: 1 + deaths, Deaths: deaths}, changed, true)
		return k.delta()
	}
	many := func(n int, deaths uint64, changed bool) (list []delta) {
		for range n {
			list = append(list, member(deaths, changed))
		}
		return list
	}
	gate := DefaultGate()
	if v := (&gateEvaluator{gate: gate, waves: 1}).evaluate(many(3, 2, true), many(30, 0, false)); v.Failure == nil {
		t.Error("no halt with six deaths on 3 changed members and none on 30 unchanged ones")
	}
	if v := (&gateEvaluator{gate: gate, waves: 1}).evaluate(many(3, 1, true), many(30, 1, false)); v.Failure != nil {
		t.Error("halt with one death on each member, changed or not: ", v.Failure)
	}
}
