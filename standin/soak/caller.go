package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"path"
	"strings"
	"sync"
	"time"
)

// outcome is what a caller saw of one attempt.
type outcome struct {
	id, key, account, path string
	atMostOnce             bool
	sent, finished         time.Time
	status                 int
	hasSeal, bodyMatches   bool
	// leaving is the start of the server that has said in its response that it leaves.
	leaving string
	// connBroken is set if the request failed or its response was incomplete.
	connBroken bool
	// gateway is the address that the request was sent to.
	gateway string
}

// outcomeLog records the outcomes of all callers.
type outcomeLog struct {
	mu   sync.Mutex
	list []outcome
}

func (l *outcomeLog) add(o outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.list = append(l.list, o)
}

// caller sends requests one after the other over persistent connections.
type caller struct {
	index       int
	region      string
	key         string
	account     string
	directories []string
	outcomes    *outcomeLog
	client      *http.Client
	gateways    []string
	resolvedAt  time.Time
	// stays is set for a caller that goes on using one gateway until a request to it
	// fails.
	stays bool
}

const (
	// callerTimeout is the deadline that callers send with a request.
	callerTimeout = 1500 * time.Millisecond
	// callerInterval is the pause of a caller between two requests.
	callerInterval = 12 * time.Millisecond
)

func newCaller(index int, region, key, account string, directories []string, outcomes *outcomeLog) *caller {
	dialer := &net.Dialer{Timeout: time.Second}
	return &caller{
		index: index, region: region, key: key, account: account, directories: directories, outcomes: outcomes,
		client: &http.Client{Timeout: callerTimeout + 500*time.Millisecond, Transport: &http.Transport{
			DialContext: dialer.DialContext, MaxIdleConnsPerHost: 4, DisableCompression: true,
		}},
	}
}

func (c *caller) run(ctx context.Context, rng *rand.Rand) {
	for n := 0; ctx.Err() == nil; n++ {
		if time.Since(c.resolvedAt) > 2*time.Second && (!c.stays || c.resolvedAt.IsZero()) {
			c.resolve(rng)
			if c.stays && len(c.gateways) > 0 {
				c.gateways = c.gateways[:1]
			}
		}
		if len(c.gateways) > 0 {
			c.attempt(n, c.gateways[rng.IntN(len(c.gateways))], rng.IntN(3) == 0, rng.IntN(8))
		}
		time.Sleep(callerInterval)
	}
	c.client.CloseIdleConnections()
}

// resolve asks the directories, in random order, for the addresses of gateways.
func (c *caller) resolve(rng *rand.Rand) {
	for _, i := range rng.Perm(len(c.directories)) {
		query := url.Values{"name": {host}, "region": {c.region}, "zone": {c.region + "-a"}}
		resp, err := c.client.Get("http://" + c.directories[i] + "/v1/resolve?" + query.Encode())
		if err != nil {
			continue
		}
		var response struct {
			Gateways []string `json:"front_addresses"`
		}
		err = json.NewDecoder(resp.Body).Decode(&response)
		_ = resp.Body.Close()
		if err == nil && len(response.Gateways) > 0 {
			c.gateways, c.resolvedAt = response.Gateways, time.Now()
			return
		}
	}
}

// attempt sends one request for an object and records its outcome.
func (c *caller) attempt(n int, gateway string, atMostOnce bool, object int) {
	if atMostOnce {
		c.send(n, gateway, true, fmt.Sprintf("/book/%d", object), fmt.Sprintf("body of c%d-%d", c.index, n))
		return
	}
	c.send(n, gateway, false, fmt.Sprintf("/look/%d?n=%d", object, n), "")
}

// send sends a booking or a lookup to a target and records its outcome.
func (c *caller) send(n int, gateway string, atMostOnce bool, target, body string) {
	o := outcome{
		id: fmt.Sprintf("c%d-%d", c.index, n), key: c.key, account: c.account, atMostOnce: atMostOnce, gateway: gateway, path: target, sent: time.Now(),
	}
	method := http.MethodGet
	if atMostOnce {
		method = http.MethodPost
	}
	// The transport does not retry a request whose body cannot be read again.
	req, err := http.NewRequest(method, "http://"+gateway+o.path, io.NopCloser(strings.NewReader(body)))
	if err != nil {
		return
	}
	req.ContentLength = int64(len(body))
	if !atMostOnce {
		req.Body = nil
	}
	req.Host = host
	req.Header.Set("X-Attempt-Id", o.id)
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(callerTimeout.Milliseconds()))
	req.Header.Set("Authorization", "Bearer "+c.key)
	req.Header.Set("Cookie", "X-Affinity-Key="+path.Base(req.URL.Path))
	resp, err := c.client.Do(req)
	if err != nil {
		o.connBroken, o.finished = true, time.Now()
		c.outcomes.add(o)
		c.resolvedAt = time.Time{}
		return
	}
	content, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	o.finished, o.status, o.connBroken = time.Now(), resp.StatusCode, err != nil
	o.hasSeal = resp.Header.Get("X-Server-Seal") != ""
	if resp.Header.Get("Server-Leaving") == "1" {
		o.leaving = resp.Header.Get(headerStart)
	}
	o.bodyMatches = string(content) == o.id+" "+o.path+" "+body
	c.outcomes.add(o)
}
