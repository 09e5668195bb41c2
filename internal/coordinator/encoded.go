package coordinator

import (
	"encoding/json"
	"fmt"
	"sync"

	"wickarch/distribution"
)

// rawJSON is a response body that is already encoded as JSON.
type rawJSON []byte

// replyEncoder caches the JSON of what many followers are sent: one full state and a few
// differences. To encode it again for each follower of a large fleet would take seconds.
type replyEncoder struct {
	mu          sync.Mutex
	cachedState *distribution.State
	stateJSON   []byte
	differences map[*distribution.Difference][]byte
}

const maxDifferences = 16 // cached differences

// reply returns a reply as JSON.
func (e *replyEncoder) reply(r distribution.Reply) (rawJSON, error) {
	state, difference := r.State, r.Difference
	r.State, r.Difference = nil, nil
	rest, err := json.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("coordinator: %w", err)
	}
	name, content := "", []byte(nil)
	switch {
	case state != nil:
		name = "state"
		content, err = e.encode(state, nil)
	case difference != nil:
		name = "difference"
		content, err = e.encode(nil, difference)
	default:
		return rest, nil
	}
	if err != nil {
		return nil, fmt.Errorf("coordinator: %w", err)
	}
	// rest is an object with at least one field, which follows the comma.
	out := make([]byte, 0, len(content)+len(rest)+len(name)+5)
	out = append(out, `{"`...)
	out = append(out, name...)
	out = append(out, `":`...)
	out = append(out, content...)
	out = append(out, ',')
	return append(out, rest[1:]...), nil
}

// encode returns the JSON of the state, or else of the difference, from the cache if it is there.
func (e *replyEncoder) encode(state *distribution.State, difference *distribution.Difference) (b []byte, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if state != nil {
		if e.cachedState != state {
			if b, err = json.Marshal(state); err != nil {
				return nil, err
			}
			e.cachedState, e.stateJSON = state, b
		}
		return e.stateJSON, nil
	}
	if b = e.differences[difference]; b != nil {
		return b, nil
	}
	if b, err = json.Marshal(difference); err != nil {
		return nil, err
	}
	if e.differences == nil || len(e.differences) >= maxDifferences {
		e.differences = map[*distribution.Difference][]byte{}
	}
	e.differences[difference] = b
	return b, nil
}
