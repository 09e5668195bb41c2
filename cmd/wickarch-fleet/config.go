package main

import (
	"crypto/rand"
	"fmt"
	"net/http"
	"os"
	"os/user"
	"slices"
	"text/tabwriter"
	"time"

	"wickarch/distribution"
	"wickarch/internal/configfile"
	"wickarch/internal/rolloutlink"
)

// codeNotInForce is the exit code for a version that is in the log but was not in force everywhere within the timeout.
const codeNotInForce = 8

type configCommand struct {
	Check  configCheck  `cmd:"" help:"Check a configuration file and print its first fault with resource and line."`
	Push   configPush   `cmd:"" help:"Publish a configuration file as the newest version and wait until it is in force."`
	Status configStatus `cmd:"" help:"Show which version is in force where, and at which ingresses it is not."`
	Show   configShow   `cmd:"" help:"Print the newest version as a configuration file."`
	Back   configBack   `cmd:"" help:"Restore an earlier version as a new one."`
	Forget configForget `cmd:"" help:"Remove an ingress that will not follow configuration again."`
}

type configCheck struct {
	File string `arg:"" help:"The configuration file." type:"path"`
}

// Run checks a configuration file. It makes no call to a coordinator.
func (c *configCheck) Run(f *fleet) error {
	set, err := configfile.Load(c.File)
	if err != nil {
		return err
	}
	fmt.Printf("%d resources, %d bytes, %.12s\n", len(set), set.Size(), set.Sum())
	return nil
}

// newestConfig returns the newest version, and its resources as a set.
func (f *fleet) newestConfig() (c rolloutlink.Config, set distribution.Set, err error) {
	if err = f.call(http.MethodGet, rolloutlink.PathConfig, nil, &c, rolloutlink.MaxConfigBytes); err != nil {
		return c, nil, err
	}
	set = distribution.Set{}
	for _, r := range c.Resources {
		set[r.Key] = r
	}
	return c, set, nil
}

// sendConfigOrder sends an order that changes the configuration, and returns the version that it created.
// Retries use the same request name, so it is applied at most once.
func (f *fleet) sendConfigOrder(e distribution.Entry) (uint64, error) {
	if e.By = f.By; e.By == "" {
		e.By = "someone"
		if u, err := user.Current(); err == nil {
			e.By = u.Username
		}
	}
	if e.Request = f.Request; e.Request == "" {
		e.Request = rand.Text()
	}
	var reply rolloutlink.ConfigOrderReply
	err := f.call(http.MethodPost, rolloutlink.PathConfigOrder, e, &reply, rolloutlink.MaxReportBytes)
	return reply.Version, err
}

type configPush struct {
	File string        `arg:"" help:"The configuration file." type:"path"`
	Base *uint64       `help:"The version that the file is based on: the push is refused if there is a newer one. The newest if omitted."`
	Wait time.Duration `help:"How long to wait until it is in force at all live ingresses; 0 for no wait." default:"10s"`
}

// Run publishes a configuration file.
func (c *configPush) Run(f *fleet) error {
	next, err := configfile.Load(c.File)
	if err != nil {
		return err
	}
	newest, current, err := f.newestConfig()
	if err != nil {
		return err
	}
	push := distribution.Push{Base: newest.Version, Hash: next.Sum()}
	if c.Base != nil {
		push.Base = *c.Base // the coordinator compares it with the newest version, so that no concurrent change is lost
	}
	for _, r := range next.List() {
		if string(current[r.Key].Data) != string(r.Data) {
			push.Set = append(push.Set, r)
		}
	}
	for _, r := range current.List() {
		if _, kept := next[r.Key]; !kept {
			push.Delete = append(push.Delete, r.Key)
		}
	}
	version, err := f.sendConfigOrder(distribution.Entry{Push: &push})
	if err != nil {
		return err
	}
	if !f.JSON {
		fmt.Printf("version %d: %d resources set, %d deleted\n", version, len(push.Set), len(push.Delete))
	}
	return f.awaitConfig(version, c.Wait)
}

type configBack struct {
	To   uint64        `help:"The version to restore." required:""`
	Wait time.Duration `help:"How long to wait until it is in force at all live ingresses; 0 for no wait." default:"10s"`
}

