package agentd

import (
	"encoding/json"
	"time"

	"dapplefront/agent"
	"dapplefront/internal/api"
	"dapplefront/internal/journal"
)

// saveRetryDelay is the delay before a failed attempt to save the state is retried.
const saveRetryDelay = 200 * time.Millisecond

// submit queues an input.
func (a *Agent) submit(in agent.Input) {
	a.mu.Lock()
	a.inbox = append(a.inbox, in)
	a.mu.Unlock()
	select {
	case a.inboxChanged <- struct{}{}:
	default:
	}
}

// run handles inputs one at a time until the agent shuts down.
func (a *Agent) run() {
	for {
		in := a.nextInput()
		if in == nil {
			select {
			case <-a.ctx.Done():
				return
			case <-a.inboxChanged:
			}
			continue
		}
		if !a.handle(in) {
			return
		}
	}
}

// nextInput removes the first input from the inbox and returns it, or nil if the inbox is empty.
func (a *Agent) nextInput() (in agent.Input) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.inbox) > 0 {
		in, a.inbox = a.inbox[0], a.inbox[1:]
	}
	return in
}

// handle passes an input to the state machine, saves the state and executes the effects. If the state can't be saved,
// no effect is executed: the earlier state is restored, and the input is handled again until the state can be saved. It
// reports false if the agent shuts down first or the state can't be restored.
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
				a.execute(e)
			}
			a.notifyOutbox()
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

// restore restores the state and the reports from an encoded journal entry.
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

// entry returns the journal entry of the current state.
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
