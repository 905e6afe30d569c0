package agentd

import (
	"encoding/json"
	"time"

	"dapplefront/agent"
	"dapplefront/internal/api"
	"dapplefront/internal/journal"
)

// saveRetryDelay is the time between attempts to save the state.
const saveRetryDelay = 200 * time.Millisecond

// submit queues an input.
func (a *Agent) submit(in agent.Input) {
	a.mu.Lock()
	a.inbox = append(a.inbox, in)
	a.mu.Unlock()
	select {
	case a.inputs <- struct{}{}:
	default:
	}
}

// run handles inputs one after the other.
func (a *Agent) run() {
	for {
		in := a.nextInput()
		if in == nil {
			select {
			case <-a.ctx.Done():
				return
			case <-a.inputs:
			}
			continue
		}
		if !a.handle(in) {
			return
		}
	}
}

// nextInput takes an input from the queue; nil if there is none.
func (a *Agent) nextInput() (in agent.Input) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.inbox) > 0 {
		in, a.inbox = a.inbox[0], a.inbox[1:]
	}
	return in
}

// handle decides on one input, saves the state and carries out the effects. Where the state can't be saved nothing is
// carried out: it is restored, and the input is handled again until it can be saved. It reports false where the agent
// ends first.
func (a *Agent) handle(in agent.Input) bool {
	before, err := json.Marshal(a.entry())
	for err == nil {
		a.mu.Lock()
		effects := a.machine.Handle(time.Now(), in)
		a.mu.Unlock()
		a.addReports(effects)
		saveErr := a.journal.Save(a.entry())
		if saveErr == nil {
			for _, e := range effects {
				a.carryOut(e)
			}
			a.wakeReports()
			return true
		}
		a.log.Error("the state can't be written down; nothing is done", "error", saveErr)
		if err = a.restore(before); err == nil && !sleep(a.ctx, saveRetryDelay) {
			return false
		}
	}
	a.log.Error("state not restored", "error", err)
	return false
}

// restore returns to a state that entry returned.
func (a *Agent) restore(text []byte) error {
	var e journal.Entry
	if err := json.Unmarshal(text, &e); err != nil {
		return err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.machine.State, a.outbox, a.lastReport = e.State, e.Reports, e.LastReport
	return nil
}

// entry returns what is to be saved.
func (a *Agent) entry() journal.Entry {
	a.mu.Lock()
	defer a.mu.Unlock()
	return journal.Entry{State: a.machine.State, Reports: append([]api.AgentReport(nil), a.outbox...), LastReport: a.lastReport}
}

// State returns a copy of the agent's state.
func (a *Agent) State() (s agent.State) {
	a.mu.Lock()
	defer a.mu.Unlock()
	text, _ := json.Marshal(a.machine.State)
	_ = json.Unmarshal(text, &s)
	return s
}
