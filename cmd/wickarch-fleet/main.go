// Command wickarch-fleet is what operators order rollouts, drains and configuration by.
//
// Exit codes: 0 done as ordered; 1 something else went wrong; 2 the command line is
// wrong; 3 the rollout stands halted; 4 it has gone back; 5 no coordinator or no
// majority was reached; 6 it is not known whether the order was taken; 7 the order
// was refused; 8 a version of configuration is not in force everywhere in time.
package main

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"os"
	"os/signal"
	"os/user"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kong"

	"wickarch/internal/rolloutlink"
	"wickarch/rollout"
)

// The exit codes.
const (
	codeOther       = 1
	codeHalted      = 3
	codeUndone      = 4
	codeUnreachable = 5
	codeUndecided   = 6
	codeRefused     = 7
)

// fleet is what all commands share.
type fleet struct {
	Coordinators []string      `help:"Their addresses, host:port." env:"WICKARCH_COORDINATORS" placeholder:"ADDRESS"`
	Patience     time.Duration `help:"How long to try." default:"15s"`
	JSON         bool          `name:"json" help:"Answer in JSON."`
	By           string        `help:"Who orders; your login if left out."`
	Request      string        `help:"A name for this order: sent again under the same one, it counts once. Drawn if left out."`

	http *http.Client
}

// status is an exit code with nothing to say.
type status int

func (s status) Error() string { return fmt.Sprintf("exit code %d", int(s)) }

func (f *fleet) ask(method, path string, in, out any, most int64) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, f.Patience)
	defer cancel()
	return rolloutlink.CallLeader(ctx, f.http, f.Coordinators, method, path, in, out, most)
}

// order sends an order until it is decided, under one name.
func (f *fleet) order(e rollout.Entry, done string) error {
	if e.By = f.By; e.By == "" {
		e.By = "someone"
		if u, err := user.Current(); err == nil {
			e.By = u.Username
		}
	}
	if e.Request = f.Request; e.Request == "" {
		e.Request = rand.Text()
	}
	if err := f.ask(http.MethodPost, rolloutlink.PathOrder, e, nil, rolloutlink.MaxReportBytes); err != nil {
		return err
	}
	if f.JSON {
		return f.print(map[string]string{"done": done, "request": e.Request})
	}
	fmt.Println(done)
	return nil
}

func (f *fleet) print(v any) error {
	b, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return err
	}
	fmt.Println(string(b))
	return nil
}

func (f *fleet) status() (s rolloutlink.Status, err error) {
	err = f.ask(http.MethodGet, rolloutlink.PathStatus, nil, &s, rolloutlink.MaxStatusBytes)
	return s, err
}

type startCommand struct {
	ID       string        `arg:"" help:"A name for the rollout."`
	Version  string        `help:"What to release, as the agents' files name it." required:""`
	Role     string        `help:"Of the members." default:"ingress"`
	Zones    []string      `help:"Of the members; all if left out."`
	Waves    []string      `help:"How many are changed after each wave: numbers, shares, and 100% at last." default:"1,10%,50%,100%"`
	ByZone   bool          `help:"A zone at a time."`
	After    string        `help:"A rollout that has to be done before."`
	Soak     time.Duration `help:"How long each wave serves before the next." default:"1m"`
	Requests uint64        `help:"Wanted where changed, to judge by." default:"500"`
	Wait     time.Duration `help:"How long without progress before it halts." default:"15m"`
	Alpha    float64       `help:"Chance at most that a good release is halted by its figures." default:"0.01"`
	Margin   float64       `help:"Difference of the shares refused or failed that does not matter." default:"0.02"`
	Slower   float64       `help:"Factor of the mean latency that does not matter." default:"1.5"`
}

// Run starts a rollout.
func (c *startCommand) Run(f *fleet) error {
	spec := rollout.Spec{ID: c.ID, Role: c.Role, Zones: c.Zones, Version: c.Version, After: c.After, ByZone: c.ByZone,
		Gate: rollout.Gate{Soak: c.Soak, MinRequests: c.Requests, StallTimeout: c.Wait, Alpha: c.Alpha, Margin: c.Margin, MaxLatencyFactor: c.Slower}}
	for _, w := range c.Waves {
		size, err := parseWave(w)
		if err != nil {
			return err
		}
		spec.Waves = append(spec.Waves, size)
	}
	if err := spec.Check(); err != nil {
		return err
	}
	return f.order(rollout.Entry{Start: &spec}, "started "+c.ID)
}

