package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"
)

func init() { cases["bodies"] = bodies }

// keptClient sends bookings one after the other on a connection that it keeps.
type keptClient struct {
	s       *setup
	index   int
	address string
	results chan result
}

type result struct {
	attempt string
	// lost is set if the connection ended after the request was sent and before a whole
	// answer came.
	lost   bool
	status int
	at     time.Time
}

func (c *keptClient) run(stop <-chan struct{}) {
	var conn net.Conn
	var br *bufio.Reader
	for n := 0; ; n++ {
		select {
		case <-stop:
			if conn != nil {
				_ = conn.Close()
			}
			return
		default:
		}
		if conn == nil {
			var err error
			if conn, err = net.DialTimeout("tcp", c.address, time.Second); err != nil {
				conn = nil
				time.Sleep(100 * time.Millisecond)
				continue
			}
			br = bufio.NewReader(conn)
		}
		id := fmt.Sprintf("b%02d-%04d", c.index, n)
		_ = conn.SetDeadline(time.Now().Add(6 * time.Second))
		body := fmt.Sprintf("booking %s", id)
		_, err := fmt.Fprintf(conn, "POST /book/%d HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: 5000\r\nContent-Length: %d\r\n\r\n%s", c.index, id, len(body), body)
		var resp *http.Response
		if err == nil {
			resp, err = http.ReadResponse(br, nil)
		}
		if err == nil {
			_, err = io.Copy(io.Discard, resp.Body)
		}
		if err != nil {
			c.results <- result{attempt: id, lost: true, at: time.Now()}
			_ = conn.Close()
			conn = nil
			continue
		}
		c.results <- result{attempt: id, status: resp.StatusCode, at: time.Now()}
		if resp.Close {
			_ = conn.Close()
			conn = nil
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// upload sends one booking with a long body, at the speed of a machine's link.
func upload(s *setup, address string, bytes int64, perSecond int64, id string) (status int, err error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(12 * time.Second))
	if _, err := fmt.Fprintf(conn, "POST /files/up HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: 10000\r\nContent-Length: %d\r\n\r\n", id, bytes); err != nil {
		return 0, err
	}
	chunk := make([]byte, 256<<10)
	begin := time.Now()
	for sent := int64(0); sent < bytes; {
		n := min(int64(len(chunk)), bytes-sent)
		if _, err := conn.Write(chunk[:n]); err != nil {
			break
		}
		sent += n
		time.Sleep(time.Until(begin.Add(time.Duration(float64(sent) / float64(perSecond) * float64(time.Second)))))
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

func envInt(name string, value int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return value
}

// bodies sends bookings whose bodies are within max_body_bytes.
func bodies(s *setup) (int, error) {
	const rounds = 10
	uploads, mb := envInt("UPLOADS", 1), envInt("BODY_MB", 62)
	bytes := int64(mb) << 20
	if !s.trouble {
		bytes = 64 << 10
	}
	f, err := startFleet(s, "unsafe")
	if err != nil {
		return 0, err
	}
	fronts := f.fronts
	f.startBookings()
	time.Sleep(5 * time.Second)
	for round := range rounds {
		var batch sync.WaitGroup
		for i := range uploads {
			for f, g := range fronts {
				batch.Go(func() {
					id := fmt.Sprintf("f%d-%d-%d", round, i, f)
					s.note("client: %s sends a body of %d bytes to %s", id, bytes, g.place.name)
					status, err := upload(s, g.ip+":8206", bytes, 125<<20/int64(uploads), id)
					s.note("client: %s answered %d, %v", id, status, err)
				})
			}
		}
		batch.Wait()
		time.Sleep(time.Second)
	}
	return f.check()
}
