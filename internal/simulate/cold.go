package simulate

import (
	"math"
	"time"

	"wickarch/internal/reactor/simnet"
)

// coldRule holds the settings for cold backends.
type coldRule struct {
	From     float64       // share of its capacity that a backend has at its start
	Multiple float64       // a cold backend crashes if it receives more than this multiple of its capacity ...
	For      time.Duration // ... within this window
}

// defaultColdRule applies to scenarios that draw none.
var defaultColdRule = coldRule{From: 0.2, Multiple: 3, For: 1500 * ms}

// notifiedShare is the share of the load above which a crash breaks the rule, counting only load from ingresses
// that had been notified of the backend's start.
const notifiedShare = 2.0 / 3

// arrival is work received by a cold backend.
type arrival struct {
	at       time.Duration
	work     float64 // in requests of mean work
	notified bool    // its ingress had been notified of the start
}

// coldLoad is the work a backend has received since its start, within the window of the rule.
type coldLoad struct {
	start    int64 // the backend's start, Unix milliseconds; 0: long before the run
	arrivals []arrival
}

// strictSlack is for a stricter bound than the required one: notified ingresses alone send at most what the settings
// allow (N) plus this many requests of mean work, for random variation. It is tighter than the required bound
// where N is above 4, and is checked in scenarios without a burst, such as DrawCrowd's.
const strictSlack = 4

// maxColdLoad returns how many requests of mean work a backend can take within the window: N + 2 x root of N, N
// being what the settings allow at its age. strict is the stricter bound (see strictSlack).
func (r *run) maxColdLoad(age time.Duration) (limit, strict float64) {
	rule := r.ColdRule
	capacity := rule.From + (1-rule.From)*age.Seconds()/r.cold().Seconds()
	n := rule.Multiple * capacity * r.Cores * rule.For.Seconds() / meanService.Seconds()
	return n + 2*math.Sqrt(n), n + strictSlack
}

// countWork counts work that a backend has received, whichever ingress sent it. A cold backend that receives more
// than maxColdLoad crashes and stays down until it is restarted. That breaks the rule if over two thirds of what
// it received within the window came from ingresses that had been notified of its start.
func (b *backend) countWork(from *gateway, work time.Duration) {
	now, r := b.net.Now(), b.run
	if r.Cores == 0 || b.upSince == 0 || b.crashed {
		return
	}
	if b.load.start != b.upSince {
		b.load = coldLoad{start: b.upSince}
	}
	age := simnet.Epoch.Add(now).Sub(time.UnixMilli(b.upSince))
	if age >= r.cold() {
		b.load.arrivals = nil
		return
	}
	notified := from != nil && from.notifiedStarts[b.name] == b.upSince
	recent := append(b.load.arrivals, arrival{now, work.Seconds() / meanService.Seconds(), notified})
	for recent[0].at < now-r.ColdRule.For {
		recent = recent[1:]
	}
	b.load.arrivals = recent
	sum, fromNotified := 0.0, 0.0
	for _, a := range recent {
		sum += a.work
		if a.notified {
			fromNotified += a.work
		}
	}
	limit, strict := r.maxColdLoad(age)
	if fromNotified > strict && r.Burst == 0 {
		r.fault("%s, up for %v, received %.1f requests of mean work within %v from ingresses notified of its start; the strict bound is %.1f",
			b.name, age, fromNotified, r.ColdRule.For, strict)
	}
	if fromNotified > notifiedShare*sum {
		r.report.Coldest = max(r.report.Coldest, sum/limit)
	}
	if sum <= limit {
		return
	}
	b.crashed = true
	r.report.Fallen++
	if fromNotified > notifiedShare*sum {
		r.fault("%s, up for %v, crashed: %.1f requests of mean work within %v, limit %.1f; %.1f from ingresses notified of its start",
			b.name, age, sum, r.ColdRule.For, limit, fromNotified)
	}
	r.tracef("%s crashed, up for %v: load %.1f, limit %.1f, %.1f from notified ingresses", b.name, age, sum, limit, fromNotified)
	b.node.Kill()
}
