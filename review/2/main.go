// Command 2 plays the case of review/2: second copies are no longer allowed by a new configuration, and requests in
// flight get one all the same.
package main

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"

	"dapplefront/review/stand"
)

const (
	hosts       = 10
	perSecond   = 200
	warmUp      = 10 * time.Second
	switches    = 20
	between     = 2 * time.Second
	overlap     = 50 * time.Millisecond  // two attempts are out at once if they are for longer: slack of the protocol page
	allowedLate = 200 * time.Millisecond // slack of the protocol page (50 ms) and a router that is held up (0.15 s)
)

var classes = []stand.Class{
	{Name: "quote-check", Method: http.MethodGet, Timeout: 2 * time.Second, Tenant: "alder-design"},
	{Name: "place-order", Method: http.MethodPost, Keyed: true, Timeout: 5 * time.Second, Tenant: "salish-maker"},
	{Name: "start-print", Method: http.MethodPost, Timeout: 5 * time.Second, Tenant: "rainier-tools"},
}

// span is a time in which the router's configuration allows no second copies.
type span struct{ from, to time.Time }

func main() { stand.Main(run) }

func run(e *stand.Env) (int, error) {
	fleet, members, err := startHosts(e)
	if err != nil {
		return stand.NotRun, err
	}
	control, err := stand.NewControl()
	if err != nil {
		return stand.NotRun, err
	}
	var services [2]*stand.Discovery // the new configuration names the other one
	applied := make(chan time.Time, 100)
	for i := range services {
		if services[i], err = stand.NewDiscovery(e.Record, members); err != nil {
			return stand.NotRun, err
		}
		services[i].OnAnswer(func() { applied <- time.Now() })
	}
	config := stand.Config(stand.Fernline(1, 0), services[0], control, "8c1f30d27a5be964")
	allowCopies(config, e.Trouble)
	router, err := stand.StartRouter(e.Root, e.Folder, "n0", config)
	if err != nil {
		return stand.NotRun, err
	}
	defer router.Kill()
	stop := make(chan struct{})
	var traffic sync.WaitGroup
	traffic.Go(func() { send(stand.NewClients(e.Record, router.Address, "q"), stop, &traffic) })
	time.Sleep(warmUp)
	spans, err := switchCopies(e, router, services, applied)
	close(stop)
	traffic.Wait()
	if err != nil {
		return stand.NotRun, err
	}
	return judge(e, fleet, spans), nil
}

func startHosts(e *stand.Env) (fleet []*stand.Host, members []stand.Member, err error) {
	for i := range hosts {
		h, err := stand.NewHost(e.Record, fmt.Sprintf("s-%d", i), "tacoma-shop", true, work)
		if err != nil {
			return nil, nil, err
		}
		fleet, members = append(fleet, h), append(members, h.Member)
	}
	return fleet, members, nil
}

// work draws the time of a task from the ranges of the site file: 95 ms, exponential, for quote-check; 160 ms, log-normal
// with a coefficient of variation of 0.78, for the others.
func work(class string) time.Duration {
	if class == "quote-check" {
		return time.Duration(rand.ExpFloat64() * 95 * float64(time.Millisecond))
	}
	const variance = 0.475 // ln(1 + 0.78 * 0.78)
	return time.Duration(160 * math.Exp(math.Sqrt(variance)*rand.NormFloat64()-variance/2) * float64(time.Millisecond))
}

// send sends the site's mix of requests until stop is closed.
func send(clients *stand.Clients, stop chan struct{}, traffic *sync.WaitGroup) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(rand.ExpFloat64() * float64(time.Second) / perSecond)):
		}
		class := classes[0]
		if x := rand.Float64(); x > 0.83 {
			class = classes[2]
		} else if x > 0.45 {
			class = classes[1]
		}
		traffic.Go(func() { clients.Send(class, class.Timeout) })
	}
}

// switchCopies replaces the configuration again and again: it turns second copies off, and on again. Each file names the
// other address of discovery, which is asked once the file is in force. Without the trouble they never are allowed.
func switchCopies(e *stand.Env, router *stand.Router, services [2]*stand.Discovery, applied chan time.Time) (spans []span, err error) {
	for n := 1; n <= 2*switches; n++ {
		allow := n%2 == 0 && e.Trouble
		for len(applied) > 0 {
			<-applied
		}
		if err := router.WriteConfig(func(config map[string]any) {
			config["discovery"] = services[n%2].Address
			allowCopies(config, allow)
		}); err != nil {
			return nil, err
		}
		router.Signal(syscall.SIGHUP)
		e.Line("SIGHUP: second copies allowed: %v", allow)
		if n%2 == 1 {
			spans = append(spans, span{from: <-applied})
			e.Line("the new configuration is in force")
			time.Sleep(between * 3 / 4)
			spans[len(spans)-1].to = time.Now()
		} else {
			time.Sleep(between * 5 / 4)
		}
	}
	return spans, nil
}

func allowCopies(config map[string]any, allow bool) {
	config["settings"].(map[string]any)["Permissions"].(map[string]any)["SecondCopies"] = allow
}

// judge counts the attempts that arrived in a span while an earlier attempt of the same request was out.
func judge(e *stand.Env, fleet []*stand.Host, spans []span) int {
	byID, total := map[string][]stand.Attempt{}, 0
	for _, h := range fleet {
		for _, a := range h.Attempts() {
			byID[a.ID] = append(byID[a.ID], a)
			total++
		}
	}
	allowed, broken := 0, 0
	for _, attempts := range byID {
		for _, copied := range secondCopies(attempts) {
			since, in := inSpan(spans, copied.second.Arrived)
			if !in {
				allowed++
				continue
			}
			broken++
			e.Say("BROKEN: %s %s is sent to %s, %v after second copies were turned off, while %s has it since %v", copied.first.ID,
				copied.first.Class, copied.second.Host, since, copied.first.Host,
				copied.second.Arrived.Sub(copied.first.Arrived).Round(time.Millisecond))
		}
	}
	e.Say("%d requests, %d attempts, %d second copies while they were allowed, %d while they were not", len(byID), total, allowed, broken)
	switch {
	case len(byID) < 1000 || e.Trouble && allowed == 0:
		return stand.NotRun
	case broken > 0:
		return stand.Broken
	}
	return stand.Held
}

// pair is an attempt and a further one of the same request that arrived while the first was out.
type pair struct{ first, second stand.Attempt }

func secondCopies(attempts []stand.Attempt) (pairs []pair) {
	for _, a := range attempts {
		for _, b := range attempts {
			if a.Arrived.Before(b.Arrived) && a.Ended.After(b.Arrived.Add(overlap)) {
				pairs = append(pairs, pair{a, b})
			}
		}
	}
	return pairs
}

func inSpan(spans []span, at time.Time) (since time.Duration, in bool) {
	for _, s := range spans {
		if at.After(s.from.Add(allowedLate)) && at.Before(s.to) {
			return at.Sub(s.from).Round(time.Millisecond), true
		}
	}
	return 0, false
}
