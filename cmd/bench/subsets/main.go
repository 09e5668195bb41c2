// Command subsets compares algorithms by which each of many gateways selects a subset of
// the backends, on the same fleets: how even the load is, and how many pairs of a gateway
// and a backend change when a gateway or backend is added or removed. It is a
// measurement for docs/design/subsets.md and not part of CI.
package main

import (
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"wickarch/subset"
)

// way is a subsetting algorithm. assign returns for each gateway the share of its work that
// each backend gets, by the number of the backend.
type way struct {
	name   string
	assign func(gateways int, backends []int, k int) []map[int]float64
}

func evenShares(of []int) map[int]float64 {
	m := map[int]float64{}
	for _, b := range of {
		m[b] += 1 / float64(len(of))
	}
	return m
}

var ways = []way{
	{"all backends", func(n int, list []int, _ int) (all []map[int]float64) {
		for range n {
			all = append(all, evenShares(list))
		}
		return all
	}},
	{"random subsets", func(n int, list []int, k int) (all []map[int]float64) {
		for j := range n {
			p := slices.Clone(list)
			rand.New(rand.NewPCG(uint64(j), 1)).Shuffle(len(p), func(a, b int) { p[a], p[b] = p[b], p[a] })
			all = append(all, evenShares(p[:k]))
		}
		return all
	}},
	// Site Reliability Engineering, chapter 20: gateways in rounds, each round with its own shuffle.
	{"deterministic subsetting (SRE book)", func(n int, list []int, k int) (all []map[int]float64) {
		per := len(list) / k
		for j := range n {
			p := slices.Clone(list)
			rand.New(rand.NewPCG(uint64(j/per), 2)).Shuffle(len(p), func(a, b int) { p[a], p[b] = p[b], p[a] })
			at := j % per * k
			all = append(all, evenShares(p[at:at+k]))
		}
		return all
	}},
	// Finagle's deterministic aperture: arcs of one ring of backends, with fractions of backends at the ends.
	{"deterministic aperture (ring)", func(n int, list []int, k int) (all []map[int]float64) {
		size := float64(len(list))
		for j := range n {
			from := float64(j) / float64(n) * size
			m := map[int]float64{}
			for i := int(from); float64(i) < from+float64(k); i++ {
				m[list[i%len(list)]] += (min(float64(i)+1, from+float64(k)) - max(float64(i), from)) / float64(k)
			}
			all = append(all, m)
		}
		return all
	}},
	{"rendezvous hashing", func(n int, list []int, k int) []map[int]float64 { return ranked(n, list, k, false) }},
	{"rendezvous hashing, fitted parts (ours)", func(n int, list []int, k int) []map[int]float64 { return ranked(n, list, k, true) }},
}

// ranked uses package subset. It derives the subset size from the fleet, so k must be that size.
func ranked(n int, list []int, k int, fitted bool) (all []map[int]float64) {
	var backends []subset.Backend
	for _, b := range list {
		backends = append(backends, subset.Backend{ID: uint32(b), Key: subset.KeyOf(fmt.Sprintf("s-%d", b)), Weight: 1})
	}
	for j := range n {
		s, err := subset.New(subset.Config{Gateways: n, Self: j, MaxStaleness: time.Second}, 0)
		if err != nil {
			panic(err) // the configuration is valid
		}
		s.SetBackends(backends)
		m := map[int]float64{}
		for _, u := range s.Order()[:s.Size()] {
			if m[int(u.ID)] = u.PickWeight / float64(s.Size()); !fitted {
				m[int(u.ID)] = 1 / float64(s.Size())
			}
		}
		all = append(all, m)
	}
	return all
}

// spread returns the maximum load over the mean, and the standard deviation relative to the mean.
func spread(all []map[int]float64, list []int, traffic func(int) float64) (highest, deviation float64) {
	load, total := map[int]float64{}, 0.0
	for j, m := range all {
		for b, p := range m {
			load[b] += p * traffic(j)
		}
		total += traffic(j)
	}
	mean := total / float64(len(list))
	for _, b := range list {
		highest = max(highest, load[b]/mean)
		deviation += (load[b]/mean - 1) * (load[b]/mean - 1)
	}
	return highest, math.Sqrt(deviation / float64(len(list)))
}

// moved returns the fraction of pairs of a gateway and a backend that no longer exist.
func moved(before, after []map[int]float64) float64 {
	removed, all := 0, 0
	for j := range min(len(before), len(after)) {
		for b := range before[j] {
			if after[j][b] == 0 {
				removed++
			}
			all++
		}
	}
	return float64(removed) / float64(all)
}

func main() {
	gateways := flag.Int("gateways", 300, "number of gateways")
	count := flag.Int("backends", 167, "number of backends")
	flag.Parse()
	n, list := *gateways, []int{}
	for b := range *count {
		list = append(list, b+1)
	}
	s, err := subset.New(subset.Config{Gateways: n, MaxStaleness: time.Second}, 0)
	if err != nil {
		panic(err)
	}
	var first []subset.Backend
	for _, b := range list {
		first = append(first, subset.Backend{ID: uint32(b), Key: uint64(b)})
	}
	s.SetBackends(first)
	k := s.Size()
	even := func(int) float64 { return 1 }
	uneven := func(j int) float64 { return []float64{0.3, 0.5, 0.7, 1, 1, 1.2, 2, 4}[j*7919%8] }
	fmt.Printf("%d gateways, %d backends, %d in use each; 1/n is %.4f\n", n, len(list), k, 1/float64(len(list)))
	fmt.Printf("%-40s %11s %11s %11s %9s %9s\n", "", "even", "uneven", "a third gone", "-1 backend", "+1 gateway")
	for _, w := range ways {
		all := w.assign(n, list, k)
		e, ed := spread(all, list, even)
		u, ud := spread(all, list, uneven)
		// A third of the backends is removed at once, as in the loss of a zone.
		var rest []int
		for _, b := range list {
			if b%3 > 0 {
				rest = append(rest, b)
			}
		}
		z, zd := spread(w.assign(n, rest, k), rest, even)
		churn := 0.0
		for i := range 10 {
			at := i * len(list) / 10
			churn += moved(all, w.assign(n, slices.Delete(slices.Clone(list), at, at+1), k)) / 10
		}
		fmt.Printf("%-40s %5.2f %5.2f %5.2f %5.2f %5.2f %5.2f %9.4f %9.4f\n", w.name, e, ed, u, ud, z, zd, churn, moved(all, w.assign(n+1, list, k)))
	}
}
