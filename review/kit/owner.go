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
	"time"
)

func init() { cases["owner"] = owner }

// The tenant of the case, as in the pages' example, and the bounds of the
// site for it.
const (
	tenantRate, tenantBurst = 474.0, 474.0
	quotaWindow             = 5 * time.Second
	quotaTolerance          = 0.1
	quotaSlack              = 20
	// usualShare is the tenant's usual traffic as a part of its rate (quota_x), hotFactor
	// that of hot_tenant.
	usualShare = 1 / 1.6
	hotFactor  = 8
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
	index       int
	directories []string
	http        *http.Client
	statuses    *[600]atomic.Int64
	addresses   []string
	conn        net.Conn
	br          *bufio.Reader
	since       time.Time
}

func (c *caller) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

func (c *caller) connect() bool {
	if c.conn != nil && time.Since(c.since) < 5*time.Second {
		return true
	}
	c.close()
	for range 3 {
		addresses, err := resolve(c.http, c.directories[rand.IntN(len(c.directories))], "north", "north-a")
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

// send sends one look-up and waits for its answer. Status 0 counts those without a
// connection, 1 those whose connection ended.
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
		c.close()
		return
	}
	c.statuses[min(resp.StatusCode, 599)].Add(1)
	if resp.Close {
		c.close()
	}
}

// owner kills the machine that owns a tenant's rate just after the tenant has become hot.
func owner(s *setup) (int, error) {
	const (
		machines  = 10
		ownerName = "front-north-a-8"
		hotAt     = 12.0
		killAt    = 13.1
		dark      = 3500 * time.Millisecond
		endAt     = 24.0
	)
	zones = map[string]string{"north-a": "north"}
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
		b := &backend{s: s, id: fmt.Sprintf("i-%d", i), service: "lotdesk", zone: "north-a", address: s.ip(100+i) + ":8000", work: 10 * time.Millisecond}
		if err := s.serve(b.address, b); err != nil {
			return 0, err
		}
		b.register("ready")
		backends = append(backends, b)
	}
	var directories []string
	var victim *gateway
	for i := range machines {
		g, err := s.addGateway(place{fmt.Sprintf("front-north-a-%d", i+1), "north-a"}, s.ip(200)+":9000")
		if err != nil {
			return 0, err
		}
		if g.place.name == ownerName {
			victim = g
		}
		directories = append(directories, g.ip)
	}
	for _, g := range s.gateways {
		if !g.awaitReady() {
			return 0, fmt.Errorf("%s is not ready", g.place.name)
		}
	}
	var statuses [600]atomic.Int64
	var callers sync.WaitGroup
	jobs := make(chan int64, 200)
	for i := range 400 {
		c := &caller{index: i, directories: directories, http: &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}, statuses: &statuses}
		callers.Go(func() {
			defer c.close()
			for n := range jobs {
				c.send(n)
			}
		})
	}
	since := func() float64 { return time.Since(s.start).Seconds() }
	var killed sync.WaitGroup
	if s.trouble {
		killed.Go(func() {
			time.Sleep(time.Until(s.start.Add(time.Duration(killAt * float64(time.Second)))))
			s.note("%s loses power", ownerName)
			victim.kill()
			time.Sleep(dark)
			s.note("%s is back", ownerName)
			if err := victim.run(); err != nil {
				s.note("%v", err)
			}
		})
	}
	s.note("the tenant sends %.0f requests a second", tenantRate*usualShare)
	hot := false
	next := time.Now()
	for n := int64(0); since() < endAt; n++ {
		rate := tenantRate * usualShare
		if since() >= hotAt {
			if !hot {
				hot = true
				s.note("the tenant sends %.0f requests a second", rate*hotFactor)
			}
			rate *= hotFactor
		}
		select {
		case jobs <- n:
		default:
		}
		next = next.Add(time.Duration(float64(time.Second) / rate))
		if time.Since(next) > 100*time.Millisecond {
			next = time.Now()
		}
		time.Sleep(time.Until(next))
	}
	close(jobs)
	callers.Wait()
	killed.Wait()
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
	perSecond := make([]int, int(endAt)+2)
	for _, at := range times {
		perSecond[min(int(at.Sub(s.start).Seconds()), len(perSecond)-1)]++
	}
	s.note("requests of the tenant run in each second: %v", perSecond)
	for status := range statuses {
		if n := statuses[status].Load(); n > 0 {
			s.note("clients: status %d: %d", status, n)
		}
	}
	s.note("requests of the tenant run within 5 s: at most %d, from %.3f s on; allowed %d", most, mostAt, allowed)
	if len(times) == 0 {
		return 0, fmt.Errorf("no request ran")
	}
	if most > allowed {
		return exitBroken, nil
	}
	return exitHeld, nil
}
