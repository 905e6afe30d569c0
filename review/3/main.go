// Command 3 plays the case of review/3: a router stands still, clients leave meanwhile, and it sends their requests to
// hosts when it goes on.
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
	routers      = 12
	hosts        = 14
	perSecond    = 12 // of one router
	warmUp       = 5 * time.Second
	troubled     = 36 * time.Second
	leavesEarly  = 0.01 // share of the requests whose client leaves before its time
	patience     = 300 * time.Millisecond
	standsStill  = 1600 * time.Millisecond
	every        = 2750 * time.Millisecond
	afterClosing = 150 * time.Millisecond // 0.1 s of the page on fleets and the protocol page's 50 ms
)

var classes = []stand.Class{
	{Name: "quote-check", Method: http.MethodGet, Timeout: 2 * time.Second, Tenant: "alder-design"},
	{Name: "place-order", Method: http.MethodPost, Keyed: true, Timeout: 5 * time.Second, Tenant: "salish-maker"},
	{Name: "start-print", Method: http.MethodPost, Timeout: 5 * time.Second, Tenant: "rainier-tools"},
}

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
	discovery, err := stand.NewDiscovery(e.Record, members)
	if err != nil {
		return stand.NotRun, err
	}
	traffic := &traffic{closed: map[string]time.Time{}}
	stop := make(chan struct{})
	for rank := range routers {
		name := fmt.Sprintf("n%d", rank)
		router, err := stand.StartRouter(e.Root, e.Folder, name, stand.Config(stand.Fernline(routers, rank), discovery, control,
			fmt.Sprintf("8c1f30d27a5be9%02d", rank)))
		if err != nil {
			return stand.NotRun, err
		}
		defer router.Kill()
		clients := stand.NewClients(e.Record, router.Address, name+"-")
		traffic.Go(func() { traffic.send(clients, stop) })
		traffic.Go(func() { standStill(e, router, name, time.Duration(rank)*every/routers) })
	}
	time.Sleep(warmUp + troubled + every)
	close(stop)
	traffic.Wait()
	return judge(e, fleet, traffic), nil
}

// standStill stops the router again and again, and has it go on after a while.
func standStill(e *stand.Env, router *stand.Router, name string, apart time.Duration) {
	time.Sleep(warmUp + apart)
	for end := time.Now().Add(troubled); time.Now().Before(end); time.Sleep(every - standsStill) {
		if e.Trouble {
			router.Signal(syscall.SIGSTOP)
			e.Line("%s stands still", name)
		}
		time.Sleep(standsStill)
		if e.Trouble {
			e.Line("%s goes on", name)
			router.Signal(syscall.SIGCONT)
		}
	}
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

// traffic is the clients' requests.
type traffic struct {
	sync.WaitGroup
	mu     sync.Mutex
	closed map[string]time.Time // when the clients left that left before their time
	count  int
}

// send sends the site's mix of requests until stop is closed.
func (t *traffic) send(clients *stand.Clients, stop chan struct{}) {
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
		waits := class.Timeout
		if rand.Float64() < leavesEarly {
			waits = patience
		}
		t.Go(func() {
			result := clients.Send(class, waits)
			t.mu.Lock()
			defer t.mu.Unlock()
			t.count++
			if waits < class.Timeout && !result.Closed.IsZero() {
				t.closed[result.ID] = result.Closed
			}
		})
	}
}

// judge counts the attempts that began too long after their client had closed its connection.
func judge(e *stand.Env, fleet []*stand.Host, t *traffic) int {
	broken, total := 0, 0
	for _, h := range fleet {
		for _, a := range h.Attempts() {
			total++
			closed, left := t.closed[a.ID]
			if late := a.Arrived.Sub(closed); left && late > afterClosing {
				broken++
				e.Say("BROKEN: %s %s is sent to %s %v after its client has closed its connection", a.ID, a.Class, a.Host,
					late.Round(time.Millisecond))
			}
		}
	}
	e.Say("%d requests, %d attempts, %d clients left before their time, %d attempts too long after it", t.count, total, len(t.closed), broken)
	switch {
	case t.count < 1000 || len(t.closed) == 0:
		return stand.NotRun
	case broken > 0:
		return stand.Broken
	}
	return stand.Held
}
