package ingress

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"wickarch/distribution"
	"wickarch/internal/standin"
)

// newVersion creates a configuration version from values by key.
func newVersion(t *testing.T, number uint64, values map[distribution.Key]any, before ...distribution.PreviousResource) *distribution.ActiveConfig {
	t.Helper()
	u := &distribution.ActiveConfig{Version: number, Settled: number - 1, Set: distribution.Set{}, PreviousPlans: map[distribution.Key][]byte{}}
	for k, v := range values {
		data, err := distribution.Encode(v)
		if err != nil {
			t.Fatal(err)
		}
		u.Set[k] = distribution.Resource{Key: k, Data: data, Line: 7}
	}
	for _, o := range before {
		u.PreviousPlans[o.Key] = o.Data
	}
	return u
}

// A version with plans replaces all plans from the next request on; one without keeps the
// platform's. Limits apply where they are lower than the platform's.
func TestVersionAppliesFromNextRequest(t *testing.T) {
	b, err := standin.NewBackend(func(r standin.Received) { r.Answer("v") })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(b.Close)
	r := newRig(t, nil, Member{ID: "b", HostPort: b.Addr, Phase: PhaseServing, Size: 1})
	in := Configurable{r.server}
	c := r.dial()
	try := func(plan string) string {
		t.Helper()
		c.send("Q.ASK", "0000000000000001", standin.NewID(), fmt.Sprintf("c=lookup,t=%s,d=3000,units=1,spread=1,first=0", plan))
		return c.line()
	}
	put := func(u *distribution.ActiveConfig) {
		t.Helper()
		if err = in.Configure(u); err != nil {
			t.Fatal(err)
		}
	}
	const served, unknown = "$1\r\nv", "-ERR unknown plan"
	want := func(plan, answer string) {
		t.Helper()
		if got := try(plan); got != answer {
			t.Errorf("a request under plan %s is answered %q, want %q", plan, got, answer)
		}
	}
	want("basic", served)
	want("gold", unknown)
	gold := distribution.Plan{Price: 2}
	put(newVersion(t, 1, map[distribution.Key]any{"plan/gold": gold, "limit/attempts": distribution.Limit{Value: 1},
		"limit/retry_after_ms": distribution.Limit{Value: 1e9}}))
	want("gold", served)
	want("basic", unknown)
	r.onLoop(func(l *loop) {
		if l.cfg.Choice.MaxUnits != l.runtimeConfig.base.MaxUnits {
			t.Error("a limit that the version does not set has changed")
		}
	})
	put(newVersion(t, 2, map[distribution.Key]any{"plan/gold": gold, "plan/basic": gold, "limit/units": distribution.Limit{Value: 0.5}}))
	want("basic", "-ERR bad value of units")
	put(newVersion(t, 3, nil))
	want("basic", served)
	want("gold", unknown)
	var text string
	r.onLoop(func(l *loop) { text = string(r.server.AppendMetrics(nil)) })
	if !strings.Contains(text, "config_version=3\n") || !strings.Contains(text, "config_settled=2\n") {
		t.Errorf("metrics: %s", text)
	}

	// While other ingresses may still use an older version, its ceiling applies as well.
	low := distribution.Plan{Price: 1, CeilingRate: 1e-6, CeilingBurst: 1e-3}
	high := distribution.Plan{Price: 1, CeilingRate: 1e6, CeilingBurst: 1e6}
	data, err := distribution.Encode(low)
	if err != nil {
		t.Fatal(err)
	}
	put(newVersion(t, 4, map[distribution.Key]any{"plan/capped": high}, distribution.PreviousResource{Key: "plan/capped", Data: data}))
	if got := try("capped"); !strings.HasPrefix(got, "-BUSY") {
		t.Errorf("a raised ceiling that has not settled is answered %q", got)
	}
	put(newVersion(t, 4, map[distribution.Key]any{"plan/capped": high}))
	want("capped", served)
}

// A resource that this ingress can't use is reported with key and line, and changes nothing.
func TestUnusableResourceIsReported(t *testing.T) {
	r := newRig(t, nil, Member{ID: "b", HostPort: "127.0.0.1:1", Phase: PhaseServing, Size: 1})
	good := newVersion(t, 1, map[distribution.Key]any{"route/a": distribution.Route{Service: "s", Class: "lookup"},
		"route/b": distribution.Route{Service: "s"}})
	if err := r.server.CheckConfig(good.Set.List()); err != nil {
		t.Error(err)
	}
	bad := newVersion(t, 1, map[distribution.Key]any{"route/a": distribution.Route{Service: "s", Class: "nonesuch"}})
	var refused *distribution.Refused
	if err := r.server.CheckConfig(bad.Set.List()); !errors.As(err, &refused) || refused.Key != "route/a" || refused.Line != 7 {
		t.Errorf("%v", err)
	}
	bad = newVersion(t, 1, map[distribution.Key]any{"plan/a": distribution.Plan{Rate: -1}})
	if err := (Configurable{r.server}).Configure(bad); err == nil {
		t.Error("a plan with a negative rate is accepted")
	}
	r.onLoop(func(l *loop) {
		if _, known := l.cfg.plans["a"]; known || l.runtimeConfig.version != 0 {
			t.Error("a refused version has changed the configuration")
		}
	})
}
