package main

import (
	"context"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/integrii/flaggy"
	"github.com/pkg/errors"
)

// ErrStatus means that a call was not answered with status 200.
var ErrStatus = errors.New("call was not answered with status 200")

const (
	callTimeout   = 2 * time.Second
	retryInterval = 50 * time.Millisecond
)

type callFlags struct {
	method, url, body string
	retryTime         time.Duration
}

func newCall() command {
	f := &callFlags{method: http.MethodGet}
	sub := flaggy.NewSubcommand("call")
	sub.Description = "makes one HTTP call, repeated until it is answered with 200"
	sub.String(&f.method, "m", "method", "HTTP method")
	sub.String(&f.url, "u", "url", "URL")
	sub.String(&f.body, "b", "body", "request body")
	sub.Duration(&f.retryTime, "w", "within", "time for repeats")
	return command{subcommand: sub, run: f.run}
}

// run makes the call until it succeeds or the time for retries is over.
func (f *callFlags) run(ctx context.Context) error {
	client := &http.Client{Timeout: callTimeout}
	deadline := time.Now().Add(f.retryTime)
	for {
		err := f.callOnce(ctx, client)
		if err == nil || !time.Now().Before(deadline) || ctx.Err() != nil {
			return err
		}
		time.Sleep(retryInterval)
	}
}

func (f *callFlags) callOnce(ctx context.Context, client *http.Client) error {
	req, err := http.NewRequestWithContext(ctx, f.method, f.url, strings.NewReader(f.body))
	if err != nil {
		return err
	}
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.WithMessage(ErrStatus, resp.Status)
	}
	_, err = io.Copy(os.Stdout, resp.Body)
	return err
}
