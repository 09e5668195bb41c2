// Command wickarch-fleet is the operators' command for rollouts, drains and configuration of a fleet.
//
// Exit codes: 0 done; 1 another error; 2 invalid command line; 3 the rollout is halted; 4 it is
// rolled back; 5 no coordinator or no majority could be reached; 6 it is unknown whether the
// order was applied; 7 the order was refused; 8 a configuration version was not in force
// everywhere within the timeout.
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

// Exit codes, see the package comment; kong and main exit with 2.
const (
	codeOther       = 1
	codeHalted      = 3
	codeRolledBack  = 4
	codeUnreachable = 5
	codeUndecided   = 6
	codeRefused     = 7
)

// fleet holds the flags that all commands share, and makes their calls to the coordinators.
type fleet struct {
	Coordinators []string      `help:"Addresses of the coordinators, host:port." env:"WICKARCH_COORDINATORS" placeholder:"ADDRESS"`
	Timeout      time.Duration `name:"patience" help:"How long to retry calls to the coordinators." default:"15s"`
	JSON         bool          `name:"json" help:"Print JSON."`
	By           string        `help:"Name of the operator; your login name if omitted."`
	Request      string        `help:"A name for this order, which is applied once even if sent again under it. Random if omitted."`

	http *http.Client
}

// status is the error of a command that exits with a code other than 0 and prints no error.
type status int

func (s status) Error() string { return fmt.Sprintf("exit code %d", int(s)) }

// call makes a call to the coordinator that leads, and retries it until the timeout.
func (f *fleet) call(method, path string, in, out any, maxBytes int64) error {
	ctx, stopSignals := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stopSignals()
	ctx, cancel := context.WithTimeout(ctx, f.Timeout)
	defer cancel()
	return rolloutlink.CallLeader(ctx, f.http, f.Coordinators, method, path, in, out, maxBytes)
}

// sendOrder sends an order and prints done when it is applied. Retries use the same request name, so it is
// applied at most once.
func (f *fleet) sendOrder(e rollout.Entry, done string) error {
	if e.By = f.By; e.By == "" {
		e.By = "someone"
		if u, err := user.Current(); err == nil {
			e.By = u.Username
		}
	}
	if e.Request = f.Request; e.Request == "" {
		e.Request = rand.Text()
	}
	if err := f.call(http.MethodPost, rolloutlink.PathOrder, e, nil, rolloutlink.MaxReportBytes); err != nil {
		return err
	}
	if f.JSON {
		return f.printJSON(map[string]string{"done": done, "request": e.Request})
	}
	fmt.Println(done)
	return nil
}

func (f *fleet) printJSON(v any) error {
	b, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return err
	}
	fmt.Println(string(b))
	return nil
}

func (f *fleet) status() (s rolloutlink.Status, err error) {
	err = f.call(http.MethodGet, rolloutlink.PathStatus, nil, &s, rolloutlink.MaxStatusBytes)
	return s, err
}

type startCommand struct {
	ID       string        `arg:"" help:"A name for the rollout."`
	Version  string        `help:"The version to release, as named in the agents' files." required:""`
	Role     string        `help:"Role of the members." default:"ingress"`
	Zones    []string      `help:"Zones of the members; all if omitted."`
	Waves    []string      `help:"Members changed by the end of each wave: numbers or percentages, at last 100%." default:"1,10%,50%,100%"`
	ByZone   bool          `help:"Change one zone after another."`
	After    string        `help:"A rollout that must be done first."`
	Soak     time.Duration `help:"How long each wave must be in service before the next one." default:"1m"`
	Requests uint64        `help:"Requests on changed members that a verdict requires." default:"500"`
	Wait     time.Duration `help:"Time without progress after which the rollout halts." default:"15m"`
	Alpha    float64       `help:"Maximum probability that a good release is halted by its stats." default:"0.01"`
	Margin   float64       `help:"Tolerated increase of the share refused or failed." default:"0.02"`
	Slower   float64       `help:"Tolerated increase of the mean latency, as a factor." default:"1.5"`
}

