// Command 3 plays the case of review/3: discovery, which pushes its list, is down for some seconds, and routers go on
// sending to a host that drains long after it is back.
package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"dapplefront/review/stand"
)

const (
	routers   = 6
	hosts     = 12
	perSecond = 20 // of one router
	warmUp    = 5 * time.Second
	outages   = 2
	down      = 8 * time.Second
	observed  = 12 * time.Second
	grace     = 1000 * time.Millisecond // Obligations.DrainGraceUs
	slack     = 200 * time.Millisecond  // 50 ms of the protocol page; 0.15 s for a router that is held up
)

var classes = []stand.Class{
	{Name: "leer-registro", Method: http.MethodGet, Timeout: 3 * time.Second},
	{Name: "emitir-boletin", Method: http.MethodPost, Timeout: 6 * time.Second},
}

func main() { stand.Main(run) }

// drain is a host that drains, and when every router counts as told.
type drain struct {
	host *stand.Host
	told time.Time
}

func run(e *stand.Env) (int, error) {
	fleet, members, err := startHosts(e)
	if err != nil {
		return stand.NotRun, err
	}
	control, err := stand.NewControl()
	if err != nil {
		return stand.NotRun, err
	}
	discovery, err := stand.NewDiscovery(e.Record, members)
	if err != nil {
		return stand.NotRun, err
	}
	stop := make(chan struct{})
	var traffic sync.WaitGroup
	for rank := range routers {
		name := fmt.Sprintf("n%d", rank)
		router, err := stand.StartRouter(e.Root, e.Folder, name, stand.Config(stand.Casa(routers, rank), discovery, control,
			fmt.Sprintf("8c1f30d27a5be96%d", rank)))
		if err != nil {
			return stand.NotRun, err
		}
		defer router.Kill()
		clients := stand.NewClients(e.Record, router.Address, name+"-")
		traffic.Go(func() { send(clients, stop, &traffic) })
	}
	time.Sleep(warmUp)
	var drains []drain
	for n := range outages {
		drains = append(drains, outage(e, discovery, fleet[n]))
	}
	close(stop)
	traffic.Wait()
	return judge(e, fleet, drains), nil
}

func startHosts(e *stand.Env) (fleet []*stand.Host, members []stand.Member, err error) {
	for i := range hosts {
		zone := []string{"edificio-a", "edificio-b"}[i%2]
		h, err := stand.NewHost(e.Record, fmt.Sprintf("s-%d", i), zone, false, func(string) time.Duration {
			return 140*time.Millisecond + time.Duration(rand.IntN(100))*time.Millisecond
		})
		if err != nil {
			return nil, nil, err
		}
		fleet, members = append(fleet, h), append(members, h.Member)
	}
	return fleet, members, nil
}

// outage takes discovery down and brings it back. What it learns of the host, which drains meanwhile, it has when it is
// back, and writes to every watch.
func outage(e *stand.Env, discovery *stand.Discovery, host *stand.Host) drain {
	if e.Trouble {
		discovery.Down()
	}
	time.Sleep(down)
	host.Drain()
	host.Member.Phase = "draining"
	discovery.Change(host.Member)
	if e.Trouble {
		discovery.Up()
	}
	told := time.Now()
	time.Sleep(observed)
	return drain{host, told}
}

func send(clients *stand.Clients, stop chan struct{}, traffic *sync.WaitGroup) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(rand.ExpFloat64() * float64(time.Second) / perSecond)):
		}
		class := classes[0]
		if rand.Float64() > 0.79 {
			class = classes[1]
		}
		traffic.Go(func() { clients.Send(class, class.Timeout) })
	}
}

// judge counts the attempts at a draining host after the grace.
func judge(e *stand.Env, fleet []*stand.Host, drains []drain) int {
	total, broken := 0, 0
	for _, h := range fleet {
		total += len(h.Attempts())
	}
	for _, d := range drains {
		late, last := 0, time.Duration(0)
		for _, a := range d.host.Attempts() {
			if after := a.Arrived.Sub(d.told); after > grace+slack {
				late, last = late+1, max(last, after)
				e.Line("BROKEN: %s %s is sent to %s, which drains, %v after that counts as told", a.ID, a.Class, a.Host, after)
			}
		}
		broken += late
		e.Say("%s drains: %d requests sent to it after the grace of %v, the last one %v after it counts as told",
			d.host.Member.ID, late, grace, last.Round(time.Millisecond))
	}
	e.Say("%d attempts, %d after a grace", total, broken)
	switch {
	case total < 500:
		return stand.NotRun
	case broken > 0:
		return stand.Broken
	}
	return stand.Held
}
