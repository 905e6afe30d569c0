package plan

import (
	"errors"
	"fmt"
	"slices"
	"strings"
)

// WhatIf returns the model as it would be after an event:
//
//	lose LOCATION         all hosts of a zone are lost, and cross-zone traffic is not limited
//	lose host NAME        one host is lost
//	cold LOCATION         all hosts of a zone start at the plan's start
//	demand xN [LOCATION]  demand is N times the forecast, in all zones or in one
//	no release            there is no release
//
// It returns an error for any other event, and if the host or zone of a lose or cold event doesn't exist.
func (m *Model) WhatIf(event string) (*Model, error) {
	out := *m
	out.Hosts = slices.Clone(m.Hosts)
	words := strings.Fields(event)
	var err error
	switch {
	case len(words) == 3 && words[0] == "lose" && words[1] == "host":
		err = out.loseHost(words[2])
	case len(words) == 2 && words[0] == "lose":
		err = out.loseZone(words[1])
	case len(words) == 2 && words[0] == "cold":
		err = out.restartZone(words[1])
	case (len(words) == 2 || len(words) == 3) && words[0] == "demand" && strings.HasPrefix(words[1], "x"):
		err = out.scaleDemand(words[1], strings.Join(words[2:], ""))
	case event == "no release":
		out.Release = nil
	default:
		err = errors.New("lose LOCATION, lose host NAME, cold LOCATION, demand xN [LOCATION] or no release expected")
	}
	if err != nil {
		return nil, fmt.Errorf("what if %q: %w", event, err)
	}
	return &out, nil
}

func (m *Model) loseHost(name string) error {
	before := len(m.Hosts)
	m.Hosts = slices.DeleteFunc(m.Hosts, func(h Host) bool { return h.Name == name })
	if len(m.Hosts) == before {
		return errors.New("no host has this name")
	}
	return nil
}

func (m *Model) loseZone(zone string) error {
	if err := m.requireZone(zone); err != nil {
		return err
	}
	m.Hosts = slices.DeleteFunc(m.Hosts, func(h Host) bool { return h.Zone == zone })
	m.Limits.MaxCrossZone = 1 // the zone's requests can only be served in other zones
	return nil
}

func (m *Model) restartZone(zone string) error {
	if err := m.requireZone(zone); err != nil {
		return err
	}
	for i := range m.Hosts {
		if m.Hosts[i].Zone == zone {
			m.Hosts[i].StartsAt = m.Forecast[0].At
		}
	}
	return nil
}

// scaleDemand multiplies the demand of a zone by a factor of the form xN. The zone "" means all zones.
func (m *Model) scaleDemand(text, zone string) error {
	const maxFactor = 1000
	var factor float64
	if _, err := fmt.Sscanf(text, "x%g", &factor); err != nil || !(factor >= 0 && factor <= maxFactor) {
		return fmt.Errorf("x and a number from 0 to 1000 expected, not %s", text)
	}
	m.Forecast = slices.Clone(m.Forecast)
	for i := range m.Forecast {
		demand := slices.Clone(m.Forecast[i].Demand)
		for j := range demand {
			if zone == "" || demand[j].Zone == zone {
				demand[j].Rate *= factor
				demand[j].StdDev *= factor
			}
		}
		m.Forecast[i].Demand = demand
	}
	return nil
}

func (m *Model) requireZone(zone string) error {
	if !slices.ContainsFunc(m.Hosts, func(h Host) bool { return h.Zone == zone }) {
		return fmt.Errorf("no host is in zone %s", zone)
	}
	return nil
}
