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

// codeBehind: the version is in the log, and not in force everywhere in time.
const codeBehind = 8

type configCommand struct {
	Check  configCheck  `cmd:"" help:"Check a file, and tell its first fault with resource and line."`
	Push   configPush   `cmd:"" help:"Make a file the newest version, and wait until it is in force."`
	Status configStatus `cmd:"" help:"Tell which version is in force where, and who is missing."`
	Show   configShow   `cmd:"" help:"Write the newest version as a file."`
	Back   configBack   `cmd:"" help:"Put an earlier version in force again, as a new one."`
	Forget configForget `cmd:"" help:"Forget an ingress that will not follow again."`
}

type configCheck struct {
	File string `arg:"" help:"The file." type:"path"`
}

// Run checks a file. It asks nobody.
func (c *configCheck) Run(f *fleet) error {
	set, err := configfile.Load(c.File)
	if err != nil {
		return err
	}
	fmt.Printf("%d resources, %d bytes, %.12s\n", len(set), set.Size(), set.Sum())
	return nil
}

// config is the newest version, whole.
func (f *fleet) config() (c rolloutlink.Config, set distribution.Set, err error) {
	if err = f.ask(http.MethodGet, rolloutlink.PathConfig, nil, &c, rolloutlink.MostConfig); err != nil {
		return c, nil, err
	}
	set = distribution.Set{}
	for _, r := range c.Resources {
		set[r.Key] = r
	}
	return c, set, nil
}

// configure sends an order of configuration until it is decided, under one name, and returns
// the version that it made.
func (f *fleet) configure(e distribution.Entry) (uint64, error) {
	if e.By = f.By; e.By == "" {
		e.By = "someone"
		if u, err := user.Current(); err == nil {
			e.By = u.Username
		}
	}
	if e.Request = f.Request; e.Request == "" {
		e.Request = rand.Text()
	}
	var made rolloutlink.Ordered
	err := f.ask(http.MethodPost, rolloutlink.PathConfigOrder, e, &made, rolloutlink.MostReport)
	return made.Version, err
}

type configPush struct {
	File string        `arg:"" help:"The file." type:"path"`
	Base *uint64       `help:"The version that the file was made from: refused if there is a newer one. The newest if left out."`
	Wait time.Duration `help:"How long to wait until it is in force at all that are heard; 0 for not at all." default:"10s"`
}

// Run pushes a file.
func (c *configPush) Run(f *fleet) error {
	next, err := configfile.Load(c.File)
	if err != nil {
		return err
	}
	newest, now, err := f.config()
	if err != nil {
		return err
	}
	p := distribution.Push{Base: newest.Version, Hash: next.Sum()}
	if c.Base != nil {
		p.Base = *c.Base // compared where it is set, so that nobody's change is lost between
	}
	for _, r := range next.List() {
		if string(now[r.Key].Data) != string(r.Data) {
			p.Set = append(p.Set, r)
		}
	}
	for _, r := range now.List() {
		if _, stays := next[r.Key]; !stays {
			p.Delete = append(p.Delete, r.Key)
		}
	}
	version, err := f.configure(distribution.Entry{Push: &p})
	if err != nil {
		return err
	}
	if !f.JSON {
		fmt.Printf("version %d: %d set, %d taken out\n", version, len(p.Set), len(p.Delete))
	}
	return f.await(version, c.Wait)
}

type configBack struct {
	To   uint64        `help:"The version to go back to." required:""`
	Wait time.Duration `help:"How long to wait until it is in force at all that are heard; 0 for not at all." default:"10s"`
}

// Run goes back.
func (c *configBack) Run(f *fleet) error {
	newest, _, err := f.config()
	if err != nil {
		return err
	}
	version, err := f.configure(distribution.Entry{Rollback: &distribution.Rollback{Base: newest.Version, To: c.To}})
	if err != nil {
		return err
	}
	if !f.JSON {
		fmt.Printf("version %d: as version %d was\n", version, c.To)
	}
	return f.await(version, c.Wait)
}

// await waits until a version, or a newer one, is in force at all that are heard, and tells how it stands.
func (f *fleet) await(version uint64, most time.Duration) error {
	end := time.Now().Add(most)
	for {
		st, err := f.configStatus()
		if err != nil {
			return err
		}
		halted := st.Halt != nil && st.Halt.Version >= version
		if st.Settled < version && !halted && time.Now().Before(end) {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		if err := f.tellConfig(st, false); err != nil {
			return err
		}
		switch {
		case halted:
			return status(codeHalted)
		case st.Settled < version && most > 0:
			return status(codeBehind)
		}
		return nil
	}
}

func (f *fleet) configStatus() (st distribution.Status, err error) {
	err = f.ask(http.MethodGet, rolloutlink.PathConfigStatus, nil, &st, rolloutlink.MostStatus)
	return st, err
}

type configStatus struct {
	All bool `help:"Every follower, not only those where it is not in force."`
}

// Run tells how configuration stands.
func (c *configStatus) Run(f *fleet) error {
	st, err := f.configStatus()
	if err != nil {
		return err
	}
	return f.tellConfig(st, c.All)
}

// mostMissing are named without --all.
const mostMissing = 20

func (f *fleet) tellConfig(st distribution.Status, all bool) error {
	if f.JSON {
		return f.print(st)
	}
	fmt.Printf("version %d of %s: %d resources, %d bytes, %.12s; versions from %d on are kept\n", st.Version, st.By, st.Resources, st.Bytes, st.Hash, st.Oldest)
	if st.Settled == st.Version {
		fmt.Println("in force at all that are heard")
	} else {
		fmt.Printf("in force at all that are heard: version %d\n", st.Settled)
	}
	if h := st.Halt; h != nil {
		fmt.Printf("HALTED: %v\nwhat to do: %s\n", h, h.Remedy())
	}
	type count struct{ there, all int }
	regions := map[string]*count{}
	var names []string
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
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
			r.there++
		} else {
			missing++
		}
		if all || s.Sync != distribution.SyncInForce && missing <= mostMissing {
			fmt.Fprintf(w, "%s\t%s\tversion %d\t%s\theard %v ago\t%s\n", s.Name, s.Region, s.Version, s.Sync, s.SinceLastPoll.Round(100*time.Millisecond), s.Why)
		}
	}
	slices.Sort(names)
	for _, name := range names {
		label := name
		if label == "" {
			label = "(no region)"
		}
		fmt.Printf("%s: %d of %d\n", label, regions[name].there, regions[name].all)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	if !all && missing > mostMissing {
		fmt.Printf("and %d more: config status --all\n", missing-mostMissing)
	}
	return nil
}

type configShow struct{}

// Run writes the newest version.
func (c *configShow) Run(f *fleet) error {
	newest, set, err := f.config()
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
	Follower string `arg:"" help:"Its name."`
}

// Run forgets a follower.
func (c *configForget) Run(f *fleet) error {
	if _, err := f.configure(distribution.Entry{Forget: c.Follower}); err != nil {
		return err
	}
	fmt.Println("forgotten: " + c.Follower)
	return nil
}
