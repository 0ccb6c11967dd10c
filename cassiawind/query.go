package main

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/cassiawind/cassiawind/core/httpsyntax"
)

// queryTimeout bounds one query to an entry VM.
const queryTimeout = 5 * time.Second

// maxResponseBytes bounds the response to a query.
const maxResponseBytes = 16 << 20

// ErrQuery means that a query to an entry VM failed.
var ErrQuery = errors.New("query to the entry VM failed")

// errResponseTooLarge means that a response exceeds maxResponseBytes. A part of it would
// look like all of it.
var errResponseTooLarge = errors.New("response exceeds the size limit")

// queryEntryVM sends a GET request to an entry VM and returns the response
// body.
func queryEntryVM(address, path string, query url.Values) ([]byte, error) {
	u := url.URL{Scheme: "http", Host: address, Path: path, RawQuery: query.Encode()}
	client := &http.Client{Timeout: queryTimeout, Transport: httpsyntax.NewTransport(&http.Transport{})}
	resp, err := client.Get(u.String())
	if err != nil {
		return nil, errors.Wrap(ErrQuery, err.Error())
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	if err == nil && len(body) > maxResponseBytes {
		err = errResponseTooLarge
	}
	if err != nil {
		return nil, errors.Wrap(ErrQuery, err.Error())
	}
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Wrapf(ErrQuery, "status %d: %s", resp.StatusCode, strings.TrimSpace(string(body)))
	}
	return body, nil
}

func locateCommand() command {
	sub := newSubcommand("locate", "asks the system which entry VMs to use", "cassiawind locate --entry 127.1.0.1:8080 --client 10.1.2.3")
	var entry, client string
	sub.String(&entry, "", "entry", "address of any entry VM for callers, ip:port")
	sub.String(&client, "", "client", "client address to ask for; default: this machine's")
	return command{sub, func() error {
		if entry == "" {
			return errors.Wrap(ErrUsage, "--entry is missing")
		}
		query := url.Values{}
		if client != "" {
			query.Set("client", client)
		}
		body, err := queryEntryVM(entry, "/v1/locate", query)
		if err != nil {
			return err
		}
		_, err = os.Stdout.Write(body)
		return err
	}}
}

func explainCommand() command {
	sub := newSubcommand("explain", "tells how a request would be decided, sending nothing",
		"cassiawind explain --operator 127.1.0.1:8082 --client 10.1.2.3 --key-file key.txt --method GET --path /lots/7\n"+
			"  cassiawind explain --platform /etc/cassiawind/local.json --host shop.example --path /lots/7 --key-file key.txt")
	var operator, client, keyFile, path, platformFile, host string
	method := http.MethodGet
	sub.String(&operator, "", "operator", "operator address of an entry VM, ip:port")
	sub.String(&client, "", "client", "client address")
	sub.String(&platformFile, "", "platform", "settings file of the users' platform; decides by what its store holds")
	sub.String(&host, "", "host", "host of the request, with --platform")
	sub.String(&keyFile, "", "key-file", "file with the key; at most its SHA-256 is sent")
	sub.String(&method, "", "method", "HTTP method")
	sub.String(&path, "", "path", "path of the request")
	return command{sub, func() error {
		if platformFile != "" && path != "" {
			return printStoreExplain(platformFile, host, path, keyFile)
		}
		if operator == "" || path == "" {
			return errors.Wrap(ErrUsage, "--path and --operator or --platform are needed")
		}
		query := url.Values{"client": {client}, "method": {method}, "path": {path}}
		if keyFile != "" {
			key, err := os.ReadFile(keyFile)
			if err != nil {
				return errors.WithStack(err)
			}
			digest := sha256.Sum256([]byte(strings.TrimSpace(string(key))))
			query.Set("key_sha256", hex.EncodeToString(digest[:]))
		}
		body, err := queryEntryVM(operator, "/explain", query)
		if err != nil {
			return err
		}
		fmt.Println(strings.TrimSpace(string(body)))
		return nil
	}}
}
