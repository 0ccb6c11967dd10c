package server

import (
	"crypto/tls"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// certificateCheckInterval is the longest time until changed certificate files
// are noticed.
const certificateCheckInterval = time.Second

// ErrCertificate means that the certificate files cannot be loaded.
var ErrCertificate = errors.New("TLS certificate cannot be loaded")

// certificates serves a certificate and reloads it when its files change. Open
// connections keep the certificate with which they were opened.
type certificates struct {
	certFile, keyFile string

	mu        sync.Mutex
	current   *tls.Certificate
	modTime   time.Time
	checkedAt time.Time
}

func loadCertificates(certFile, keyFile string) (*certificates, error) {
	c := &certificates{certFile: certFile, keyFile: keyFile}
	if err := c.reload(time.Now()); err != nil {
		return nil, err
	}
	return c, nil
}

// getCertificate implements tls.Config.GetCertificate. If changed files cannot
// be loaded, the current certificate stays in use.
func (c *certificates) getCertificate(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now := time.Now(); now.Sub(c.checkedAt) >= certificateCheckInterval {
		_ = c.reload(now)
	}
	return c.current, nil
}

// reload requires mu to be held, except during construction.
func (c *certificates) reload(now time.Time) error {
	c.checkedAt = now
	info, err := os.Stat(c.certFile)
	if err != nil {
		return errors.Wrap(ErrCertificate, err.Error())
	}
	if c.current != nil && info.ModTime().Equal(c.modTime) {
		return nil
	}
	pair, err := tls.LoadX509KeyPair(c.certFile, c.keyFile)
	if err != nil {
		return errors.Wrap(ErrCertificate, err.Error())
	}
	c.current, c.modTime = &pair, info.ModTime()
	return nil
}
