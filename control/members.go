package control

import (
	"maps"

	"dapplefront/policy"
)

// RouterCount returns the number of member routers.
func (s *State) RouterCount() int { return len(s.routers) }

// ControllerURL returns the URL of a controller's REST interface, or "" if the URL is not known.
func (s *State) ControllerURL(name string) string { return s.controllerURLs[name] }

// ControllerURLs returns the known URLs of controllers, by the controllers' names.
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

// touchRouter records the current time as the last contact of a router, which becomes a member if it is not one.
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

// expired reports whether, at the given time, the last contact of a member router is longer ago than RouterTimeout.
func (s *State) expired(router string, now policy.Time) bool {
	return s.config.RouterTimeout > 0 && now-s.routers[router] > s.config.RouterTimeout
}