// Run starts a rollout.
func (c *startCommand) Run(f *fleet) error {
	spec := rollout.Spec{ID: c.ID, Role: c.Role, Zones: c.Zones, Version: c.Version, After: c.After, ByZone: c.ByZone,
		Gate: rollout.Gate{Soak: c.Soak, MinRequests: c.Requests, StallTimeout: c.Wait,
			Alpha: c.Alpha, Margin: c.Margin, MaxLatencyFactor: c.Slower}}
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
	return f.sendOrder(rollout.Entry{Start: &spec}, "started "+c.ID)
}

// parseWave parses a number of members such as "3", or a percentage such as "10%".
func parseWave(text string) (float64, error) {
	number, percent := strings.CutSuffix(text, "%")
	value, err := strconv.ParseFloat(number, 64)
	switch {
	case err != nil || !(value > 0):
		return 0, &rollout.BadRequest{What: fmt.Sprintf("a wave must be a number of members or a percentage such as 10%%, not %q", text)}
	case percent && value >= 100:
		return rollout.AllMembers, nil
	case percent:
		return value / 100, nil
	case value < 1 || value != float64(int(value)):
		return 0, &rollout.BadRequest{What: fmt.Sprintf("a wave must be a whole number of members, not %q", text)}
	}
	return value, nil
}

type haltCommand struct {
	ID  string `arg:"" help:"The rollout."`
	Why string `help:"The reason, shown in status." default:"halted by hand"`
}

// Run halts a rollout.
func (c *haltCommand) Run(f *fleet) error {
	by := f.By
	if u, err := user.Current(); by == "" && err == nil {
		by = u.Username
	}
	return f.sendOrder(rollout.Entry{Halt: rollout.NewHaltEntry(c.ID, &rollout.HaltedByOperator{By: by, Why: c.Why})}, "halted "+c.ID)
}

type resumeCommand struct {
	ID   string `arg:"" help:"The rollout."`
	Halt uint64 `help:"The number of the halt to lift: a later halt stays in force. The present halt if omitted."`
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
	return f.sendOrder(rollout.Entry{Resume: &rollout.ResumeEntry{Rollout: c.ID, Number: c.Halt}}, "resumed "+c.ID)
}

type backCommand struct {
	ID string `arg:"" help:"The rollout."`
}

// Run rolls a rollout back.
func (c *backCommand) Run(f *fleet) error {
	return f.sendOrder(rollout.Entry{Rollback: c.ID}, "rolling back: "+c.ID)
}

type watchCommand struct {
	ID    string        `arg:"" help:"The rollout."`
	Every time.Duration `help:"Interval between two checks." default:"2s"`
	For   time.Duration `help:"Maximum time to watch; 0 for until it ends or halts." default:"0s"`
}

// Run watches a rollout until it ends or halts. The exit code tells which.
func (c *watchCommand) Run(f *fleet) error {
	started := time.Now()
	lastPrinted := ""
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
				if b, err := json.Marshal(r); err == nil && string(b) != lastPrinted {
					lastPrinted = string(b)
					fmt.Println(lastPrinted)
				}
			} else if text := describe(s, r); text != lastPrinted {
				lastPrinted = text
				fmt.Printf("%s %s", time.Now().Format(time.TimeOnly), text)
			}
			switch {
			case r.Phase == rollout.Done:
				return nil
			case r.Phase == rollout.RolledBack:
				return status(codeRolledBack)
			case r.Halt != nil:
				return status(codeHalted)
			}
		}
		if c.For > 0 && time.Since(started) > c.For {
			return status(codeOther)
		}
		time.Sleep(c.Every)
	}
}

