package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sort"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["hubs"] = hubs }

// The tenant of the case, and the bounds of the site for it.
const (
	tenantRate, tenantBurst = 100.0, 100.0
	quotaWindow             = 5 * time.Second
	quotaTolerance          = 0.1
	quotaSlack              = 20
	hotFactor               = 8
	usualShare              = 1 / 1.6
)

// resolve asks the directory of a gateway.
func resolve(client *http.Client, ip, region, zone string) ([]string, error) {
	resp, err := client.Get("http://" + ip + ":8209/v1/resolve?name=shop.example&region=" + region + "&zone=" + zone)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	var answer struct {
		Addresses []string `json:"front_addresses"`
	}
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("status %d", resp.StatusCode)
	}
	err = json.NewDecoder(resp.Body).Decode(&answer)
	return answer.Addresses, err
}

// caller is a client of the tenant: it keeps a connection to an address that the directory
// named, for 5 s at most (ttl_max).
type caller struct {
	s            *setup
	index        int
	region, zone string
	directories  []string
	http         *http.Client
	statuses     *[600]atomic.Int64
	addresses    []string
	conn         net.Conn
	br           *bufio.Reader
	since        time.Time
}

func (c *caller) connect() bool {
	if c.conn != nil && time.Since(c.since) < 5*time.Second {
		return true
	}
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
	for range 3 {
		addresses, err := resolve(c.http, c.directories[rand.IntN(len(c.directories))], c.region, c.zone)
		if err == nil && len(addresses) > 0 {
			c.addresses = addresses
			break
		}
	}
	if len(c.addresses) == 0 {
		return false
	}
	conn, err := net.DialTimeout("tcp", c.addresses[rand.IntN(len(c.addresses))], time.Second)
	if err != nil {
		return false
	}
	c.conn, c.br, c.since = conn, bufio.NewReader(conn), time.Now()
	return true
}