// Run restores an earlier version as a new one.
func (c *configBack) Run(f *fleet) error {
	newest, _, err := f.newestConfig()
	if err != nil {
		return err
	}
	version, err := f.sendConfigOrder(distribution.Entry{Rollback: &distribution.Rollback{Base: newest.Version, To: c.To}})
	if err != nil {
		return err
	}
	if !f.JSON {
		fmt.Printf("version %d: restores version %d\n", version, c.To)
	}
	return f.awaitConfig(version, c.Wait)
}

// awaitConfig waits until a version, or a newer one, is in force at all live ingresses, then prints the status.
func (f *fleet) awaitConfig(version uint64, timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
	for {
		st, err := f.configStatus()
		if err != nil {
			return err
		}
		halted := st.Halt != nil && st.Halt.Version >= version
		if st.Settled < version && !halted && time.Now().Before(deadline) {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		if err := f.printConfigStatus(st, false); err != nil {
			return err
		}
		switch {
		case halted:
			return status(codeHalted)
		case st.Settled < version && timeout > 0:
			return status(codeNotInForce)
		}
		return nil
	}
}

func (f *fleet) configStatus() (st distribution.Status, err error) {
	err = f.call(http.MethodGet, rolloutlink.PathConfigStatus, nil, &st, rolloutlink.MaxStatusBytes)
	return st, err
}

type configStatus struct {
	All bool `help:"List every ingress, not only those where the version is not in force."`
}

// Run prints the status of the configuration.
func (c *configStatus) Run(f *fleet) error {
	st, err := f.configStatus()
	if err != nil {
		return err
	}
	return f.printConfigStatus(st, c.All)
}

// maxListedMissing is the number of ingresses without the version in force that are listed without --all.
const maxListedMissing = 20

func (f *fleet) printConfigStatus(st distribution.Status, all bool) error {
	if f.JSON {
		return f.printJSON(st)
	}
	fmt.Printf("version %d by %s: %d resources, %d bytes, %.12s; the oldest version that can be restored is %d\n",
		st.Version, st.By, st.Resources, st.Bytes, st.Hash, st.Oldest)
	if st.Settled == st.Version {
		fmt.Println("in force at all live ingresses")
	} else {
		fmt.Printf("in force at all live ingresses: version %d\n", st.Settled)
	}
	if h := st.Halt; h != nil {
		fmt.Printf("HALTED: %v\nwhat to do: %s\n", h, h.Remedy())
	}
	type count struct{ inForce, all int }
	regions := map[string]*count{}
	var names []string
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	missing := 0
	for _, s := range st.Followers {
		r := regions[s.Region]
		if r == nil {
			r = &count{}
			regions[s.Region] = r
			names = append(names, s.Region)
		}
		r.all++
		if s.Sync == distribution.SyncInForce {
			r.inForce++
		} else {
			missing++
		}
		if all || s.Sync != distribution.SyncInForce && missing <= maxListedMissing {
			fmt.Fprintf(table, "%s\t%s\tversion %d\t%s\tlast poll %v ago\t%s\n",
				s.Name, s.Region, s.Version, s.Sync, s.SinceLastPoll.Round(100*time.Millisecond), s.Why)
		}
	}
	slices.Sort(names)
	for _, name := range names {
		label := name
		if label == "" {
			label = "(no region)"
		}
		fmt.Printf("%s: %d of %d\n", label, regions[name].inForce, regions[name].all)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	if !all && missing > maxListedMissing {
		fmt.Printf("and %d more, which config status --all lists\n", missing-maxListedMissing)
	}
	return nil
}

type configShow struct{}

// Run prints the newest version as a configuration file.
func (c *configShow) Run(f *fleet) error {
	newest, set, err := f.newestConfig()
	if err != nil {
		return err
	}
	text, err := configfile.Format(set)
	if err != nil {
		return err
	}
	fmt.Printf("# version %d\n%s", newest.Version, text)
	return nil
}

type configForget struct {
	Follower string `arg:"" help:"The name of the ingress."`
}

// Run removes a follower from the coordinators' state.
func (c *configForget) Run(f *fleet) error {
	if _, err := f.sendConfigOrder(distribution.Entry{Forget: c.Follower}); err != nil {
		return err
	}
	fmt.Println("forgotten: " + c.Follower)
	return nil
}
