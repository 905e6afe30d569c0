package control

import (
	"maps"

	"dapplefront/policy"
)

// RouterCount is how many routers are members.
func (s *State) RouterCount() int { return len(s.routers) }

// ControllerURL is where the REST interface of a controller is reached; "" for one that is not known.
func (s *State) ControllerURL(name string) string { return s.controllerURLs[name] }

// ControllerURLs are the URLs of all controllers that are known, by name.
func (s *State) ControllerURLs() map[string]string { return maps.Clone(s.controllerURLs) }

func (s *State) joinRouter(c Command) (Reply, *Error) {
	if c.Router != "" {
		s.touchRouter(c.Router)
	}
	return Reply{}, nil
}

func (s *State) leaveRouter(c Command) (Reply, *Error) {
	s.removeRouter(c.Router)
	return Reply{}, nil
}

func (s *State) setController(c Command) (Reply, *Error) {
	if c.Note != nil && *c.Note != "" {
		s.controllerURLs[c.Name] = *c.Note
	} else {
		delete(s.controllerURLs, c.Name)
	}
	return Reply{}, nil
}

// touchRouter notes that a router has been heard of now; it is a member from then on.
func (s *State) touchRouter(router string) {
	_, member := s.routers[router]
	s.routers[router] = s.now
	if !member {
		s.membershipChanged()
	}
}

func (s *State) removeRouter(router string) {
	if _, member := s.routers[router]; !member {
		return
	}
	delete(s.routers, router)
	delete(s.planAcks, router)
	s.machine.ForgetRouter(router)
	s.membershipChanged()
}

func (s *State) membershipChanged() {
	s.machine.SetQuorum(s.quorums())
	s.emit(EventRouters, "", encode(map[string]int{"count": len(s.routers)}))
}

// expired tells whether a member has not been heard of for longer than the timeout, at a time.
func (s *State) expired(router string, now policy.Time) bool {
	return s.config.RouterTimeout > 0 && now-s.routers[router] > s.config.RouterTimeout
}
