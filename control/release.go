package control

import (
	"maps"
	"slices"
	"strconv"

	"dapplefront/policy"
)

// Release is a release object: what was asked for, and how it stands.
type Release struct {
	Build   int               `json:"build"`
	Digest  string            `json:"digest,omitempty"`
	Note    string            `json:"note,omitempty"`
	Labels  map[string]string `json:"labels,omitempty"`
	Steps   []Step            `json:"steps,omitempty"`
	Version uint64            `json:"version"` // of the object; it grows with every change
	Created policy.Time       `json:"created"`

	Phase        policy.Phase   `json:"phase"`
	Stage        int            `json:"stage"`
	ExposureCap  float64        `json:"cap"`
	Since        policy.Time    `json:"since"`            // when Phase and Stage began
	WaitsFor     string         `json:"waits,omitempty"`  // the step that holds back the present stage's hosts
	StepStatuses []StepStatus   `json:"done,omitempty"`   // as many as Steps
	Counts       map[string]int `json:"counts,omitempty"` // requests by outcome, as reported
	Hosts        map[string]int `json:"hosts,omitempty"`  // by state, as reported
	History      []HistoryEntry `json:"trace,omitempty"`
}

// Step is something that must be done before a stage, such as a change of schema or data. Steps are done in their order.
type Step struct {
	Name         string      `json:"name"`
	Stage        int         `json:"stage"`            // whose hosts wait for it, from 0
	Irreversible bool        `json:"final,omitempty"`  // once done, the build can't be rolled back
	ExpectedTime policy.Time `json:"within,omitempty"` // a step that takes longer counts as stalled; 0 for no limit
}

// StepStatus is how a step stands.
type StepStatus struct {
	WaitingSince policy.Time `json:"waiting,omitempty"` // since when its stage waits for it; 0 for not yet
	DoneAt       policy.Time `json:"at,omitempty"`      // when it was reported done; 0 for not yet
	DoneBy       string      `json:"by,omitempty"`
	Stalled      bool        `json:"stalled,omitempty"`
}

// HistoryEntry is one line of a release's history.
type HistoryEntry struct {
	At   policy.Time `json:"at"`
	Text string      `json:"what"`
}

// ETag is the object's version as an HTTP entity tag.
func (r *Release) ETag() string { return `"` + strconv.FormatUint(r.Version, 10) + `"` }

// maxHistory is how many lines a release's history keeps; a release has some ten.
const maxHistory = 200

// addHistory adds a line. Of a history that is full the second line goes: the first one is the request.
func (r *Release) addHistory(at policy.Time, text string) {
	if r.History = append(r.History, HistoryEntry{at, text}); len(r.History) > maxHistory {
		r.History = slices.Delete(r.History, 1, 2)
	}
}

// stalls tells whether a step that is waited for, and not marked as stalled yet, has taken too long at a time.
func (r *Release) stalls(step int, now policy.Time) bool {
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

// Get is a copy of the release of a build; nil for none.
func (s *State) Get(build int) *Release {
	if i := s.find(build); i >= 0 {
		return s.releases[i].clone()
	}
	return nil
}

// List returns copies of the releases that have all the labels and the phase (nil for any), with builds above after, at
// most limit of them, by build.
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

// find is the index of the release of a build; -1 for none.
func (s *State) find(build int) int {
	i, ok := slices.BinarySearchFunc(s.releases, build, func(r *Release, b int) int { return r.Build - b })
	if !ok {
		return -1
	}
	return i
}

// releaseFor is the release that a command is about, if it is at the version that the command expects.
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

// changed gives a release its next version and notifies watchers.
func (s *State) changed(r *Release) {
	r.Version++
	s.emit(EventRelease, "", encode(r))
}
