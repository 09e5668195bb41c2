package coordinator

import (
	"encoding/json"
	"fmt"
	"sync"

	"wickarch/distribution"
)

// rawJSON is an answer that is JSON already.
type rawJSON []byte

// encoded keeps what many followers are sent alike, as JSON: one whole state, and a few
// differences. To write it anew for each would cost a crowd of them seconds.
type encoded struct {
	mu    sync.Mutex
	state *distribution.State
	whole []byte
	steps map[*distribution.Difference][]byte
}

const mostSteps = 16 // differences that are kept

// reply writes a reply.
func (e *encoded) reply(r distribution.Reply) (rawJSON, error) {
	state, step := r.State, r.Difference
	r.State, r.Difference = nil, nil
	rest, err := json.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("coordinator: %w", err)
	}
	name, part := "", []byte(nil)
	switch {
	case state != nil:
		name = "state"
		part, err = e.once(state, nil)
	case step != nil:
		name = "difference"
		part, err = e.once(nil, step)
	default:
		return rest, nil
	}
	if err != nil {
		return nil, fmt.Errorf("coordinator: %w", err)
	}
	// rest is an object with one field at least.
	out := make([]byte, 0, len(part)+len(rest)+len(name)+5)
	out = append(out, `{"`...)
	out = append(out, name...)
	out = append(out, `":`...)
	out = append(out, part...)
	out = append(out, ',')
	return append(out, rest[1:]...), nil
}

func (e *encoded) once(state *distribution.State, step *distribution.Difference) (b []byte, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if state != nil {
		if e.state != state {
			if b, err = json.Marshal(state); err != nil {
				return nil, err
			}
			e.state, e.whole = state, b
		}
		return e.whole, nil
	}
	if b = e.steps[step]; b != nil {
		return b, nil
	}
	if b, err = json.Marshal(step); err != nil {
		return nil, err
	}
	if e.steps == nil || len(e.steps) >= mostSteps {
		e.steps = map[*distribution.Difference][]byte{}
	}
	e.steps[step] = b
	return b, nil
}
