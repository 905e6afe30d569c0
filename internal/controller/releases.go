package controller

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"dapplefront/control"
	"dapplefront/internal/api"
	"dapplefront/policy"
)

const (
	defaultPage = 100  // releases in a list if the request sets no limit
	maxPage     = 1000 // highest limit that a request may set
)

// releaseFilter is the parsed query of a request for a list of releases.
type releaseFilter struct {
	labels       map[string]string
	phase        *policy.Phase // nil means any phase
	limit, after int           // at most limit releases, of builds with numbers above after
}

func parseReleaseFilter(r *http.Request) (releaseFilter, error) {
	query := r.URL.Query()
	f := releaseFilter{labels: map[string]string{}, limit: defaultPage}
	for _, label := range query["label"] {
		name, value, ok := strings.Cut(label, "=")
		if !ok {
			return f, invalid("label", "name=value expected")
		}
		f.labels[name] = value
	}
	if name := query.Get("phase"); name != "" {
		i := slices.Index(api.Phases, name)
		if i < 0 {
			return f, invalid("phase", "%s expected", strings.Join(api.Phases, ", "))
		}
		phase := policy.Phase(i)
		f.phase = &phase
	}
	for name, to := range map[string]*int{"limit": &f.limit, "after": &f.after} {
		text := query.Get(name)
		if text == "" {
			continue
		}
		n, err := strconv.Atoi(text)
		if err != nil || n < 0 || name == "limit" && (n < 1 || n > maxPage) {
			return f, invalid(name, "a whole number expected, of limit from 1 to 1000")
		}
		*to = n
	}
	return f, nil
}

func (s *Server) listReleases(w http.ResponseWriter, r *http.Request) error {
	filter, err := parseReleaseFilter(r)
	if err != nil {
		return err
	}
	if err := s.checkFreshness(w, r); err != nil {
		return err
	}
	out := api.ReleaseList{Releases: []api.ReleaseObject{}}
	s.node.Read(func(st *control.State, now policy.Time) {
		page := st.List(filter.labels, filter.phase, filter.after, filter.limit+1)
		if len(page) > filter.limit {
			page = page[:filter.limit]
			out.Next = page[filter.limit-1].Build
		}
		for _, x := range page {
			out.Releases = append(out.Releases, releaseObject(x, now, st))
		}
	})
	writeJSON(w, http.StatusOK, out)
	return nil
}

func (s *Server) getRelease(w http.ResponseWriter, r *http.Request) error {
	build, err := pathBuild(r)
	if err != nil {
		return err
	}
	if err := s.checkFreshness(w, r); err != nil {
		return err
	}
	var found *control.Release
	var object api.ReleaseObject
	s.node.Read(func(st *control.State, now policy.Time) {
		if found = st.Get(build); found != nil {
			object = releaseObject(found, now, st)
		}
	})
	if found == nil {
		return notFound("build", "there is no release of build %d", build)
	}
	w.Header().Set("ETag", found.ETag())
	if r.Header.Get("If-None-Match") == found.ETag() {
		w.WriteHeader(http.StatusNotModified)
		return nil
	}
	writeJSON(w, http.StatusOK, object)
	return nil
}

func (s *Server) createRelease(w http.ResponseWriter, r *http.Request) error {
	var request api.CreateRelease
	if err := decodeBody(w, r, &request); err != nil {
		return err
	}
	text, err := json.Marshal(request)
	if err != nil {
		return err
	}
	sum := sha256.Sum256(text)
	c := control.Command{Kind: control.CreateRelease, Build: request.Build, Digest: request.Digest, Note: &request.Note,
		Labels: map[string]*string{}, Key: r.Header.Get("Idempotency-Key"), Hash: hex.EncodeToString(sum[:])}
	for name, value := range request.Labels {
		c.Labels[name] = &value
	}
	for _, step := range request.Steps {
		c.Steps = append(c.Steps, control.Step{Name: step.Name, Stage: step.Stage, Irreversible: step.Irreversible,
			ExpectedTime: fromMs(step.ExpectedMs)})
	}
	w.Header().Set("Location", fmt.Sprintf("/v1/releases/%d", request.Build))
	return s.propose(w, c, http.StatusCreated, s.repliedRelease)
}

func (s *Server) patchRelease(w http.ResponseWriter, r *http.Request) error {
	build, version, err := pathBuildIfMatch(r)
	if err != nil {
		return err
	}
	var request api.PatchRelease
	if err := decodeBody(w, r, &request); err != nil {
		return err
	}
	c := control.Command{Kind: control.PatchRelease, Build: build, IfVersion: version, Note: request.Note, Labels: request.Labels}
	return s.propose(w, c, http.StatusOK, s.repliedRelease)
}

