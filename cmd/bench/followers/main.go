// Command followers measures the distribution of configuration on sockets: three real
// coordinators, hundreds of hollow followers (the ingress's own follower with no gateway
// behind it) in one process, and some real ingresses. It is a long measurement, and no part
// of CI.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/alecthomas/kong"
	"github.com/jedib0t/go-pretty/v6/table"

	"wickarch/distribution"
	"wickarch/internal/fleetproc"
	"wickarch/internal/follower"
	"wickarch/internal/rolloutlink"
	"wickarch/internal/standin"
)

// The budgets of the size ahead, for an ingress.
const (
	budgetInForce = 4 * time.Second
	budgetBytes   = 14 << 10 // a second
	budgetCPU     = 0.032    // of a core
	budgetMemory  = 32 << 20
)

type run struct {
	Followers int           `help:"Hollow followers." default:"480"`
	Real      int           `help:"Real ingresses that follow; as many that do not run beside them." default:"20"`
	Changes   int           `help:"Changes pushed, one after the other at even times." default:"440"`
	Span      time.Duration `help:"In which they are pushed." default:"10m"`
	Routes    int           `default:"2200"`
	Services  int           `default:"71"`
	Plans     int           `default:"20"`
	Whole     bool          `help:"The baseline: each follower asks for the whole version every 2 s."`
	Crowd     int           `help:"Followers that are killed at once behind it, and start again with empty folders." default:"96"`
}

func main() {
	var line run
	k := kong.Parse(&line, kong.Description("Measures the distribution of configuration on sockets."))
	k.FatalIfErrorf(line.Run())
}

// countedClient is a client of HTTP whose traffic is counted.
func countedClient(patience time.Duration, traffic *standin.Traffic) *http.Client {
	h := rolloutlink.NewHTTPClient(patience)
	h.Transport.(*http.Transport).DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		nc, err := new(net.Dialer).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return traffic.WrapConn(nc), nil
	}
	return h
}

// fleet is all that is measured.
type fleet struct {
	run
	control *fleetproc.Fleet
	dir     string
	traffic standin.Traffic
	mu      sync.Mutex
	inForce map[uint64][]time.Time // of each version, at each follower
	hollows []*hollow
}

// hollow is a follower with no gateway.
type hollow struct {
	fleet  *fleet
	n      int
	has    uint64 // version
	cancel context.CancelFunc
	done   chan struct{}
}

// CheckConfig finds nothing.
func (*hollow) CheckConfig([]distribution.Resource) error { return nil }

// Configure notes the time. A version comes once more when it has settled.
func (h *hollow) Configure(u *distribution.ActiveConfig) error {
	h.fleet.mu.Lock()
	defer h.fleet.mu.Unlock()
	if u.Version == h.has {
		return nil
	}
	h.has = u.Version
	h.fleet.inForce[u.Version] = append(h.fleet.inForce[u.Version], time.Now())
	return nil
}

func (h *hollow) start() {
	ctx, cancel := context.WithCancel(context.Background())
	h.cancel, h.done = cancel, make(chan struct{})
	cfg := follower.Config{Name: fmt.Sprint("h", h.n), Region: fmt.Sprint("r", h.n%2), Coordinators: h.fleet.control.Addresses, Dir: h.folder()}
	client := countedClient(cfg.PollTimeout(), &h.fleet.traffic)
	go func() {
		defer close(h.done)
		if h.fleet.Whole {
			h.poll(ctx, client)
			return
		}
		f := follower.NewWithClient(cfg, h, slog.New(slog.DiscardHandler), client)
		f.Run(ctx, h)
	}()
}

func (h *hollow) folder() string { return filepath.Join(h.fleet.dir, fmt.Sprint("h", h.n)) }

func (h *hollow) stop() {
	h.cancel()
	<-h.done
}