// send sends one look-up and waits for its answer.
func (c *caller) send(n int64) {
	if !c.connect() {
		c.statuses[0].Add(1)
		return
	}
	_ = c.conn.SetDeadline(time.Now().Add(2 * time.Second))
	_, err := fmt.Fprintf(c.conn, "GET /look/%d HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: a%d-%d\r\nX-Deadline-Ms: 1500\r\nAuthorization: Bearer key-1\r\n\r\n", n%50, c.index, n)
	var resp *http.Response
	if err == nil {
		resp, err = http.ReadResponse(c.br, nil)
	}
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
	}
	if err != nil {
		c.statuses[1].Add(1)
		_ = c.conn.Close()
		c.conn = nil
		return
	}
	c.statuses[min(resp.StatusCode, 599)].Add(1)
	if resp.Close {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// hubs stops a zone of a fleet that has run for 90 s, and checks the quota of a tenant.
func hubs(s *setup) (int, error) {
	zones = map[string]string{"mnl-a": "luzon", "mnl-b": "luzon", "ceb-a": "visayas", "dvo-a": "mindanao"}
	s.store.delay = 4 * time.Millisecond
	if err := s.serve(s.ip(200)+":9000", s.store); err != nil {
		return 0, err
	}
	s.store.put("op", "config", object{
		"version": "00000007", "routes": object{"r-look": route("/look/", "safe", "lotdesk", "1500ms")},
		"services": object{"lotdesk": object{"health_path": "/health", "max_conns": 360, "cold_start": "3s", "cold_per_s": 19.0}}, "limits": limits,
		"tenants": object{"sese880": object{"api_keys": []string{"key-1"}, "priority": 1, "rate_per_s": tenantRate, "burst": tenantBurst, "home_regions": []string{}}},
	})
	var backends []*backend
	for i := range 12 {
		b := &backend{s: s, id: fmt.Sprintf("i-%d", i), service: "lotdesk", zone: []string{"mnl-a", "mnl-b", "dvo-a"}[i%3], address: s.ip(100+i) + ":8000", work: 10 * time.Millisecond}
		if err := s.serve(b.address, b); err != nil {
			return 0, err
		}
		b.register("ready")
		backends = append(backends, b)
	}
	var mu sync.Mutex
	alive := make(map[string]bool)
	deletedAlive := 0
	s.store.onTx = func(rows []row, deleted bool) {
		mu.Lock()
		defer mu.Unlock()
		for _, r := range rows {
			if !deleted {
				s.note("store: row %s/%s written", r.Table, r.Key)
				continue
			}
			s.note("store: row %s/%s deleted, machine alive: %v", r.Table, r.Key, alive[r.Key])
			if alive[r.Key] {
				deletedAlive++
			}
		}
	}
	var directories []string
	for _, p := range []place{
		{"front-ceb-a-1", "ceb-a"}, {"front-ceb-a-2", "ceb-a"}, {"front-mnl-a-1", "mnl-a"}, {"front-mnl-a-2", "mnl-a"}, {"front-mnl-b-1", "mnl-b"}, {"front-dvo-a-1", "dvo-a"},
	} {
		g, err := s.addGateway(p, s.ip(200)+":9000")
		if err != nil {
			return 0, err
		}
		alive[p.name] = true
		directories = append(directories, g.ip)
	}
	for _, g := range s.gateways {
		if !g.awaitReady() {
			return 0, fmt.Errorf("%s is not ready", g.place.name)
		}
	}
	at := func(seconds float64) {
		time.Sleep(time.Until(s.start.Add(time.Duration(seconds * float64(time.Second)))))
	}
	const lossAt, lossFor, hotAt, endAt = 89.0, 4.0, 92.0, 114.0
	// The tenant's usual traffic, and hotFactor times it from hotAt on.
	var statuses [600]atomic.Int64
	var callers sync.WaitGroup
	jobs := make(chan int64, 2000)
	for i := range 120 {
		c := &caller{s: s, index: i, region: []string{"luzon", "luzon", "mindanao", "visayas"}[i%4], zone: []string{"mnl-a", "mnl-b", "dvo-a", "ceb-a"}[i%4], directories: directories, http: &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}, statuses: &statuses}
		callers.Go(func() {
			for n := range jobs {
				c.send(n)
			}
		})
	}
	go func() {
		n := int64(0)
		for next := time.Now(); time.Since(s.start).Seconds() < endAt; n++ {
			rate := tenantRate * usualShare
			if time.Since(s.start).Seconds() >= hotAt {
				rate *= hotFactor
			}
			select {
			case jobs <- n:
			default:
			}
			next = next.Add(time.Duration(float64(time.Second) / rate))
			if behind := time.Since(next); behind > 100*time.Millisecond {
				next = time.Now()
			}
			time.Sleep(time.Until(next))
		}
		close(jobs)
	}()
	go func() {
		if !s.trouble {
			return
		}
		at(lossAt)
		var loss sync.WaitGroup
		for _, g := range s.gateways[:2] {
			loss.Go(func() {
				mu.Lock()
				alive[g.place.name] = false
				mu.Unlock()
				s.note("zone ceb-a loses power: %s", g.place.name)
				g.kill()
				time.Sleep(time.Duration(lossFor * float64(time.Second)))
				s.note("zone ceb-a is back: %s", g.place.name)
				if err := g.run(); err != nil {
					s.note("%v", err)
				}
				mu.Lock()
				alive[g.place.name] = true
				mu.Unlock()
			})
		}
		loss.Wait()
	}()
	// What the directory says of the machines that run all the time.
	go func() {
		client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
		for at(lossAt - 2); time.Since(s.start).Seconds() < endAt; time.Sleep(500 * time.Millisecond) {
			line := ""
			for _, g := range s.gateways[2:] {
				addresses, err := resolve(client, g.ip, zones[g.place.zone], g.place.zone)
				if err != nil {
					line += fmt.Sprintf(" %s: %v;", g.place.name, err)
					continue
				}
				line += fmt.Sprintf(" %s: %d addresses;", g.place.name, len(addresses))
			}
			s.note("directory:%s", line)
		}
	}()
	callers.Wait()
	var times []time.Time
	for _, b := range backends {
		for _, r := range b.allRuns() {
			if r.tenant == "sese880" {
				times = append(times, r.at)
			}
		}
	}
	sort.Slice(times, func(i, j int) bool { return times[i].Before(times[j]) })
	allowed := int((tenantRate*quotaWindow.Seconds()+tenantBurst)*(1+quotaTolerance)) + quotaSlack
	most, mostAt := 0, 0.0
	for i, j := 0, 0; j < len(times); j++ {
		for times[j].Sub(times[i]) > quotaWindow {
			i++
		}
		if j-i+1 > most {
			most, mostAt = j-i+1, times[i].Sub(s.start).Seconds()
		}
	}
	for status := range statuses {
		if n := statuses[status].Load(); n > 0 {
			s.note("clients: status %d: %d", status, n)
		}
	}
	s.note("registrations of running machines that the system deleted: %d", deletedAlive)
	s.note("requests of the tenant run within 5 s: at most %d, from %.3f s on; allowed %d", most, mostAt, allowed)
	if most > allowed {
		return exitBroken, nil
	}
	return exitHeld, nil
}

var _ = syscall.SIGKILL