// parseWave reads "3" or "10%".
func parseWave(s string) (float64, error) {
	share, percent := strings.CutSuffix(s, "%")
	v, err := strconv.ParseFloat(share, 64)
	switch {
	case err != nil || !(v > 0):
		return 0, &rollout.BadRequest{What: fmt.Sprintf("a wave is a number of members or a share such as 10%%, not %q", s)}
	case percent && v >= 100:
		return rollout.AllMembers, nil
	case percent:
		return v / 100, nil
	case v < 1 || v != float64(int(v)):
		return 0, &rollout.BadRequest{What: fmt.Sprintf("a wave is a whole number of members, not %q", s)}
	}
	return v, nil
}

type haltCommand struct {
	ID  string `arg:"" help:"The rollout."`
	Why string `help:"For those who look at it later." default:"halted by hand"`
}

// Run halts a rollout.
func (c *haltCommand) Run(f *fleet) error {
	by := f.By
	if u, err := user.Current(); by == "" && err == nil {
		by = u.Username
	}
	return f.order(rollout.Entry{Halt: rollout.NewHaltEntry(c.ID, &rollout.HaltedByOperator{By: by, Why: c.Why})}, "halted "+c.ID)
}

type resumeCommand struct {
	ID   string `arg:"" help:"The rollout."`
	Halt uint64 `help:"The number of the halt that you have seen: a later one holds. The one there is now if left out."`
}

// Run lifts the halt of a rollout.
func (c *resumeCommand) Run(f *fleet) error {
	if c.Halt == 0 {
		s, err := f.status()
		if err != nil {
			return err
		}
		for _, r := range s.Rollouts {
			if r.ID == c.ID && r.Halt != nil {
				c.Halt = r.Halt.Number
			}
		}
	}
	return f.order(rollout.Entry{Resume: &rollout.ResumeEntry{Rollout: c.ID, Number: c.Halt}}, "resumed "+c.ID)
}

type backCommand struct {
	ID string `arg:"" help:"The rollout."`
}

// Run has a rollout go back.
func (c *backCommand) Run(f *fleet) error {
	return f.order(rollout.Entry{Rollback: c.ID}, "going back: "+c.ID)
}

type watchCommand struct {
	ID    string        `arg:"" help:"The rollout."`
	Every time.Duration `help:"How often to look." default:"2s"`
	For   time.Duration `help:"How long to watch at most; 0 for until it ends or halts." default:"0s"`
}

// Run watches a rollout until it ends or halts, and ends with what became of it.
func (c *watchCommand) Run(f *fleet) error {
	began := time.Now()
	last := ""
	for {
		s, err := f.status()
		var remote *rollout.RemoteError
		if err != nil && !(errors.As(err, &remote) && remote.Kind == "NotLeader") && c.For == 0 {
			return err
		}
		i := slices.IndexFunc(s.Rollouts, func(r rollout.Progress) bool { return r.ID == c.ID })
		if err == nil && i < 0 {
			return &rollout.Unknown{Kind: "rollout", Name: c.ID}
		}
		if err == nil {
			r := s.Rollouts[i]
			if f.JSON {
				if b, err := json.Marshal(r); err == nil && string(b) != last {
					last = string(b)
					fmt.Println(last)
				}
			} else if text := words(s, r); text != last {
				last = text
				fmt.Printf("%s %s", time.Now().Format(time.TimeOnly), text)
			}
			switch {
			case r.Phase == rollout.Done:
				return nil
			case r.Phase == rollout.RolledBack:
				return status(codeUndone)
			case r.Halt != nil:
				return status(codeHalted)
			}
		}
		if c.For > 0 && time.Since(began) > c.For {
			return status(codeOther)
		}
		time.Sleep(c.Every)
	}
}

