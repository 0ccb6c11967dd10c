package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

// fleet is two gateways with six sound backends, the platform that kills a process above
// memory_mb, and clients that send bookings on kept connections.
type fleet struct {
	s        *setup
	backends []*backend
	fronts   []*gateway

	stopPlatform, stopClients chan struct{}
	platform, clients         sync.WaitGroup
	kills                     []int
	peaks                     []int64
	results                   chan result
}

// startFleet starts the processes. The route /files/ has the given kind.
func startFleet(s *setup, filesKind string) (*fleet, error) {
	if err := s.serve(s.ip(200)+":9000", s.store); err != nil {
		return nil, err
	}
	s.store.put("op", "config", object{
		"version": "00000007", "routes": object{
			"r-book":  route("/book/", "unsafe", "bookhouse", "10000ms"),
			"r-files": route("/files/", filesKind, "bookhouse", "15000ms"),
		},
		"services": object{"bookhouse": object{"health_path": "/health", "max_conns": 360, "cold_start": "0ms", "cold_per_s": 19.0}}, "limits": limits, "tenants": object{},
	})
	f := &fleet{s: s, stopPlatform: make(chan struct{}), stopClients: make(chan struct{}), results: make(chan result, 100000)}
	for i := range 6 {
		b := &backend{s: s, id: fmt.Sprintf("i-%d", i), service: "bookhouse", zone: []string{"north-a", "north-b", "south-a"}[i%3], address: s.ip(100+i) + ":8000", work: 500 * time.Millisecond}
		if err := s.serve(b.address, b); err != nil {
			return nil, err
		}
		b.register("ready")
		f.backends = append(f.backends, b)
	}
	for _, p := range []place{{"front-north-a-1", "north-a"}, {"front-north-b-1", "north-b"}} {
		g, err := s.addGateway(p, s.ip(200)+":9000")
		if err != nil {
			return nil, err
		}
		f.fronts = append(f.fronts, g)
	}
	for _, g := range f.fronts {
		if !g.awaitReady() {
			return nil, fmt.Errorf("%s is not ready", g.place.name)
		}
	}
	f.kills, f.peaks = make([]int, len(f.fronts)), make([]int64, len(f.fronts))
	for i, g := range f.fronts {
		f.platform.Go(func() { f.limitMemory(i, g) })
	}
	return f, nil
}

// limitMemory is the platform: it kills a process above memory_mb, and starts it again.
func (f *fleet) limitMemory(i int, g *gateway) {
	for {
		select {
		case <-f.stopPlatform:
			return
		case <-time.After(3 * time.Millisecond):
		}
		rss := g.rss()
		f.peaks[i] = max(f.peaks[i], rss)
		if rss <= memoryMB<<20 {
			continue
		}
		f.s.note("platform: %s has %d MiB, above memory_mb %d: killed", g.place.name, rss>>20, memoryMB)
		f.kills[i]++
		<-g.signal(syscall.SIGKILL)
		time.Sleep(500 * time.Millisecond)
		if err := g.run(); err != nil {
			f.s.note("platform: %v", err)
			return
		}
	}
}

// startBookings starts the clients.
func (f *fleet) startBookings() {
	for i := range 24 {
		c := &keptClient{s: f.s, index: i, address: f.fronts[i%len(f.fronts)].ip + ":8206", results: f.results}
		f.clients.Go(func() { c.run(f.stopClients) })
	}
}

// check ends clients and platform, and counts the bookings that a sound backend got and
// whose connections ended without an answer.
func (f *fleet) check() (int, error) {
	close(f.stopClients)
	f.clients.Wait()
	close(f.stopPlatform)
	f.platform.Wait()
	close(f.results)
	ran := make(map[string]int)
	for _, b := range f.backends {
		for _, r := range b.allRuns() {
			ran[r.attempt]++
		}
	}
	answered, lost, lostAndRun := 0, 0, 0
	for r := range f.results {
		switch {
		case !r.lost:
			answered++
		case ran[r.attempt] > 0:
			lost++
			lostAndRun++
			f.s.note("client: %s was passed on to a backend and its connection ended without an answer", r.attempt)
		default:
			lost++
		}
	}
	for i, g := range f.fronts {
		f.s.note("%s: peak %d MiB, killed %d times", g.place.name, f.peaks[i]>>20, f.kills[i])
	}
	f.s.note("bookings: %d answered, %d without an answer, %d of them were passed on to a backend (allowed: 3)", answered, lost, lostAndRun)
	if answered == 0 {
		return 0, fmt.Errorf("no booking was answered")
	}
	if lostAndRun > 3 {
		return exitBroken, nil
	}
	return exitHeld, nil
}
