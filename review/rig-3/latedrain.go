package main

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"net/url"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"bluebelldoor/standin/lender"
)

const (
	// grownVMs and grownDrain are the number of machines and drain_ms of this case, of a
	// deployment that has more machines than serve callers.
	grownVMs   = 24
	grownDrain = 3 * time.Second
	// darkFor is for how long machines are without power, and lostShare bounds their share.
	darkFor   = 2 * time.Second
	lostShare = 0.55
	// failEvery is how rarely a sound runner fails a lookup: one in so many (error_share 0.14).
	failEvery = 7
	// probeEvery is the time between two requests that are sent directly to a VM.
	probeEvery = 100 * time.Millisecond
	// otherRunners are runners of another service, so that those that leave are a quarter of all.
	otherRunners = 5
)

// grownBounds are the bounds of the grown deployments' sheets.
func grownBounds() map[string]string {
	out := maps.Clone(bounds)
	out["config_ms"], out["drain_ms"], out["budget_slack"] = "3000", fmt.Sprint(grownDrain.Milliseconds()), "190"
	return out
}

// resolve asks a VM's directory for the addresses of a zone's callers.
func resolve(directory, zone string) ([]string, error) {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + directory + "/-/resolve?name=" + host + "&region=r&zone=" + url.QueryEscape(zone))
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	var reply struct {
		Addresses []string `json:"addresses"`
	}
	if response.StatusCode != http.StatusOK {
		return nil, errors.Errorf("directory answers %d", response.StatusCode)
	}
	return reply.Addresses, json.NewDecoder(response.Body).Decode(&reply)
}

// serving returns the VMs that the directory names.
func serving(vms []*vm) ([]*vm, error) {
	named := map[string]bool{}
	for i := range zones {
		addresses, err := resolve(vms[i].directory, zone(i))
		if err != nil {
			return nil, err
		}
		for _, address := range addresses {
			named[address] = true
		}
	}
	return slices.DeleteFunc(slices.Clone(vms), func(v *vm) bool { return !named[v.front] }), nil
}

// runLateDrain has the VMs that serve callers lose power, and runners leave a moment later.
func runLateDrain(e *environment) (bool, error) {
	store, stopStore := lender.NewStore()
	e.onExit(stopStore)
	store.Put("op/config", routing(1, goodKey))
	var runners []*rawRunner
	for i := range zones {
		r, err := newRawRunner(e, store, i, false, 30*time.Millisecond)
		if err != nil {
			return false, err
		}
		r.failEvery = failEvery
		runners = append(runners, r)
	}
	cluster := lender.NewCluster(store)
	for i := range otherRunners {
		t := cluster.Add(fmt.Sprintf("engine-%d", i), "models", zone(i))
		e.onExit(t.Stop)
	}
	vms, err := newFleet(e, store, grownVMs, grownBounds())
	if err != nil {
		return false, err
	}
	time.Sleep(8 * time.Second) // the VMs settle which of them serve
	hubs, err := serving(vms)
	if err != nil {
		return false, err
	}
	lost := hubs[:min(len(hubs), int(grownVMs*lostShare*100)/100)]
	e.logf("%d of %d VMs serve callers", len(hubs), len(vms))

	askedAt := probeAll(vms, time.Now().Add(8*time.Second), func() {
		time.Sleep(time.Second)
		if e.trouble {
			losePower(e, lost)
		}
	})
	time.Sleep(1100 * time.Millisecond)
	leaving := runners[:2]
	for _, r := range leaving {
		store.Remove("servers/" + r.id)
		e.logf("the entry of %s is removed; it serves on and never said that it drains", r.id)
	}
	acked := time.Now()
	late := 0
	asked := askedAt()
	for _, r := range leaving {
		for _, a := range r.arrivals() {
			after, by := a.at.Sub(acked), asked[a.id]
			if after <= grownDrain || by == nil || slices.Contains(lost, by) {
				continue // in time, or sent by a VM that isn't in touch
			}
			late++
			e.logf("%s reached %s %.3f s after its entry was removed, sent by %s, which nothing has disturbed", a.id, r.id, after.Seconds(), by.name)
		}
	}
	e.logf("%d requests reached runners later than drain_ms from VMs in touch", late)
	return late > 0, nil
}

// losePower ends VMs at once, and starts them again later.
func losePower(e *environment, lost []*vm) {
	for _, v := range lost {
		v.signal(syscall.SIGKILL)
	}
	e.logf("%d VMs lose power", len(lost))
	time.Sleep(darkFor)
	for _, v := range lost {
		if err := v.start(); err != nil {
			e.logf("%s does not start: %v", v.name, err)
		}
	}
}

// probeAll sends lookups directly to each VM until end, and runs meanwhile beside it. The
// returned function waits, and tells which VM was asked, by attempt.
func probeAll(vms []*vm, end time.Time, meanwhile func()) func() map[string]*vm {
	var mu sync.Mutex
	var wg sync.WaitGroup
	asked := map[string]*vm{}
	wg.Go(meanwhile)
	for _, v := range vms {
		wg.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				c := &caller{address: v.front}
				a := c.ask(request{method: "GET", host: host, path: fmt.Sprintf("/read/%s/%d", v.name, n), key: goodKey, deadline: time.Second})
				c.close()
				mu.Lock()
				asked[a.id] = v
				mu.Unlock()
				time.Sleep(probeEvery)
			}
		})
	}
	return func() map[string]*vm {
		wg.Wait()
		return asked
	}
}
