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
	"strings"
	"sync"
	"time"
)

// outcome is what a caller saw of one attempt.
type outcome struct {
	id, key, account, path string
	once                   bool
	sent, done             time.Time
	status                 int
	sealed, whole          bool
	// broken is set if the connection ended after the request was sent.
	broken bool
	to     string
}

// answers collects outcomes.
type answers struct {
	mu  sync.Mutex
	all []outcome
}

func (a *answers) add(o outcome) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.all = append(a.all, o)
}

// caller sends requests one after the other and keeps its connections.
type caller struct {
	number      int
	region      string
	key         string
	account     string
	directories []string
	answers     *answers
	client      *http.Client
	fronts      []string
	resolved    time.Time
}

const (
	callerWait  = 1500 * time.Millisecond
	callerPause = 12 * time.Millisecond
)

func newCaller(number int, region, key, account string, directories []string, a *answers) *caller {
	dialer := &net.Dialer{Timeout: time.Second}
	return &caller{
		number: number, region: region, key: key, account: account, directories: directories, answers: a,
		client: &http.Client{Timeout: callerWait + 500*time.Millisecond, Transport: &http.Transport{
			DialContext: dialer.DialContext, MaxIdleConnsPerHost: 4, DisableCompression: true,
		}},
	}
}

func (c *caller) run(ctx context.Context, random *rand.Rand) {
	for n := 0; ctx.Err() == nil; n++ {
		if time.Since(c.resolved) > 2*time.Second {
			c.resolve(random)
		}
		if len(c.fronts) > 0 {
			c.attempt(n, c.fronts[random.IntN(len(c.fronts))], random.IntN(3) == 0, random.IntN(8))
		}
		time.Sleep(callerPause)
	}
	c.client.CloseIdleConnections()
}

// resolve asks the directory where to connect.
func (c *caller) resolve(random *rand.Rand) {
	for _, i := range random.Perm(len(c.directories)) {
		query := url.Values{"name": {host}, "region": {c.region}, "zone": {c.region + "-a"}}
		resp, err := c.client.Get("http://" + c.directories[i] + "/v1/resolve?" + query.Encode())
		if err != nil {
			continue
		}
		var answer struct {
			Fronts []string `json:"front_addresses"`
		}
		err = json.NewDecoder(resp.Body).Decode(&answer)
		_ = resp.Body.Close()
		if err == nil && len(answer.Fronts) > 0 {
			c.fronts, c.resolved = answer.Fronts, time.Now()
			return
		}
	}
}

func (c *caller) attempt(n int, front string, once bool, object int) {
	o := outcome{
		id: fmt.Sprintf("c%d-%d", c.number, n), key: c.key, account: c.account, once: once, to: front,
		path: fmt.Sprintf("/look/%d?n=%d", object, n), sent: time.Now(),
	}
	method, body := http.MethodGet, ""
	if once {
		method, body, o.path = http.MethodPost, "body of "+o.id, fmt.Sprintf("/book/%d", object)
	}
	// Without a body that can be read again, the transport repeats nothing.
	req, err := http.NewRequest(method, "http://"+front+o.path, io.NopCloser(strings.NewReader(body)))
	if err != nil {
		return
	}
	req.ContentLength = int64(len(body))
	if !once {
		req.Body = nil
	}
	req.Host = host
	req.Header.Set("X-Attempt-Id", o.id)
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(callerWait.Milliseconds()))
	req.Header.Set("Authorization", "Bearer "+c.key)
	req.Header.Set("Cookie", fmt.Sprintf("X-Affinity-Key=%d", object))
	resp, err := c.client.Do(req)
	if err != nil {
		o.broken, o.done = true, time.Now()
		c.answers.add(o)
		c.resolved = time.Time{}
		return
	}
	raw, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	o.done, o.status, o.broken = time.Now(), resp.StatusCode, err != nil
	o.sealed = resp.Header.Get("X-Server-Seal") != ""
	o.whole = string(raw) == o.id+" "+o.path+" "+body
	c.answers.add(o)
}
