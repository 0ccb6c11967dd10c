package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["pages"] = pages }

// farStore is the store as machines of another region see it.
type farStore struct {
	store  *store
	oneWay time.Duration
}

func (f farStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(f.oneWay)
	answer := httptest.NewRecorder()
	f.store.ServeHTTP(answer, r)
	time.Sleep(f.oneWay)
	w.Header().Set("Content-Type", answer.Header().Get("Content-Type"))
	w.WriteHeader(answer.Code)
	_, _ = w.Write(answer.Body.Bytes())
}

// pages kills gateways while backends of a service of 569 are emptied.
func pages(s *setup) (int, error) {
	zones = map[string]string{"taipei-a": "north-tw", "taichung-a": "central-tw", "kaohsiung-a": "south-tw"}
	const (
		backendCount = 569
		drainBound   = 3 * time.Second
		stableWindow = 4 * time.Second
		servesFor    = 14 * time.Second
		emptyTime    = 400 * time.Millisecond
		startSpread  = 300 * time.Millisecond
		machines     = 20
		killed       = 11 // share 0.55 (herd_kill)
		share        = 79 // 14 of 100 (scale_in)
		perSecond    = 40
	)
	s.store.delay = 4 * time.Millisecond
	s.drain = "3000ms"
	if err := s.serve(s.ip(200)+":9000", farStore{s.store, 12 * time.Millisecond}); err != nil {
		return 0, err
	}
	s.store.put("op", "config", object{
		"version": "00000007", "routes": object{"r-book": route("/book/", "unsafe", "calendar", "1500ms")},
		"services": object{"calendar": object{"health_path": "/health", "max_conns": 360, "cold_start": "0ms", "cold_per_s": 19.0}}, "limits": limits, "tenants": object{},
	})
	var backends []*backend
	places := []string{"taipei-a", "taichung-a", "kaohsiung-a"}
	ids := make(map[string]bool)
	for len(ids) < backendCount {
		ids[fmt.Sprintf("i-%08x", rand.Uint32())] = true
	}
	for id := range ids {
		i := len(backends)
		b := &backend{s: s, id: id, service: "calendar", zone: places[i%3], address: s.ip(100+i%100) + ":" + strconv.Itoa(8000+i/100), work: 20 * time.Millisecond}
		if err := s.serve(b.address, b); err != nil {
			return 0, err
		}
		b.register("ready")
		backends = append(backends, b)
	}
	sort.Slice(backends, func(i, j int) bool { return backends[i].id < backends[j].id })
	var fronts []*gateway
	for i := range machines {
		zone := []string{"taichung-a", "kaohsiung-a"}[i%2]
		g, err := s.addGateway(place{fmt.Sprintf("front-%s-%d", zone, i/2+1), zone}, s.ip(200)+":9000")
		if err != nil {
			return 0, err
		}
		fronts = append(fronts, g)
	}
	for _, g := range fronts {
		if !g.awaitReady() {
			return 0, fmt.Errorf("%s is not ready", g.place.name)
		}
	}
	s.note("all machines are ready")
	time.Sleep(5 * time.Second)

	// Most machines are killed at the same moment, and 14 of 100 backends are emptied while they
	// start again: each of them reports it within emptyTime.
	started := make([]time.Time, len(fronts))
	var restarts sync.WaitGroup
	var draining sync.Map
	var drained atomic.Int64
	empty := func() {
		s.note("operator: %d of %d backends are emptied", share, backendCount)
		for _, i := range rand.Perm(len(backends))[:share] {
			b := backends[i]
			go func() {
				time.Sleep(time.Duration(rand.Int64N(int64(emptyTime))))
				version := b.register("draining")
				draining.Store(b.id, time.Now())
				drained.Add(1)
				s.note("store: %s is draining, ver %d", b.id, version)
			}()
		}
	}
	downTime := time.Second
	var begin sync.Once
	if s.trouble {
		// The operator begins as the first machine that is back reads the table.
		s.store.onPage = func(string, string) { begin.Do(func() { go empty() }) }
	} else {
		time.AfterFunc(downTime, func() { begin.Do(empty) })
	}
	for i, g := range fronts {
		started[i] = s.start
		if !s.trouble || i >= killed {
			continue
		}
		restarts.Go(func() {
			s.note("%s is killed", g.place.name)
			g.kill()
			time.Sleep(downTime + time.Duration(rand.Int64N(int64(startSpread))))
			s.note("%s is started again", g.place.name)
			if err := g.run(); err != nil {
				s.note("%v", err)
			}
			started[i] = time.Now()
		})
	}
	restarts.Wait()
	for _, g := range fronts {
		if !g.awaitReady() {
			return 0, fmt.Errorf("%s is not ready", g.place.name)
		}
	}
	// Bookings through each machine, on connections that are kept.
	stop := make(chan struct{})
	var clients sync.WaitGroup
	var statuses sync.Map
	for i, g := range fronts {
		for c := range 3 {
			clients.Go(func() {
				conn, err := net.DialTimeout("tcp", g.ip+":8206", time.Second)
				if err != nil {
					s.note("%v", err)
					return
				}
				defer conn.Close()
				br := bufio.NewReader(conn)
				for n := 0; ; n++ {
					select {
					case <-stop:
						return
					case <-time.After(time.Second * 3 / perSecond):
					}
					id := fmt.Sprintf("g%d-%d-%d", i, c, n)
					_ = conn.SetDeadline(time.Now().Add(3 * time.Second))
					body := "booking " + id
					if _, err := fmt.Fprintf(conn, "POST /book/%d HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: 2500\r\nContent-Length: %d\r\n\r\n%s", c, id, len(body), body); err != nil {
						s.note("client: %s: %v", id, err)
						return
					}
					resp, err := http.ReadResponse(br, nil)
					if err != nil {
						s.note("client: %s: %v", id, err)
						return
					}
					_, _ = io.Copy(io.Discard, resp.Body)
					count, _ := statuses.LoadOrStore(resp.StatusCode, new(atomic.Int64))
					count.(*atomic.Int64).Add(1)
					if resp.Close {
						return
					}
				}
			})
		}
	}
	time.Sleep(servesFor - 2*time.Second)
	close(stop)
	clients.Wait()
	late := make([]int, len(fronts))
	lateBackends := make(map[string]int)
	total := 0
	for _, b := range backends {
		v, isDraining := draining.Load(b.id)
		for _, r := range b.allRuns() {
			total++
			if !isDraining {
				continue
			}
			i, _ := strconv.Atoi(strings.TrimPrefix(strings.Split(r.attempt, "-")[0], "g"))
			if r.at.Sub(v.(time.Time)) > drainBound && r.at.Sub(started[i]) > stableWindow {
				late[i]++
				lateBackends[b.id]++
				s.note("backend: %s ran %s %.3f s after its draining was acknowledged, %.3f s after the start of %s", b.id, r.attempt, r.at.Sub(v.(time.Time)).Seconds(), r.at.Sub(started[i]).Seconds(), fronts[i].place.name)
			}
		}
	}
	statuses.Range(func(status, count any) bool {
		s.note("clients: status %v: %d", status, count.(*atomic.Int64).Load())
		return true
	})
	sum := 0
	for i, g := range fronts {
		s.note("%s sent %d bookings to draining backends later than %v", g.place.name, late[i], drainBound)
		sum += late[i]
	}
	s.note("%d of %d bookings, at %d of %d draining backends", sum, total, len(lateBackends), drained.Load())
	if total == 0 {
		return 0, fmt.Errorf("no booking ran")
	}
	if sum > 0 {
		return exitBroken, nil
	}
	return exitHeld, nil
}