// describe returns the progress of a rollout in one or more lines.
func describe(s rolloutlink.Status, r rollout.Progress) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s to %s: %s, wave %d of %d, %d of %d members", r.ID, r.Version, r.Phase, r.Wave, r.Waves, r.Done, r.Total)
	if r.TimeLeft > 0 && r.Done < r.Total {
		fmt.Fprintf(&b, ", about %v left", r.TimeLeft.Round(time.Second))
	}
	b.WriteByte('\n')
	if r.Halt != nil {
		fmt.Fprintf(&b, "  halted (number %d, %s): %s\n  what to do: %s\n", r.Halt.Number, r.Halt.Kind, r.Halt.Text, r.Halt.Remedy)
	}
	if r.Gate != "" {
		fmt.Fprintf(&b, "  %s\n", r.Gate)
	}
	for _, w := range r.WaitingFor {
		fmt.Fprintf(&b, "  waiting for %s\n", w)
	}
	for _, m := range s.Members {
		if m.Out != "" && m.Grant == nil {
			fmt.Fprintf(&b, "  counts as out: %s: %s\n", m.Name, m.Out)
		}
	}
	return b.String()
}

type statusCommand struct {
	All bool `help:"List all members, not only those that are out or changing."`
}

// Run prints the status of the fleet.
func (c *statusCommand) Run(f *fleet) error {
	s, err := f.status()
	if err != nil {
		return err
	}
	if f.JSON {
		return f.printJSON(s)
	}
	fmt.Printf("coordinator %d leads (term %d, log index %d)\n", s.Coordinator, s.Term, s.Index)
	for _, id := range slices.Sorted(maps.Keys(s.Coordinators)) {
		fmt.Printf("coordinator %d at %s\n", id, s.Coordinators[id])
	}
	if s.GrantsBlocked != "" {
		fmt.Printf("nothing is granted: %s\n", s.GrantsBlocked)
	}
	if s.Stop != nil {
		fmt.Printf("all grants are stopped (number %d, %s): %s\nwhat to do: %s\n", s.Stop.Number, s.Stop.Kind, s.Stop.Text, s.Stop.Remedy)
	}
	table := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table, "budget\tgroup\tout\tmax out\tweight out\tmax weight out\tmembers")
	for _, b := range s.Budgets {
		maxOut, share := "-", "-"
		if b.MaxOut > 0 {
			maxOut = fmt.Sprint(b.MaxOut)
		}
		if b.Share > 0 {
			share = fmt.Sprintf("%.1f%%", 100*b.Share)
		}
		fmt.Fprintf(table, "%s\t%s\t%d\t%s\t%.1f%%\t%s\t%d\n", b.Budget, b.Group, b.Out, maxOut, 100*b.Weight, share, b.Members)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	for _, r := range s.Rollouts {
		fmt.Print(describe(rolloutlink.Status{}, r))
	}
	fmt.Fprintln(table, "member\tzone\tversion\tstate\tcounts as out\tdenied\tfailed")
	for _, m := range s.Members {
		if c.All || m.Out != "" || m.Denied != "" || m.Failed != "" || m.Drain != "" {
			fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%s\t%s\n", m.Name, m.Zone, m.Version, m.State, m.Out, m.Denied, m.Failed)
		}
	}
	return table.Flush()
}

type drainCommand struct {
	Member string `arg:"" help:"The member."`
}

// Run orders a member to be drained.
func (c *drainCommand) Run(f *fleet) error {
	return f.sendOrder(rollout.Entry{Drain: c.Member}, "will be drained when the budgets allow it: "+c.Member)
}

type undrainCommand struct {
	Member string `arg:"" help:"The member."`
}

// Run orders a drained member back into service.
func (c *undrainCommand) Run(f *fleet) error {
	return f.sendOrder(rollout.Entry{Undrain: c.Member}, "will return to service: "+c.Member)
}

type forgetCommand struct {
	Member string `arg:"" help:"The member, which will not return."`
}

// Run removes a member from the coordinators' state.
func (c *forgetCommand) Run(f *fleet) error {
	return f.sendOrder(rollout.Entry{Forget: c.Member}, "forgotten: "+c.Member)
}

type stopCommand struct {
	Why string `help:"The reason, shown in status." default:"stopped by hand"`
}

// Run stops all grants until the stop is lifted.
func (c *stopCommand) Run(f *fleet) error {
	by := f.By
	if u, err := user.Current(); by == "" && err == nil {
		by = u.Username
	}
	return f.sendOrder(rollout.Entry{Halt: rollout.NewHaltEntry("", &rollout.HaltedByOperator{By: by, Why: c.Why})},
		"stopped: no further member goes out of service")
}