func (s *Server) rollBackRelease(w http.ResponseWriter, r *http.Request) error {
	build, version, err := pathBuildIfMatch(r)
	if err != nil {
		return err
	}
	c := control.Command{Kind: control.RollBackRelease, Build: build, IfVersion: version}
	return s.propose(w, c, http.StatusOK, s.repliedRelease)
}

func (s *Server) deleteRelease(w http.ResponseWriter, r *http.Request) error {
	build, version, err := pathBuildIfMatch(r)
	if err != nil {
		return err
	}
	return s.propose(w, control.Command{Kind: control.DeleteRelease, Build: build, IfVersion: version}, http.StatusNoContent, nil)
}

func (s *Server) completeStep(w http.ResponseWriter, r *http.Request) error {
	build, err := pathBuild(r)
	if err != nil {
		return err
	}
	var request api.StepDone
	if err := decodeBody(w, r, &request); err != nil {
		return err
	}
	c := control.Command{Kind: control.CompleteStep, Build: build, Name: r.PathValue("step"), Router: request.By}
	return s.propose(w, c, http.StatusOK, s.repliedRelease)
}

// completeOrder accepts the report that an order to deploy or retire hosts has been carried out.
func (s *Server) completeOrder(w http.ResponseWriter, r *http.Request) error {
	build, err := pathBuild(r)
	if err != nil {
		return err
	}
	kinds := map[string]control.CommandKind{"ready": control.HostsReady, "gone": control.HostsRemoved}
	kind, known := kinds[r.PathValue("order")]
	if !known {
		return notFound("order", "ready or gone expected")
	}
	return s.propose(w, control.Command{Kind: kind, Build: build}, http.StatusNoContent, nil)
}

func (s *Server) reportCounts(w http.ResponseWriter, r *http.Request) error {
	build, err := pathBuild(r)
	if err != nil {
		return err
	}
	var request api.BuildReport
	if err := decodeBody(w, r, &request); err != nil {
		return err
	}
	c := control.Command{Kind: control.ReportCounts, Build: build, Counts: request.Requests, Hosts: request.Hosts}
	return s.propose(w, c, http.StatusNoContent, nil)
}

// repliedRelease returns the release in a reply as a response body.
func (s *Server) repliedRelease(reply control.Reply) any { return s.replyObject(reply) }

func (s *Server) replyObject(reply control.Reply) (object api.ReleaseObject) {
	s.node.Read(func(st *control.State, now policy.Time) { object = releaseObject(reply.Release, now, st) })
	return object
}

// releaseObject converts a release to its form in the REST interface. If st is not nil, the object of the newest release
// includes its votes.
func releaseObject(r *control.Release, now policy.Time, st *control.State) api.ReleaseObject {
	o := api.ReleaseObject{Release: api.Release{Build: r.Build, Stage: r.Stage, Phase: api.Phases[r.Phase], ExposureCap: r.ExposureCap,
		AgeMs: max(0, toMs(now-r.Since)), Version: int64(r.Version)}, Digest: r.Digest, Note: r.Note, Labels: r.Labels,
		CreatedMs: toMs(r.Created), WaitsFor: r.WaitsFor, Requests: r.Counts, Hosts: r.Hosts}
	for i, step := range r.Steps {
		o.Steps = append(o.Steps, stepObject(step, r.StepStatuses[i]))
	}
	for _, line := range r.History {
		o.History = append(o.History, api.HistoryEntry{AtMs: toMs(line.At), Text: line.Text})
	}
	if st != nil && st.Status().Build == r.Build {
		o.Votes = &api.Votes{}
		o.Votes.Promote, o.Votes.PromoteQuorum, _ = st.Votes(policy.Promote)
		o.Votes.Rollback, _, o.Votes.RollbackQuorum = st.Votes(policy.Rollback)
	}
	return o
}

func stepObject(step control.Step, status control.StepStatus) api.Step {
	o := api.Step{Name: step.Name, Stage: step.Stage, Irreversible: step.Irreversible, ExpectedMs: toMs(step.ExpectedTime)}
	switch {
	case status.DoneAt != 0:
		o.State, o.By = "done", status.DoneBy
	case status.Stalled:
		o.State = "stalled"
	case status.WaitingSince != 0:
		o.State = "waiting"
	default:
		o.State = "later"
	}
	return o
}
