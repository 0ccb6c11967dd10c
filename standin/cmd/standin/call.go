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

// ErrStatus means that a call was not answered with 200.
var ErrStatus = errors.New("call was not answered with status 200")

const (
	callTimeout  = 2 * time.Second
	callInterval = 50 * time.Millisecond
)

type callFlags struct {
	method, url, body string
	within            time.Duration
}

func newCall() command {
	f := &callFlags{method: http.MethodGet}
	sub := flaggy.NewSubcommand("call")
	sub.Description = "makes one HTTP call, repeated until it is answered with 200"
	sub.String(&f.method, "m", "method", "HTTP method")
	sub.String(&f.url, "u", "url", "URL")
	sub.String(&f.body, "b", "body", "request body")
	sub.Duration(&f.within, "w", "within", "time for repeats")
	return command{sub: sub, run: f.run}
}

func (f *callFlags) run(ctx context.Context) error {
	client := &http.Client{Timeout: callTimeout}
	giveUp := time.Now().Add(f.within)
	for {
		err := f.once(ctx, client)
		if err == nil || !time.Now().Before(giveUp) || ctx.Err() != nil {
			return err
		}
		time.Sleep(callInterval)
	}
}

func (f *callFlags) once(ctx context.Context, client *http.Client) error {
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
