package control

import (
	"maps"
	"slices"
	"strconv"

	"dapplefront/policy"
)

// Release is a release object: what was requested, and the release's current status.
type Release struct {
	Build   int               `json:"build"`
	Digest  string            `json:"digest,omitempty"`
	Note    string            `json:"note,omitempty"`
	Labels  map[string]string `json:"labels,omitempty"`
	Steps   []Step            `json:"steps,omitempty"`
	Version uint64            `json:"version"` // version of the object, incremented with every change
	Created policy.Time       `json:"created"`

	Phase        policy.Phase   `json:"phase"`
	Stage        int            `json:"stage"`
	ExposureCap  float64        `json:"cap"`
	Since        policy.Time    `json:"since"`            // when the current phase or stage began
	WaitsFor     string         `json:"waits,omitempty"`  // name of the step that the deployment of the current stage waits for
	StepStatuses []StepStatus   `json:"done,omitempty"`   // one for each of Steps
	Counts       map[string]int `json:"counts,omitempty"` // reported number of requests, by outcome
	Hosts        map[string]int `json:"hosts,omitempty"`  // reported number of hosts, by state
	History      []HistoryEntry `json:"trace,omitempty"`
}

// Step is a task that must be done before a stage is deployed, such as a change of schema or data. Steps are done in order.
type Step struct {
	Name         string      `json:"name"`
	Stage        int         `json:"stage"`            // the stage whose deployment waits for the step, from 0
	Irreversible bool        `json:"final,omitempty"`  // once the step is done, the build can't be rolled back
	ExpectedTime policy.Time `json:"within,omitempty"` // a step that takes longer is marked as stalled; 0 means no limit
}

// StepStatus is the status of a step.
type StepStatus struct {
	WaitingSince policy.Time `json:"waiting,omitempty"` // when the stage began to wait for the step; 0 if it does not wait yet
	DoneAt       policy.Time `json:"at,omitempty"`      // when the step was reported done; 0 if it is not done
	DoneBy       string      `json:"by,omitempty"`
	Stalled      bool        `json:"stalled,omitempty"`
}

// HistoryEntry is one entry in a release's history.
type HistoryEntry struct {
	At   policy.Time `json:"at"`
	Text string      `json:"what"`
}

// ETag returns the object's version as an HTTP entity tag.
func (r *Release) ETag() string { return `"` + strconv.FormatUint(r.Version, 10) + `"` }

// maxHistory is the maximum number of entries in a release's history. A release usually has about ten.
const maxHistory = 200

// addHistory adds an entry. When the history is full, it deletes the second entry: the first one records the request and is
// kept.
func (r *Release) addHistory(at policy.Time, text string) {
	if r.History = append(r.History, HistoryEntry{at, text}); len(r.History) > maxHistory {
		r.History = slices.Delete(r.History, 1, 2)
	}
}

// newlyStalled reports whether a step has, at the given time, exceeded its expected time but is not marked as stalled yet.
func (r *Release) newlyStalled(step int, now policy.Time) bool {
	status, expected := r.StepStatuses[step], r.Steps[step].ExpectedTime
	return status.WaitingSince > 0 && status.DoneAt == 0 && !status.Stalled && expected > 0 && now-status.WaitingSince > expected
}

func (r *Release) clone() *Release {
	c := *r
	c.Labels, c.Counts, c.Hosts = maps.Clone(r.Labels), maps.Clone(r.Counts), maps.Clone(r.Hosts)
	c.Steps, c.StepStatuses, c.History = slices.Clone(r.Steps), slices.Clone(r.StepStatuses), slices.Clone(r.History)
	return &c
}

func (r *Release) hasLabels(labels map[string]string) bool {
	for name, value := range labels {
		if r.Labels[name] != value {
			return false
		}
	}
	return true
}

// Get returns a copy of the release of a build, or nil if there is none.
func (s *State) Get(build int) *Release {
	if i := s.find(build); i >= 0 {
		return s.releases[i].clone()
	}
	return nil
}

// List returns copies of up to limit releases, sorted by build. They have all the given labels, the given phase (nil means any
// phase) and a build number above the given one.
func (s *State) List(labels map[string]string, phase *policy.Phase, after, limit int) (out []*Release) {
	for _, r := range s.releases {
		if r.Build <= after || phase != nil && r.Phase != *phase || !r.hasLabels(labels) {
			continue
		}
		if out = append(out, r.clone()); len(out) == limit {
			break
		}
	}
	return out
}

func (s *State) newest() *Release { return s.releases[len(s.releases)-1] }

// find returns the index of the release of a build, or -1 if there is none.
func (s *State) find(build int) int {
	i, ok := slices.BinarySearchFunc(s.releases, build, func(r *Release, b int) int { return r.Build - b })
	if !ok {
		return -1
	}
	return i
}

// releaseFor returns the release that a command applies to, if the release has the version that the command expects.
func (s *State) releaseFor(c Command) (*Release, *Error) {
	i := s.find(c.Build)
	if i < 0 {
		return nil, reject(ErrNotFound, "build", "there is no release of build %d", c.Build)
	}
	r := s.releases[i]
	if c.IfVersion != 0 && c.IfVersion != r.Version {
		return nil, reject(ErrVersionMismatch, "If-Match", "the release is at version %d, not %d", r.Version, c.IfVersion)
	}
	return r, nil
}

// releaseChanged increments a release's version and notifies watchers.
func (s *State) releaseChanged(r *Release) {
	r.Version++
	s.emit(EventRelease, "", encode(r))
}