// poll is the baseline.
func (h *hollow) poll(ctx context.Context, client *http.Client) {
	const every = 2 * time.Second
	version := uint64(0)
	wait := time.Duration(rand.Int64N(int64(every)))
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
		wait = every
		var c rolloutlink.Config
		call, cancel := context.WithTimeout(ctx, 10*time.Second)
		err := rolloutlink.CallLeader(call, client, h.fleet.control.Addresses, http.MethodGet, rolloutlink.PathConfig, nil, &c, rolloutlink.MaxConfigBytes)
		cancel()
		if err != nil || c.Version <= version {
			continue
		}
		set := distribution.Set{}
		for _, r := range c.Resources {
			set[r.Key] = r
		}
		if set.Sum() == c.Hash {
			version = c.Version
			_ = h.Configure(&distribution.ActiveConfig{Version: version}) // a hollow follower takes any
		}
	}
}

// set is a version of the size ahead; change n changes one resource of it.
func (r *run) set() distribution.Set {
	s := distribution.Set{}
	add := func(kind, name string, v any) {
		data, err := distribution.Encode(v)
		if err != nil {
			panic(err) // plain values
		}
		s[distribution.KeyOf(kind, name)] = distribution.Resource{Key: distribution.KeyOf(kind, name), Data: data}
	}
	for i := range r.Plans {
		add(distribution.KindPlan, fmt.Sprint("plan-", i), distribution.Plan{Rate: 10, Burst: 20, Price: 1, CeilingRate: 20, CeilingBurst: 40})
	}
	add(distribution.KindPlan, "basic", distribution.Plan{Rate: 1e6, Burst: 1e6, Price: 1})
	for i := range r.Services {
		add(distribution.KindService, fmt.Sprint("service-", i), distribution.Service{Zones: []string{"a", "b", "c"}, AimMS: 200, Owner: fmt.Sprint("society ", i)})
	}
	for i := range r.Routes {
		add(distribution.KindRoute, fmt.Sprint("route-", i), distribution.Route{Service: fmt.Sprint("service-", i%max(1, r.Services)), Prefix: fmt.Sprintf("%08x", i)})
	}
	return s
}

func (f *fleet) push(p distribution.Push) (uint64, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	var made rolloutlink.ConfigOrderReply
	e := distribution.Entry{Request: fmt.Sprint(rand.Uint64()), By: "bench", Push: &p}
	err := rolloutlink.CallLeader(ctx, rolloutlink.NewHTTPClient(12*time.Second), f.control.Addresses, http.MethodPost, rolloutlink.PathConfigOrder, e, &made, rolloutlink.MaxReportBytes)
	return made.Version, err
}

// await waits until a version is in force at n followers, and returns when the last one had it.
func (f *fleet) await(version uint64, n int, most time.Duration) (last time.Time, err error) {
	for end := time.Now().Add(most); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		f.mu.Lock()
		have := 0
		for v, list := range f.inForce { // one that has a newer one has this
			if v >= version {
				have += len(list)
			}
		}
		if have >= n {
			list := slices.Clone(f.inForce[version])
			f.mu.Unlock()
			for _, t := range list {
				if t.After(last) {
					last = t
				}
			}
			return last, nil
		}
		f.mu.Unlock()
	}
	return last, fmt.Errorf("version %d is not in force at %d within %v", version, n, most)
}

// Run measures.
func (r *run) Run() error {
	dir, err := os.MkdirTemp("", "followers")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	if err = fleetproc.Build(dir); err != nil {
		return err
	}
	control, err := fleetproc.StartCoordinators(fleetproc.Config{Dir: dir, Bin: dir, Coordinators: 3, Report: time.Second,
		Budgets: "[[budget]]\nname = \"all\"\nrole = \"ingress\"\nmost = 10\n"})
	if err != nil {
		return err
	}
	defer control.Stop()
	f := &fleet{run: *r, control: control, dir: dir, inForce: map[uint64][]time.Time{}}
	for n := range r.Followers {
		h := &hollow{fleet: f, n: n}
		f.hollows = append(f.hollows, h)
		h.start()
	}
	defer func() {
		for _, h := range f.hollows {
			h.stop()
		}
	}()
	follow, plain, stop, err := f.real()
	if err != nil {
		return err
	}
	defer stop()
	time.Sleep(3 * time.Second)
	set := r.set()
	begun := time.Now()
	version, err := f.push(distribution.Push{Set: set.List(), Hash: set.Sum()})
	if err != nil {
		return err
	}
	last, err := f.await(version, r.Followers, time.Minute)
	if err != nil {
		return err
	}
	fmt.Printf("%d followers, %d real ingresses; a version of %d resources in %d KB; the first one, whole, in force at the last after %v\n\n",
		r.Followers, r.Real, len(set), set.Size()>>10, last.Sub(begun).Round(time.Millisecond))
	time.Sleep(5 * time.Second)

	t := table.NewWriter()
	t.AppendHeader(table.Row{"", "changes", "in force at the last: median", "99 in 100", "worst", "of 4 s", "bytes/s a follower", "of 14 KB/s", "leader CPU, of a core", "leader, MB",
		"hollow CPU, of a core each", "real CPU beyond one that does not follow", "of 3.2%", "real, MB", "of 32 MB", "MB beyond one that does not follow"})
	if err := f.measure(t, "at rest", 0, 20*time.Second, follow, plain); err != nil {
		return err
	}
	if err := f.measure(t, "changes", r.Changes, r.Span, follow, plain); err != nil {
		return err
	}
	fmt.Println(t.RenderMarkdown())
	if r.Crowd > 0 && !r.Whole {
		return f.crowd()
	}
	return nil
}