type liftCommand struct {
	Halt uint64 `help:"The number of the stop to lift." required:""`
}

// Run lifts a stop.
func (c *liftCommand) Run(f *fleet) error {
	return f.sendOrder(rollout.Entry{Resume: &rollout.ResumeEntry{Number: c.Halt}}, "lifted")
}

type replaceCommand struct {
	Old     uint64 `arg:"" help:"The ID of the coordinator to replace, which will not return."`
	New     uint64 `arg:"" help:"The ID of the new coordinator, which runs with --join."`
	Address string `arg:"" help:"The new coordinator's address, host:port."`
}

// Run replaces a coordinator.
func (c *replaceCommand) Run(f *fleet) error {
	if err := f.call(http.MethodPost, rolloutlink.PathReplace, rolloutlink.Replace{Old: c.Old, New: c.New, Address: c.Address},
		nil, rolloutlink.MaxReportBytes); err != nil {
		return err
	}
	fmt.Println("replacement started: see status")
	return nil
}

func main() {
	var commandLine struct {
		fleet
		Rollout struct {
			Start  startCommand  `cmd:"" help:"Start a rollout."`
			Watch  watchCommand  `cmd:"" help:"Watch a rollout until it ends or halts."`
			Halt   haltCommand   `cmd:"" help:"Halt a rollout until it is resumed."`
			Resume resumeCommand `cmd:"" help:"Lift the halt of a rollout."`
			Back   backCommand   `cmd:"" help:"Roll back to the prior version."`
		} `cmd:"" help:"Rollouts of releases."`
		Config      configCommand  `cmd:"" help:"Configuration of all ingresses."`
		Status      statusCommand  `cmd:"" help:"Show which members are out of service and why, and what rollouts wait for."`
		Drain       drainCommand   `cmd:"" help:"Take a member out of service when the budgets allow it."`
		Undrain     undrainCommand `cmd:"" help:"Bring a drained member back into service."`
		Forget      forgetCommand  `cmd:"" help:"Remove a member that will not return."`
		Stop        stopCommand    `cmd:"" help:"Stop all grants: no further member goes out of service."`
		Lift        liftCommand    `cmd:"" help:"Lift a stop."`
		Coordinator struct {
			Replace replaceCommand `cmd:"" help:"Replace a coordinator that will not return by a new one."`
		} `cmd:"" help:"Coordinators."`
	}
	parsed := kong.Parse(&commandLine, kong.Name("wickarch-fleet"),
		kong.Description("Controls rollouts, drains and configuration of a fleet."), kong.UsageOnError(),
		kong.Exit(func(code int) {
			if code != 0 {
				code = 2
			}
			os.Exit(code)
		}))
	if len(commandLine.Coordinators) == 0 && !strings.HasPrefix(parsed.Command(), "config check") {
		parsed.Errorf("missing flags: --coordinators=ADDRESS,... (or WICKARCH_COORDINATORS)")
		os.Exit(2)
	}
	commandLine.fleet.http = rolloutlink.NewHTTPClient(12 * time.Second)
	if err := parsed.Run(&commandLine.fleet); err != nil {
		os.Exit(reportError(&commandLine.fleet, err))
	}
}

// reportError prints an error and its remedy, and returns the exit code.
func reportError(f *fleet, err error) int {
	var code status
	if errors.As(err, &code) {
		return int(code)
	}
	remote := rollout.ToRemoteError(err)
	if f.JSON {
		_ = f.printJSON(map[string]any{"error": remote}) // cannot fail: it holds only strings
	} else {
		fmt.Fprintf(os.Stderr, "wickarch-fleet: %s (%s)\nwhat to do: %s\n", remote.Text, remote.Kind, remote.Advice)
	}
	switch remote.Kind {
	case "Unreachable", "NotLeader", "NoMajority", "Busy":
		return codeUnreachable
	case "Undecided":
		return codeUndecided
	case "Error":
		return codeOther
	}
	return codeRefused
}