// words tells how a rollout stands, in lines.
func words(s rolloutlink.Status, r rollout.Progress) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s to %s: %s, wave %d of %d, %d of %d members", r.ID, r.Version, r.Phase, r.Wave, r.Waves, r.Done, r.Total)
	if r.TimeLeft > 0 && r.Done < r.Total {
		fmt.Fprintf(&b, ", some %v left", r.TimeLeft.Round(time.Second))
	}
	b.WriteByte('\n')
	if r.Halt != nil {
		fmt.Fprintf(&b, "  halted (number %d, %s): %s\n  what to do: %s\n", r.Halt.Number, r.Halt.Kind, r.Halt.Text, r.Halt.Remedy)
	}
	if r.Gate != "" {
		fmt.Fprintf(&b, "  %s\n", r.Gate)
	}
	for _, w := range r.WaitingFor {
		fmt.Fprintf(&b, "  waits for %s\n", w)
	}
	for _, m := range s.Members {
		if m.Out != "" && m.Grant == nil {
			fmt.Fprintf(&b, "  counts as out: %s: %s\n", m.Name, m.Out)
		}
	}
	return b.String()
}

type statusCommand struct {
	All bool `help:"List all members, not those alone that are out or changing."`
}

// Run tells how all stands.
func (c *statusCommand) Run(f *fleet) error {
	s, err := f.status()
	if err != nil {
		return err
	}
	if f.JSON {
		return f.print(s)
	}
	fmt.Printf("coordinator %d leads (term %d, log %d)\n", s.Coordinator, s.Term, s.Index)
	for _, id := range slices.Sorted(maps.Keys(s.Coordinators)) {
		fmt.Printf("coordinator %d at %s\n", id, s.Coordinators[id])
	}
	if s.GrantsBlocked != "" {
		fmt.Printf("nothing is granted: %s\n", s.GrantsBlocked)
	}
	if s.Stop != nil {
		fmt.Printf("everything is stopped (number %d, %s): %s\nwhat to do: %s\n", s.Stop.Number, s.Stop.Kind, s.Stop.Text, s.Stop.Remedy)
	}
	t := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(t, "budget\tof\tout\tmost\tweight out\tallowed\tmembers")
	for _, b := range s.Budgets {
		most, share := "-", "-"
		if b.MaxOut > 0 {
			most = fmt.Sprint(b.MaxOut)
		}
		if b.Share > 0 {
			share = fmt.Sprintf("%.1f%%", 100*b.Share)
		}
		fmt.Fprintf(t, "%s\t%s\t%d\t%s\t%.1f%%\t%s\t%d\n", b.Budget, b.Group, b.Out, most, 100*b.Weight, share, b.Members)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	for _, r := range s.Rollouts {
		fmt.Print(words(rolloutlink.Status{}, r))
	}
	fmt.Fprintln(t, "member\tzone\tversion\tdoes\tcounts as out\tdenied\tcan't")
	for _, m := range s.Members {
		if c.All || m.Out != "" || m.Denied != "" || m.Failed != "" || m.Drain != "" {
			fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%s\t%s\n", m.Name, m.Zone, m.Version, m.State, m.Out, m.Denied, m.Failed)
		}
	}
	return t.Flush()
}

type drainCommand struct {
	Member string `arg:"" help:"The member."`
}

// Run wants a member out.
func (c *drainCommand) Run(f *fleet) error {
	return f.order(rollout.Entry{Drain: c.Member}, "to be drained, when the budgets have room: "+c.Member)
}

type undrainCommand struct {
	Member string `arg:"" help:"The member."`
}

// Run wants a drained member back.
func (c *undrainCommand) Run(f *fleet) error {
	return f.order(rollout.Entry{Undrain: c.Member}, "to come back: "+c.Member)
}

type forgetCommand struct {
	Member string `arg:"" help:"The member, which is gone for good."`
}

// Run forgets a member.
func (c *forgetCommand) Run(f *fleet) error {
	return f.order(rollout.Entry{Forget: c.Member}, "forgotten: "+c.Member)
}

type stopCommand struct {
	Why string `help:"For those who look at it later." default:"stopped by hand"`
}

// Run stops all grants.
func (c *stopCommand) Run(f *fleet) error {
	by := f.By
	if u, err := user.Current(); by == "" && err == nil {
		by = u.Username
	}
	return f.order(rollout.Entry{Halt: rollout.NewHaltEntry("", &rollout.HaltedByOperator{By: by, Why: c.Why})}, "stopped: nothing new goes out")
}

type liftCommand struct {
	Halt uint64 `help:"The number of the stop that you have seen." required:""`
}

// Run lifts a stop.
func (c *liftCommand) Run(f *fleet) error {
	return f.order(rollout.Entry{Resume: &rollout.ResumeEntry{Number: c.Halt}}, "lifted")
}

type replaceCommand struct {
	Old     uint64 `arg:"" help:"The number of the coordinator that is gone for good."`
	New     uint64 `arg:"" help:"The number of the one in its place, which runs with --join."`
	Address string `arg:"" help:"Its address, host:port."`
}

// Run replaces a coordinator.
func (c *replaceCommand) Run(f *fleet) error {
	if err := f.ask(http.MethodPost, rolloutlink.PathReplace, rolloutlink.Replace{Old: c.Old, New: c.New, Address: c.Address}, nil, rolloutlink.MaxReportBytes); err != nil {
		return err
	}
	fmt.Println("on its way: see status")
	return nil
}

func main() {
	var line struct {
		fleet
		Rollout struct {
			Start  startCommand  `cmd:"" help:"Start a release."`
			Watch  watchCommand  `cmd:"" help:"Watch it until it ends or halts."`
			Halt   haltCommand   `cmd:"" help:"Halt it; holds until somebody resumes it."`
			Resume resumeCommand `cmd:"" help:"Lift its halt."`
			Back   backCommand   `cmd:"" help:"Go back to the version before."`
		} `cmd:"" help:"Releases."`
		Config      configCommand  `cmd:"" help:"Configuration of all ingresses."`
		Status      statusCommand  `cmd:"" help:"Tell who is out, why, and what is waited for."`
		Drain       drainCommand   `cmd:"" help:"Take a member out, when the budgets have room."`
		Undrain     undrainCommand `cmd:"" help:"Bring a drained member back."`
		Forget      forgetCommand  `cmd:"" help:"Forget a member that is gone for good."`
		Stop        stopCommand    `cmd:"" help:"Stop all: nothing new goes out."`
		Lift        liftCommand    `cmd:"" help:"Lift a stop."`
		Coordinator struct {
			Replace replaceCommand `cmd:"" help:"Put a new coordinator in the place of one that is gone for good."`
		} `cmd:"" help:"Coordinators."`
	}
	k := kong.Parse(&line, kong.Name("wickarch-fleet"), kong.Description("Orders rollouts, drains and configuration of a fleet."), kong.UsageOnError(),
		kong.Exit(func(code int) {
			if code != 0 {
				code = 2
			}
			os.Exit(code)
		}))
	if len(line.Coordinators) == 0 && !strings.HasPrefix(k.Command(), "config check") {
		k.Errorf("missing flags: --coordinators=ADDRESS,... (or WICKARCH_COORDINATORS)")
		os.Exit(2)
	}
	line.fleet.http = rolloutlink.NewHTTPClient(12 * time.Second)
	if err := k.Run(&line.fleet); err != nil {
		os.Exit(end(&line.fleet, err))
	}
}

// end tells an error and its remedy, and gives the exit code.
func end(f *fleet, err error) int {
	var s status
	if errors.As(err, &s) {
		return int(s)
	}
	t := rollout.ToRemoteError(err)
	if f.JSON {
		_ = f.print(map[string]any{"error": t}) // plain strings: always made
	} else {
		fmt.Fprintf(os.Stderr, "wickarch-fleet: %s (%s)\nwhat to do: %s\n", t.Text, t.Kind, t.Advice)
	}
	switch t.Kind {
	case "Unreachable", "NotLeader", "NoMajority", "Busy":
		return codeUnreachable
	case "Undecided":
		return codeUndecided
	case "Error":
		return codeOther
	}
	return codeRefused
}