// measure pushes so many changes at even times, and tells what that costs.
func (f *fleet) measure(t table.Writer, name string, changes int, span time.Duration, follow, plain []*standin.Process) error {
	usage := func(list []*standin.Process) (cpu time.Duration, memory int64, err error) {
		for _, p := range list {
			u, err := p.Usage()
			if err != nil {
				return 0, 0, err
			}
			cpu += u.CPU
			memory += u.Resident
		}
		return cpu / time.Duration(max(1, len(list))), memory / int64(max(1, len(list))), nil
	}
	lead := f.control.Leader()
	if lead < 0 {
		return fmt.Errorf("nobody leads")
	}
	leader := f.control.Coordinators[lead].PID()
	l0, err := standin.UsageOf(leader)
	if err != nil {
		return err
	}
	s0, err := standin.UsageOf(os.Getpid())
	if err != nil {
		return err
	}
	f0, _, err := usage(follow)
	if err != nil {
		return err
	}
	p0, _, err := usage(plain)
	if err != nil {
		return err
	}
	b0 := f.traffic.In.Load() + f.traffic.Out.Load()
	begun := time.Now()
	var took []time.Duration
	set := f.set()
	routes := set.List()
	routes = slices.DeleteFunc(routes, func(r distribution.Resource) bool { return !strings.HasPrefix(string(r.Key), distribution.KindRoute) })
	state, err := f.newest()
	if err != nil {
		return err
	}
	for _, r := range state.Resources {
		set[r.Key] = r
	}
	version := state.Version
	for n := range changes {
		time.Sleep(time.Until(begun.Add(span * time.Duration(n) / time.Duration(changes))))
		r := routes[n%len(routes)]
		route, routeErr := r.Route()
		if routeErr != nil {
			return routeErr
		}
		route.Class, route.Percent = "", 1+n%100
		if r.Data, err = distribution.Encode(route); err != nil {
			return err
		}
		set[r.Key] = r
		pushed := time.Now()
		if version, err = f.push(distribution.Push{Base: version, Set: []distribution.Resource{r}, Hash: set.Sum()}); err != nil {
			return err
		}
		last, awaitErr := f.await(version, f.Followers, time.Minute)
		if awaitErr != nil {
			return awaitErr
		}
		took = append(took, last.Sub(pushed))
	}
	time.Sleep(time.Until(begun.Add(span)))
	lasted := time.Since(begun).Seconds()
	l1, err := standin.UsageOf(leader)
	if err != nil {
		return err
	}
	s1, err := standin.UsageOf(os.Getpid())
	if err != nil {
		return err
	}
	f1, fm, err := usage(follow)
	if err != nil {
		return err
	}
	p1, pm, err := usage(plain)
	if err != nil {
		return err
	}
	bytes := float64(f.traffic.In.Load()+f.traffic.Out.Load()-b0) / lasted / float64(f.Followers)
	own := ((f1 - f0) - (p1 - p0)).Seconds() / lasted
	row := table.Row{name, changes, "", "", "", ""}
	if len(took) > 0 {
		slices.Sort(took)
		at := func(q float64) time.Duration {
			return took[min(len(took)-1, int(q*float64(len(took))))].Round(time.Millisecond)
		}
		worst := took[len(took)-1]
		row = table.Row{name, changes, at(0.5), at(0.99), worst.Round(time.Millisecond), fmt.Sprintf("%.3f", worst.Seconds()/budgetInForce.Seconds())}
	}
	t.AppendRow(append(row, fmt.Sprintf("%.0f", bytes), fmt.Sprintf("%.3f", bytes/budgetBytes), fmt.Sprintf("%.3f", (l1.CPU-l0.CPU).Seconds()/lasted), l1.Resident>>20,
		fmt.Sprintf("%.5f", (s1.CPU-s0.CPU).Seconds()/lasted/float64(f.Followers)), fmt.Sprintf("%.5f", own), fmt.Sprintf("%.3f", own/budgetCPU),
		fmt.Sprintf("%.1f", float64(fm)/(1<<20)), fmt.Sprintf("%.3f", float64(fm)/budgetMemory), fmt.Sprintf("%.1f", float64(fm-pm)/(1<<20))))
	return nil
}

