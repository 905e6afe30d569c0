package controller

import (
	"net/http"

	"dapplefront/control"
	"dapplefront/internal/api"
	"dapplefront/policy"
)

// status returns this instance's view of its own status.
func (s *Server) status(w http.ResponseWriter, _ *http.Request) error {
	isLeader, leader := s.node.IsLeader()
	members, err := s.node.Members()
	if err != nil {
		members = map[string]string{} // the node is closing
	}
	out := api.Status{Name: s.node.config.Name, IsLeader: isLeader, Leader: leader, LagMs: s.node.ReplicationLag().Milliseconds(), Members: members}
	s.node.Read(func(st *control.State, _ policy.Time) {
		out.Version, out.Routers, out.Events = st.Version(), st.RouterCount(), st.LastEvent()
	})
	s.mu.Lock()
	out.Watchers, out.SlowWatchers = s.watchers, s.slowWatchers
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, out)
	return nil
}
