package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"bluebelldoor/standin/lender"
)

// spoilEvery is how rarely a faulty runner spoils an answer: one in so many.
const spoilEvery = 34

// rawRunner is an application runner that writes its answers itself.
type rawRunner struct {
	e      *environment
	id     string
	faulty bool
	// work is how long it works on a request.
	work time.Duration
	// failEvery is how rarely it fails a request, 0 for never.
	failEvery int
	mu        sync.Mutex
	answers   int
	// given are the statuses that it gave to attempts, and spoiled those after whose answer it
	// wrote a further one.
	given   map[string]int
	spoiled map[string]bool
	arrived []arrival
}

// arrival is that of an attempt at a runner.
type arrival struct {
	id string
	at time.Time
}

// newRawRunner starts a runner and registers it.
func newRawRunner(e *environment, store *lender.Store, i int, faulty bool, work time.Duration) (*rawRunner, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	r := &rawRunner{e: e, id: "app-" + zone(i), faulty: faulty, work: work, given: map[string]int{}, spoiled: map[string]bool{}}
	e.onExit(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go r.serve(conn)
		}
	}()
	store.Put("servers/"+r.id, map[string]any{
		"service": "app", "address": l.Addr().String(), "zone": zone(i), "version": "v1", "slots": 6,
		"state": "ready", "cold_ms": 0, "sequence": 1, "born": time.Now().UnixMilli(),
	})
	return r, nil
}

// serve answers the requests of one connection.
func (r *rawRunner) serve(conn net.Conn) {
	defer conn.Close()
	reader, late := bufio.NewReader(conn), ""
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		id := request.Header.Get("Attempt-Id")
		if late != "" {
			// What it wrote after its last answer arrives where this one is expected.
			r.e.logf("%s: a further answer to the attempt before %s arrives", r.id, id)
			if _, err := io.WriteString(conn, late); err != nil {
				return
			}
			late = ""
		}
		answer := r.answer(id, request.URL.Path)
		time.Sleep(r.work)
		if _, err := io.WriteString(conn, answer); err != nil {
			return
		}
		if r.isSpoiled(id) {
			late = "HTTP/1.1 400 Bad Request\r\nServer-Stamp: stamp-" + r.id + "\r\nContent-Length: 15\r\n\r\nfurther answer\n"
		}
	}
}

// answer returns the whole answer to an attempt.
func (r *rawRunner) answer(id, path string) string {
	body := fmt.Sprintf("answer to %s for %s\n", id, path)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answers++
	r.arrived = append(r.arrived, arrival{id, time.Now()})
	status := http.StatusOK
	if r.failEvery > 0 && r.answers%r.failEvery == 0 {
		status = http.StatusInternalServerError
	}
	r.given[id] = status
	r.spoiled[id] = r.faulty && r.e.trouble && r.answers%spoilEvery == 0
	return fmt.Sprintf("HTTP/1.1 %d %s\r\nAttempt-Id: %s\r\nServer-Stamp: stamp-%s\r\nKeep-Alive: timeout=10\r\nContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), id, r.id, len(body), body)
}

func (r *rawRunner) arrivals() []arrival {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.arrived)
}

func (r *rawRunner) isSpoiled(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.spoiled[id]
}

func (r *rawRunner) givenTo(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.given[id]
}

// runLateAnswer has callers ask runners of which one sometimes writes a further answer.
func runLateAnswer(e *environment) (bool, error) {
	store, stopStore := lender.NewStore()
	e.onExit(stopStore)
	store.Put("op/config", routing(1, goodKey))
	var runners []*rawRunner
	for i := range zones {
		r, err := newRawRunner(e, store, i, i == 0, 0)
		if err != nil {
			return false, err
		}
		runners = append(runners, r)
	}
	vms, err := newFleet(e, store, 2*zones, bounds)
	if err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second) // all VMs know each other
	var mu sync.Mutex
	var callers sync.WaitGroup
	sent, broken := 0, 0
	end := time.Now().Add(20 * time.Second)
	for _, v := range vms {
		callers.Go(func() {
			c := &caller{address: v.front}
			defer c.close()
			for n := 0; time.Now().Before(end); n++ {
				a := c.ask(request{method: "GET", host: host, path: fmt.Sprintf("/read/%s/%d", v.name, n), key: goodKey, deadline: time.Second})
				mu.Lock()
				sent++
				mu.Unlock()
				for _, r := range runners {
					given := r.givenTo(a.id)
					if given == 0 || a.stamp != "stamp-"+r.id || a.status == given {
						continue
					}
					e.logf("%s: %s answered %d, the caller got status %d with stamp %s and body %q", a.id, r.id, given, a.status, a.stamp, strings.TrimSpace(a.body))
					mu.Lock()
					broken++
					mu.Unlock()
				}
				time.Sleep(80 * time.Millisecond)
			}
		})
	}
	callers.Wait()
	e.logf("%d requests were sent, %d callers got a failure with a runner's stamp and another status than it gave", sent, broken)
	return broken > 0, nil
}