func (f *fleet) newest() (c rolloutlink.Config, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	err = rolloutlink.CallLeader(ctx, rolloutlink.NewHTTPClient(12*time.Second), f.control.Addresses, http.MethodGet, rolloutlink.PathConfig, nil, &c, rolloutlink.MaxConfigBytes)
	return c, err
}

// real starts real ingresses, half of which follow.
func (f *fleet) real() (follow, plain []*standin.Process, stop func(), err error) {
	ctx, cancel := context.WithCancel(context.Background())
	registry := standin.NewRegistry()
	stop = func() {
		for _, p := range append(follow, plain...) {
			_ = p.Stop(10 * time.Second) // what it measured has been read
		}
		registry.Stop()
		cancel()
	}
	for i := range 2 * f.Real {
		node := standin.Node{Name: fmt.Sprint("n", i), Listen: "127.0.0.1:0", Discovery: registry.Addr(), Seed: fmt.Sprintf("%x", i+1), Limits: standin.Limits{Cores: 1, MemoryMB: 64, Sockets: 512},
			Settings: []byte(fmt.Sprintf(standin.Settings, 60_000, 1e6, 1e6))}
		var args []string
		if i < f.Real {
			quoted := make([]string, 0, 3)
			for _, a := range f.control.Addresses {
				quoted = append(quoted, fmt.Sprintf("%q", a))
			}
			path := filepath.Join(f.dir, fmt.Sprintf("n%d.follow.toml", i))
			text := fmt.Sprintf("name = \"n%d\"\nregion = \"r%d\"\ncoordinators = [%s]\ndir = %q\n", i, i%2, strings.Join(quoted, ", "), filepath.Join(f.dir, fmt.Sprintf("n%d.config", i)))
			if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
				stop()
				return nil, nil, nil, err
			}
			args = []string{"-follow", path}
		}
		p, err := node.Start(ctx, append([]string{filepath.Join(f.dir, "wickarch")}, args...), f.dir)
		if err != nil {
			stop()
			return nil, nil, nil, err
		}
		if i < f.Real {
			follow = append(follow, p)
		} else {
			plain = append(plain, p)
		}
	}
	return follow, plain, stop, nil
}

// crowd kills a zone's followers and starts them again at once with empty folders.
func (f *fleet) crowd() error {
	state, err := f.newest()
	if err != nil {
		return err
	}
	zone := f.hollows[:min(f.Crowd, len(f.hollows))]
	for _, h := range zone {
		h.stop()
		if err = os.RemoveAll(h.folder()); err != nil {
			return err
		}
	}
	f.mu.Lock()
	f.inForce = map[uint64][]time.Time{}
	f.mu.Unlock()
	b0 := f.traffic.In.Load()
	begun := time.Now()
	for _, h := range zone {
		h.has = 0
		h.start()
	}
	last, err := f.await(state.Version, len(zone), time.Minute)
	if err != nil {
		return err
	}
	fmt.Printf("\n%d started at once with empty folders: all decide by version %d after %v (of 4 s: %.3f); %d KB\n",
		len(zone), state.Version, last.Sub(begun).Round(time.Millisecond), last.Sub(begun).Seconds()/budgetInForce.Seconds(), (f.traffic.In.Load()-b0)>>10)
	return nil
}
