package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

func init() { cases["downloads"] = downloads }

// download fetches a file and reads it at a speed; 0 stands for as fast as it comes.
func download(address, id string, bytes, perSecond int64) (status int, received int64, err error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return 0, 0, err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(15 * time.Second))
	if _, err := fmt.Fprintf(conn, "GET /files/%d HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: 15000\r\n\r\n", bytes, id); err != nil {
		return 0, 0, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, 0, err
	}
	begin := time.Now()
	for {
		n, err := io.CopyN(io.Discard, resp.Body, 64<<10)
		received += n
		if err == io.EOF {
			return resp.StatusCode, received, nil
		}
		if err != nil {
			return resp.StatusCode, received, err
		}
		if perSecond > 0 {
			time.Sleep(time.Until(begin.Add(time.Duration(float64(received) / float64(perSecond) * float64(time.Second)))))
		}
	}
}

// downloads lets clients fetch files of 24 MiB over links of 25 Mbit/s.
func downloads(s *setup) (int, error) {
	const (
		bytes   = 24 << 20
		perLink = 25e6 / 8
		every   = 500 * time.Millisecond
		count   = 60
	)
	f, err := startFleet(s, "download")
	if err != nil {
		return 0, err
	}
	f.startBookings()
	time.Sleep(3 * time.Second)
	speed := int64(perLink)
	if !s.trouble {
		speed = 0
	}
	var clients sync.WaitGroup
	for i := range count {
		for j, g := range f.fronts {
			clients.Go(func() {
				id := fmt.Sprintf("d%d-%d", j, i)
				status, received, err := download(g.ip+":8206", id, bytes, speed)
				s.note("client: %s from %s: status %d, %d bytes, %v", id, g.place.name, status, received, err)
			})
		}
		time.Sleep(every)
	}
	clients.Wait()
	return f.check()
}
